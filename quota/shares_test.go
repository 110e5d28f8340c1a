package quota

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"crocuslug/ident"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7")
	os.Exit(m.Run())
}

const (
	limit    = 600.0 // tokens per second
	rounding = 1e-9
)

var start = time.Unix(1_000_000, 0)

// fleet is a number of instances with the messages on their way.
type fleet struct {
	all  map[ident.Instance]*Shares
	live []ident.Instance
	cut  map[ident.Instance]bool // on the far side of a cut
	way  []Message
	now  time.Time
}

func newFleet(n int) *fleet {
	f := &fleet{all: map[ident.Instance]*Shares{}, cut: map[ident.Instance]bool{}, now: start}
	for i := range n {
		f.live = append(f.live, ident.Instance(fmt.Sprintf("i%02d", i)))
	}
	for _, name := range f.live {
		f.all[name] = newShares(name, f.live)
	}
	return f
}

func newShares(name ident.Instance, members []ident.Instance) *Shares {
	return New(Settings{}, name, members, func(ident.Workspace) float64 { return limit })
}

func (f *fleet) send(m Message) {
	if f.cut[m.From] == f.cut[m.To] && slices.Contains(f.live, m.To) {
		f.way = append(f.way, m)
	}
}

func (f *fleet) tick(name ident.Instance) {
	for _, m := range f.all[name].Tick(f.now) {
		f.send(m)
	}
}

func (f *fleet) deliver(i int) {
	m := f.way[i]
	if answer, ok := f.all[m.To].Receive(m); ok {
		f.send(answer)
	}
}

// sum returns what all live instances may use of the limit.
func (f *fleet) sum(w ident.Workspace) float64 {
	sum := 0.0
	for _, name := range f.live {
		rate, _ := f.all[name].Rate(w)
		sum += rate / limit
	}
	return sum
}

// side returns what one side of the cut holds, with what is on its way there.
func (f *fleet) side(w ident.Workspace, far bool) float64 {
	sum := 0.0
	for _, from := range f.live {
		s := f.all[from]
		if f.cut[from] != far {
			continue
		}
		sum += s.base()
		a, ok := s.accounts[w]
		if !ok {
			continue
		}
		sum += a.share(0)
		for to, p := range a.pairs {
			if f.cut[to] != far || !slices.Contains(f.live, to) {
				continue
			}
			sum += p.given
			if b, ok := f.all[to].accounts[w]; ok && b.pairs[from] != nil {
				sum -= b.pairs[from].taken
			}
		}
	}
	return sum
}

// TestOvershoot holds the sum of the shares to the stated bound under loss,
// repetition, reordering, cuts and changes of membership that are learned late.
func TestOvershoot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "instances")
		f := newFleet(n)
		spaces := []ident.Workspace{"a", "b"}
		stale := map[ident.Instance]bool{} // do not know of the change yet
		removed, added := 0, 0
		var before [2]float64 // what the sides held at the cut
		one := func() ident.Instance { return rapid.SampledFrom(f.live).Draw(t, "instance") }
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			f.now = f.now.Add(100 * time.Millisecond)
			switch op := rapid.IntRange(0, 19).Draw(t, "op"); {
			case op < 5:
				w := rapid.SampledFrom(spaces).Draw(t, "w")
				f.all[one()].Demand(w, rapid.Float64Range(0, 3*limit).Draw(t, "demand"))
			case op < 9:
				f.tick(one())
			case op < 15 && len(f.way) > 0:
				i := rapid.IntRange(0, len(f.way)-1).Draw(t, "message")
				f.deliver(i)
				if rapid.IntRange(0, 3).Draw(t, "repeat") > 0 {
					f.way = slices.Delete(f.way, i, i+1)
				}
			case op < 16 && len(f.way) > 0:
				i := rapid.IntRange(0, len(f.way)-1).Draw(t, "lost")
				f.way = slices.Delete(f.way, i, i+1)
			case op < 17 && removed+added == 0:
				f.cut[one()] = true
				f.way = slices.DeleteFunc(f.way, func(m Message) bool { return f.cut[m.From] != f.cut[m.To] })
				for side := range before {
					before[side] = f.side("a", side == 1)
				}
			case op < 18:
				clear(f.cut)
			case op < 19 && removed+added == 0 && len(f.live) > 2:
				clear(f.cut)
				if rapid.Bool().Draw(t, "join") {
					added = 1
					name := ident.Instance("new")
					f.live = append(f.live, name)
					f.all[name] = newShares(name, f.live)
				} else {
					removed = 1
					gone := one()
					f.live = slices.DeleteFunc(f.live, func(u ident.Instance) bool { return u == gone })
					f.way = slices.DeleteFunc(f.way, func(m Message) bool { return m.To == gone })
				}
				for _, name := range f.live {
					stale[name] = name != "new"
				}
			case removed+added > 0:
				name := one()
				f.all[name].SetMembers(f.live, f.now)
				stale[name] = false
			}
			bound := 1.0 + float64(added)/float64(n+added)
			for _, late := range stale {
				if late && removed > 0 {
					bound = 1 + float64(removed)/float64(n)
				}
			}
			for _, w := range spaces {
				if got := f.sum(w); got > bound+rounding {
					t.Fatalf("sum of the shares of %s: got %v, want at most %v", w, got, bound)
				}
			}
			for side := range before {
				if got := f.side("a", side == 1); len(f.cut) > 0 && got > before[side]+rounding {
					t.Fatalf("side %d of a cut: got %v, want at most %v as before", side, got, before[side])
				}
			}
		}
	})
}

// round ticks all and delivers what is sent, but for what is lost.
func (f *fleet) round(lost func() bool) {
	f.now = f.now.Add(time.Second)
	for _, name := range f.live {
		f.tick(name)
	}
	for len(f.way) > 0 {
		if !lost() {
			f.deliver(0)
		}
		f.way = f.way[1:]
	}
}

// TestRemoval moves much share about, removes instances and lets the others
// learn of it one by one.
func TestRemoval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 6).Draw(t, "instances")
		f := newFleet(n)
		lost := func() bool { return rapid.IntRange(0, 9).Draw(t, "lost") == 0 }
		move := func(rounds int) {
			at := f.all[rapid.SampledFrom(f.live).Draw(t, "busy")]
			for range rounds {
				at.Demand("a", 2*limit)
				f.round(lost)
			}
		}
		for range rapid.IntRange(1, 4).Draw(t, "moves") {
			move(6)
		}
		removed := rapid.IntRange(1, n-2).Draw(t, "removed")
		f.live = rapid.Permutation(f.live).Draw(t, "order")[removed:]
		hold := func(bound float64) {
			if got := f.sum("a"); got > bound+rounding {
				t.Fatalf("sum of the shares: got %v, want at most %v with %d of %d removed", got, bound, removed, n)
			}
		}
		for _, name := range f.live {
			f.all[name].SetMembers(f.live, f.now)
			hold(1 + float64(removed)/float64(n))
			move(1)
			hold(1 + float64(removed)/float64(n))
		}
		hold(1)
		move(12)
		hold(1)
		if got, want := f.sum("a"), 0.8; got < want {
			t.Fatalf("sum of the shares in the end: got %v, want at least %v", got, want)
		}
	})
}

// TestFollowsDemand compares the part of the limit that is used with that of
// fixed equal shares, when all demand comes to one instance and then to another.
func TestFollowsDemand(t *testing.T) {
	const n, seconds = 6, 30
	f := newFleet(n)
	fixed := 1.0 / n
	never := func() bool { return false }
	for _, at := range f.live[:2] {
		reached := 0
		for s := range seconds {
			f.all[at].Demand("a", limit)
			f.round(never)
			rate, _ := f.all[at].Rate("a")
			if reached == 0 && rate > 0.9*limit {
				reached = s + 1
			}
		}
		rate, _ := f.all[at].Rate("a")
		t.Logf("%s: fixed %.2f, shares %.2f of the limit, 0.90 after %d s", at, fixed, rate/limit, reached)
		if got, want := rate/limit, 0.9; got < want {
			t.Errorf("part of the limit at %s: got %.2f, want at least %.2f", at, got, want)
		}
	}
	for range 2 * seconds {
		f.round(never)
	}
	for _, name := range f.live {
		if ms := f.all[name].Tick(f.now); len(ms) > 0 {
			t.Errorf("messages of %s at rest: got %+v, want none", name, ms)
		}
	}
}

// TestOnlyActiveTravel holds the size of messages with 5500 workspaces of which
// few are active.
func TestOnlyActiveTravel(t *testing.T) {
	f := newFleet(3)
	s := f.all["i00"]
	for i := range 3 * 5500 {
		w := ident.Workspace(fmt.Sprint(i % 5500))
		s.Rate(w)
		if i%1100 == 0 {
			s.Demand(w, limit)
			f.now = f.now.Add(time.Second)
			f.tick("i00")
		}
	}
	if len(f.way) == 0 {
		t.Fatal("messages: got none")
	}
	for _, m := range f.way {
		if got := len(m.Rows); got > 5 || len(s.Active()) != 5 {
			t.Errorf("rows: got %d, want at most 5 with as many accounts, not %d", got, len(s.Active()))
		}
	}
}

func BenchmarkTick(b *testing.B) {
	const configured, active, members = 5500, 50, 72
	f := newFleet(members)
	s := f.all["i00"]
	now := start
	for b.Loop() {
		now = now.Add(time.Second)
		for i := range active {
			s.Demand(ident.Workspace(fmt.Sprint(i*configured/active)), 100)
		}
		s.Tick(now)
	}
}

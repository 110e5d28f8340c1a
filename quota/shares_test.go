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

// fleet is a set of instances with the messages in flight between them.
type fleet struct {
	all      map[ident.Instance]*Shares
	live     []ident.Instance
	farSide  map[ident.Instance]bool // instances on the far side of a network partition
	inFlight []Message
	now      time.Time
}

func newFleet(n int) *fleet {
	f := &fleet{all: map[ident.Instance]*Shares{}, farSide: map[ident.Instance]bool{}, now: start}
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
	if f.farSide[m.From] == f.farSide[m.To] && slices.Contains(f.live, m.To) {
		f.inFlight = append(f.inFlight, m)
	}
}

func (f *fleet) tick(name ident.Instance) {
	for _, m := range f.all[name].Tick(f.now) {
		f.send(m)
	}
}

func (f *fleet) deliver(i int) {
	m := f.inFlight[i]
	if answer, ok := f.all[m.To].Receive(m); ok {
		f.send(answer)
	}
}

// totalShare returns the sum of the shares of all live instances.
func (f *fleet) totalShare(w ident.Workspace) float64 {
	sum := 0.0
	for _, name := range f.live {
		rate, _ := f.all[name].Rate(w)
		sum += rate / limit
	}
	return sum
}

// sideShare returns the total share on one side of the partition, including share in
// transit within that side.
func (f *fleet) sideShare(w ident.Workspace, far bool) float64 {
	sum := 0.0
	for _, from := range f.live {
		s := f.all[from]
		if f.farSide[from] != far {
			continue
		}
		sum += s.base()
		a, ok := s.accounts[w]
		if !ok {
			continue
		}
		sum += a.share(0)
		for to, p := range a.balances {
			if f.farSide[to] != far || !slices.Contains(f.live, to) {
				continue
			}
			sum += p.given
			if b, ok := f.all[to].accounts[w]; ok && b.balances[from] != nil {
				sum -= b.balances[from].received
			}
		}
	}
	return sum
}

// TestTotalShareBound checks that the sum of the shares stays within its bound when
// messages are lost, repeated or reordered, the network is partitioned, and
// instances learn of membership changes late.
func TestTotalShareBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "instances")
		f := newFleet(n)
		spaces := []ident.Workspace{"a", "b"}
		stale := map[ident.Instance]bool{} // instances that do not know of the membership change yet
		removed, added := 0, 0
		var sideBefore [2]float64 // share on each side when the partition began
		anyInstance := func() ident.Instance { return rapid.SampledFrom(f.live).Draw(t, "instance") }
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			f.now = f.now.Add(100 * time.Millisecond)
			switch op := rapid.IntRange(0, 19).Draw(t, "op"); {
			case op < 5:
				w := rapid.SampledFrom(spaces).Draw(t, "w")
				f.all[anyInstance()].AddDemand(w, rapid.Float64Range(0, 3*limit).Draw(t, "demand"))
			case op < 9:
				f.tick(anyInstance())
			case op < 15 && len(f.inFlight) > 0:
				i := rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "message")
				f.deliver(i)
				if rapid.IntRange(0, 3).Draw(t, "repeat") > 0 {
					f.inFlight = slices.Delete(f.inFlight, i, i+1)
				}
			case op < 16 && len(f.inFlight) > 0:
				i := rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "lost")
				f.inFlight = slices.Delete(f.inFlight, i, i+1)
			case op < 17 && removed+added == 0:
				f.farSide[anyInstance()] = true
				f.inFlight = slices.DeleteFunc(f.inFlight, func(m Message) bool { return f.farSide[m.From] != f.farSide[m.To] })
				for side := range sideBefore {
					sideBefore[side] = f.sideShare("a", side == 1)
				}
			case op < 18:
				clear(f.farSide)
			case op < 19 && removed+added == 0 && len(f.live) > 2:
				clear(f.farSide)
				if rapid.Bool().Draw(t, "join") {
					added = 1
					name := ident.Instance("new")
					f.live = append(f.live, name)
					f.all[name] = newShares(name, f.live)
				} else {
					removed = 1
					gone := anyInstance()
					f.live = slices.DeleteFunc(f.live, func(u ident.Instance) bool { return u == gone })
					f.inFlight = slices.DeleteFunc(f.inFlight, func(m Message) bool { return m.To == gone })
				}
				for _, name := range f.live {
					stale[name] = name != "new"
				}
			case removed+added > 0:
				name := anyInstance()
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
				if got := f.totalShare(w); got > bound+rounding {
					t.Fatalf("sum of the shares of %s: got %v, want at most %v", w, got, bound)
				}
			}
			for side := range sideBefore {
				if got := f.sideShare("a", side == 1); len(f.farSide) > 0 && got > sideBefore[side]+rounding {
					t.Fatalf("share on side %d of a partition: got %v, want at most %v as before it", side, got, sideBefore[side])
				}
			}
		}
	})
}

// round calls Tick on all instances and delivers the messages that are not lost.
func (f *fleet) round(loseMessage func() bool) {
	f.now = f.now.Add(time.Second)
	for _, name := range f.live {
		f.tick(name)
	}
	for len(f.inFlight) > 0 {
		if !loseMessage() {
			f.deliver(0)
		}
		f.inFlight = f.inFlight[1:]
	}
}

// TestRemovedMembers moves large shares between instances, removes some instances and
// tells the remaining ones one after the other. The sum of the shares must stay
// within its bound.
func TestRemovedMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 6).Draw(t, "instances")
		f := newFleet(n)
		loseMessage := func() bool { return rapid.IntRange(0, 9).Draw(t, "lost") == 0 }
		moveShare := func(rounds int) {
			at := f.all[rapid.SampledFrom(f.live).Draw(t, "busy")]
			for range rounds {
				at.AddDemand("a", 2*limit)
				f.round(loseMessage)
			}
		}
		for range rapid.IntRange(1, 4).Draw(t, "moves") {
			moveShare(6)
		}
		removed := rapid.IntRange(1, n-2).Draw(t, "removed")
		f.live = rapid.Permutation(f.live).Draw(t, "order")[removed:]
		checkTotal := func(bound float64) {
			if got := f.totalShare("a"); got > bound+rounding {
				t.Fatalf("sum of the shares: got %v, want at most %v with %d of %d removed", got, bound, removed, n)
			}
		}
		for _, name := range f.live {
			f.all[name].SetMembers(f.live, f.now)
			checkTotal(1 + float64(removed)/float64(n))
			moveShare(1)
			checkTotal(1 + float64(removed)/float64(n))
		}
		checkTotal(1)
		moveShare(12)
		checkTotal(1)
		if got, want := f.totalShare("a"), 0.8; got < want {
			t.Fatalf("sum of the shares at the end: got %v, want at least %v", got, want)
		}
	})
}

// TestFollowsDemand sends all demand to one instance and then to another. It
// compares the fraction of the limit that this instance can use with a fixed equal
// share.
func TestFollowsDemand(t *testing.T) {
	const n, seconds = 6, 30
	f := newFleet(n)
	fixed := 1.0 / n
	never := func() bool { return false }
	for _, at := range f.live[:2] {
		reached := 0
		for s := range seconds {
			f.all[at].AddDemand("a", limit)
			f.round(never)
			rate, _ := f.all[at].Rate("a")
			if reached == 0 && rate > 0.9*limit {
				reached = s + 1
			}
		}
		rate, _ := f.all[at].Rate("a")
		t.Logf("%s: fixed %.2f, shares %.2f of the limit, 0.90 after %d s", at, fixed, rate/limit, reached)
		if got, want := rate/limit, 0.9; got < want {
			t.Errorf("fraction of the limit at %s: got %.2f, want at least %.2f", at, got, want)
		}
	}
	for range 2 * seconds {
		f.round(never)
	}
	for _, name := range f.live {
		if ms := f.all[name].Tick(f.now); len(ms) > 0 {
			t.Errorf("messages of %s without demand: got %+v, want none", name, ms)
		}
	}
}

// TestOnlyActiveWorkspacesSent checks that messages carry only active workspaces, with
// 5500 workspaces of which 5 are active.
func TestOnlyActiveWorkspacesSent(t *testing.T) {
	f := newFleet(3)
	s := f.all["i00"]
	for i := range 3 * 5500 {
		w := ident.Workspace(fmt.Sprint(i % 5500))
		s.Rate(w)
		if i%1100 == 0 {
			s.AddDemand(w, limit)
			f.now = f.now.Add(time.Second)
			f.tick("i00")
		}
	}
	if len(f.inFlight) == 0 {
		t.Fatal("messages: got none")
	}
	for _, m := range f.inFlight {
		if got := len(m.Rows); got > 5 || len(s.ActiveWorkspaces()) != 5 {
			t.Errorf("rows: got %d, want at most 5 with as many accounts, not %d", got, len(s.ActiveWorkspaces()))
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
			s.AddDemand(ident.Workspace(fmt.Sprint(i*configured/active)), 100)
		}
		s.Tick(now)
	}
}

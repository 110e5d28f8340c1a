package admission

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/unit"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7")
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

// ledger is the naive record of where each request is.
type ledger struct {
	waiting map[ident.Generation]Item
	order   []ident.Generation
	running map[ident.Generation]Item
	passed  map[Priority]int // grants to others while a request could start
}

func (l *ledger) settle(t *rapid.T, as []Answer) {
	for _, a := range as {
		if _, ok := l.waiting[a.ID]; !ok {
			t.Fatalf("answer to %s, which does not wait", a.ID)
		}
		if l.waiting[a.ID].Priority == Resumed {
			t.Fatalf("resumed request %s refused: %v", a.ID, a.Err)
		}
		if a.Err.RetryAfter <= 0 {
			t.Fatalf("answer to %s without a time to come back", a.ID)
		}
		delete(l.waiting, a.ID)
	}
}

// startable returns the waiting requests that may start, in order of arrival.
func (l *ledger) startable(limits func(ident.Workspace) Limits) []Item {
	runs := map[ident.Workspace]int{}
	for _, it := range l.running {
		runs[it.Workspace]++
	}
	var items []Item
	for _, id := range l.order {
		it, ok := l.waiting[id]
		limit := limits(it.Workspace).Concurrent
		if ok && (it.Priority == Resumed || limit == 0 || runs[it.Workspace] < limit) {
			items = append(items, it)
		}
	}
	return items
}

// grant holds one grant against the record.
func (l *ledger) grant(t *rapid.T, q *Queue, g Grant, now time.Time, limits func(ident.Workspace) Limits) {
	if _, ok := l.waiting[g.ID]; !ok {
		t.Fatalf("granted %s, which does not wait", g.ID)
	}
	if g.Priority != Resumed && !g.Deadline.IsZero() && now.After(g.Deadline) {
		t.Fatalf("granted %s after its deadline", g.ID)
	}
	could := map[Priority]bool{}
	allowed := false
	for _, it := range l.startable(limits) {
		could[it.Priority] = true
		if it.Priority != g.Priority || it.Workspace != g.Workspace {
			continue
		}
		if !allowed && it.ID != g.ID {
			t.Fatalf("granted %s before %s of the same line", g.ID, it.ID)
		}
		allowed = true
	}
	if !allowed {
		t.Fatalf("granted %s beyond the cap of %s", g.ID, g.Workspace)
	}
	for p := Resumed; p < priorities; p++ {
		if !could[p] || p == g.Priority {
			l.passed[p] = 0
			continue
		}
		l.passed[p]++
		if most := q.bypass(p) + 3; l.passed[p] > most {
			t.Fatalf("grants past priority %d: got %d, want at most %d", p, l.passed[p], most)
		}
	}
	delete(l.waiting, g.ID)
	l.running[g.ID] = g.Item
}

func (l *ledger) bounds(t *rapid.T, q *Queue) {
	others, resumed, cost := 0, 0, 0.0
	for _, it := range l.waiting {
		if it.Priority == Resumed {
			resumed++
			continue
		}
		others++
		cost += it.Cost
	}
	if others > q.cfg.MaxItems || resumed > q.cfg.MaxResumed || cost > q.cfg.MaxCost+1e-6 {
		t.Fatalf("waiting: got %d of cost %v and %d resumed, want within %+v", others, cost, resumed, q.cfg)
	}
	waiting, running := q.Len()
	if waiting != len(l.waiting) || running != len(l.running) {
		t.Fatalf("waiting and running: got %d and %d, want %d and %d", waiting, running, len(l.waiting), len(l.running))
	}
}

// TestInvariants applies arbitrary events. Each request is at all times in one
// place: waiting, running or finally answered; nothing goes past its bound.
func TestInvariants(t *testing.T) {
	workspaces := rapid.SampledFrom([]ident.Workspace{"a", "b", "c"})
	rapid.Check(t, func(t *rapid.T) {
		limit := map[ident.Workspace]Limits{
			"a": {Share: 2, Concurrent: rapid.IntRange(-1, 3).Draw(t, "cap")},
			"b": {Share: 1},
		}
		limits := func(w ident.Workspace) Limits { return limit[w] }
		q := New(Settings{MaxItems: 12, MaxCost: 100, MaxResumed: 50, ResumedBypass: 4, NormalBypass: 4, BatchBypass: 5}, limits)
		l := &ledger{map[ident.Generation]Item{}, nil, map[ident.Generation]Item{}, map[Priority]int{}}
		now := start
		var granted []Grant // run and may be returned, the last first
		for i := range rapid.IntRange(1, 150).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "dt")) * time.Millisecond)
			switch op := rapid.IntRange(0, 12).Draw(t, "op"); {
			case op < 6:
				it := Item{
					ID:        ident.Generation(fmt.Sprint(i)),
					Workspace: workspaces.Draw(t, "w"),
					Priority:  Priority(rapid.IntRange(0, 3).Draw(t, "p")),
					Cost:      float64(rapid.IntRange(1, 40).Draw(t, "cost")),
				}
				if rapid.Bool().Draw(t, "late") {
					it.Deadline = now.Add(time.Second)
				}
				err, as := q.Offer(it, now)
				l.settle(t, as)
				if err == nil {
					l.waiting[it.ID] = it
					l.order = append(l.order, it.ID)
				} else if it.Priority == Resumed || err.Run != result.RunNot || err.RetryAfter <= 0 {
					t.Fatalf("offer of %+v: got %+v", it, err)
				}
			case op < 9:
				for range rapid.IntRange(1, 4).Draw(t, "capacity") {
					gs, as := q.Next(1, now)
					l.settle(t, as)
					for _, g := range gs {
						l.grant(t, q, g, now, limits)
					}
					granted = append(granted, gs...)
					if len(gs) == 0 && len(l.startable(limits)) > 0 {
						t.Fatalf("no grant while %v may start", l.startable(limits))
					}
				}
			case op < 10:
				for len(granted) > 0 && rapid.Bool().Draw(t, "no upstream takes it") {
					g := granted[len(granted)-1]
					granted = granted[:len(granted)-1]
					delete(l.running, g.ID)
					l.waiting[g.ID] = g.Item
					l.settle(t, q.Return(g, now))
				}
			case op < 11:
				granted = nil
				for id := range l.running {
					q.Finish(id, float64(rapid.IntRange(1, 80).Draw(t, "actual")))
					delete(l.running, id)
				}
			case op < 12:
				l.settle(t, q.Expire(now))
				for id, it := range l.waiting {
					if it.Priority != Resumed && !it.Deadline.IsZero() && now.After(it.Deadline) {
						t.Fatalf("%s still waits after its deadline", id)
					}
				}
			default:
				if len(l.order) > 0 {
					id := rapid.SampledFrom(l.order).Draw(t, "cancel")
					_, want := l.waiting[id]
					if got := q.Cancel(id); got != want {
						t.Fatalf("cancel %s: got %v, want %v", id, got, want)
					}
					delete(l.waiting, id)
				}
			}
			l.bounds(t, q)
		}
	})
}

// TestSharesHold holds the service of any two workspaces that both wait, over
// every span, to the bound of start-time fair queueing.
func TestSharesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 50
		share := map[ident.Workspace]float64{"a": 1, "b": float64(rapid.IntRange(1, 5).Draw(t, "b")), "c": 0.5}
		q := New(Settings{MaxItems: 1000, MaxCost: 1e6}, func(w ident.Workspace) Limits { return Limits{Share: share[w]} })
		left := map[ident.Workspace]int{}
		n := 0
		offer := func(w ident.Workspace) {
			n++
			left[w]++
			cost := float64(rapid.IntRange(1, largest).Draw(t, "cost"))
			if err, _ := q.Offer(Item{ID: ident.Generation(fmt.Sprint(n)), Workspace: w, Priority: Normal, Cost: cost}, start); err != nil {
				t.Fatalf("offer: got %v, want none", err)
			}
		}
		for range 30 {
			offer("a")
			offer("c")
		}
		for range rapid.IntRange(0, 20).Draw(t, "before b comes") {
			gs, _ := q.Next(1, start)
			left[gs[0].Workspace]--
		}
		for range rapid.IntRange(1, 25).Draw(t, "items") {
			offer("b")
		}
		var served []map[ident.Workspace]float64
		sum := map[ident.Workspace]float64{}
		for left["a"] > 0 && left["b"] > 0 {
			served = append(served, map[ident.Workspace]float64{"a": sum["a"], "b": sum["b"]})
			gs, _ := q.Next(1, start)
			w := gs[0].Workspace
			sum[w] += gs[0].Cost
			left[w]--
			if rapid.IntRange(0, 3).Draw(t, "more") == 0 {
				offer("c")
			}
		}
		bound := largest/share["a"] + largest/share["b"]
		for i := range served {
			for k := i; k < len(served); k++ {
				got := math.Abs((served[k]["a"]-served[i]["a"])/share["a"] - (served[k]["b"]-served[i]["b"])/share["b"])
				if got > bound+1e-6 {
					t.Fatalf("difference of service for shares: got %v, want at most %v", got, bound)
				}
			}
		}
	})
}

// TestRefusalLeavesOrder refuses a request that more than all below it would
// have to give way to, and holds the order of those.
func TestRefusalLeavesOrder(t *testing.T) {
	q := New(Settings{MaxCost: 100}, func(ident.Workspace) Limits { return Limits{} })
	q.Offer(Item{ID: "u", Workspace: "a", Priority: Urgent, Cost: 90}, start)
	q.Offer(Item{ID: "b1", Workspace: "b", Priority: Batch, Cost: 5}, start)
	q.Offer(Item{ID: "b2", Workspace: "b", Priority: Batch, Cost: 5}, start)
	err, as := q.Offer(Item{ID: "n", Workspace: "a", Priority: Normal, Cost: 40}, start)
	if err == nil || err.Code != result.Overloaded || len(as) != 0 {
		t.Fatalf("offer: got %v and answers %v, want %v and none", err, as, result.Overloaded)
	}
	for _, want := range []ident.Generation{"u", "b1", "b2"} {
		if gs, _ := q.Next(1, start); len(gs) != 1 || gs[0].ID != want {
			t.Errorf("grant: got %v, want %s", gs, want)
		}
	}
}

// TestLightBesideHeavy compares the waits of a light workspace beside a heavy
// one with those of a first-come-first-served line, in virtual time.
func TestLightBesideHeavy(t *testing.T) {
	const rate, seconds = 100.0, 20
	q := New(Settings{MaxItems: 100}, func(ident.Workspace) Limits { return Limits{} })
	waits := map[ident.Workspace]time.Duration{}
	naive := time.Duration(0)
	line, n := 0.0, 0
	for s := range seconds {
		now := start.Add(time.Duration(s) * time.Second)
		for i := range 25 {
			w := ident.Workspace("heavy")
			if i == 24 {
				w = "light"
				naive = max(naive, time.Duration(line/rate*float64(time.Second)))
			}
			n++
			q.Offer(Item{ID: ident.Generation(fmt.Sprint(n)), Workspace: w, Priority: Normal, Cost: 10}, now)
			line += 10
		}
		gs, _ := q.Next(rate/10, now.Add(time.Second))
		line -= rate
		for _, g := range gs {
			waits[g.Workspace] = max(waits[g.Workspace], g.Waited)
			q.Finish(g.ID, g.Cost)
		}
	}
	t.Logf("longest wait of the light workspace: first come first served %v, queue %v", naive, waits["light"])
	if got, want := waits["light"], time.Second; got > want {
		t.Errorf("longest wait of the light workspace: got %v, want at most %v", got, want)
	}
}

// TestRefusedAtOnce fills the queue beyond what drains before the deadline and
// holds the refusals and the spread of the returns.
func TestRefusedAtOnce(t *testing.T) {
	q := New(Settings{Window: unit.Duration(time.Second)}, func(ident.Workspace) Limits { return Limits{} })
	offer := func(i int, now time.Time, deadline time.Duration) *result.Error {
		it := Item{ID: ident.Generation(fmt.Sprint(i)), Workspace: "w", Priority: Normal, Cost: 100}
		if deadline > 0 {
			it.Deadline = now.Add(deadline)
		}
		err, _ := q.Offer(it, now)
		return err
	}
	for i := range 200 {
		offer(i, start, 0)
	}
	now := start
	for range 50 {
		q.Next(1, now)
		now = now.Add(100 * time.Millisecond)
	}
	// 150 wait and 10 are granted a second: the next starts in 15 s or later.
	if err := offer(1000, now, 30*time.Second); err != nil {
		t.Errorf("deadline of 30 s: got %v, want none", err)
	}
	var buckets [4]int
	for i := range 400 {
		err := offer(2000+i, now, 10*time.Second)
		if err == nil || err.Code != result.DeadlineInfeasible {
			t.Fatalf("deadline of 10 s: got %v, want %v", err, result.DeadlineInfeasible)
		}
		b := int((err.RetryAfter - defaultMinRetry) / (4 * time.Second))
		if b < 0 || b >= len(buckets) {
			t.Fatalf("RetryAfter: got %v, want within the backlog of 16 s", err.RetryAfter)
		}
		buckets[b]++
	}
	for _, n := range buckets[:3] {
		if n < 50 {
			t.Errorf("returns by quarter of the backlog: got %v, want an even spread", buckets)
		}
	}
}

func BenchmarkOfferNext(b *testing.B) {
	const workspaces = 5500
	for _, most := range []int{400, defaultMaxItems} {
		b.Run(fmt.Sprint(most), func(b *testing.B) {
			q := New(Settings{}, func(ident.Workspace) Limits { return Limits{Concurrent: 100} })
			for i := 0; b.Loop(); i++ {
				w := ident.Workspace(fmt.Sprint(i * 7919 % workspaces))
				q.Offer(Item{ID: ident.Generation(fmt.Sprint(i)), Workspace: w, Priority: Priority(2 + i%2), Cost: 400}, start)
				if n, _ := q.Len(); n < most {
					continue
				}
				gs, _ := q.Next(min(1, i%2+defaultMaxItems-most), start)
				for _, g := range gs {
					q.Finish(g.ID, 380)
				}
			}
		})
	}
}

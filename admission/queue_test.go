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

// model is a simple reference model of the state of each request.
type model struct {
	waiting  map[ident.Generation]Item
	arrivals []ident.Generation
	running  map[ident.Generation]Item
	bypassed map[Priority]int // consecutive grants to other priorities while a request could start
}

// checkRefusals checks the refusals against the model and applies them.
func (m *model) checkRefusals(t *rapid.T, as []Refusal) {
	for _, a := range as {
		if _, ok := m.waiting[a.ID]; !ok {
			t.Fatalf("refusal of %s, which is not waiting", a.ID)
		}
		if m.waiting[a.ID].Priority == Resumed {
			t.Fatalf("resumed request %s refused: %v", a.ID, a.Err)
		}
		if a.Err.RetryAfter <= 0 {
			t.Fatalf("refusal of %s: got RetryAfter %v, want a positive duration", a.ID, a.Err.RetryAfter)
		}
		delete(m.waiting, a.ID)
	}
}

// startable returns the waiting requests that may start, in order of arrival.
func (m *model) startable(limits func(ident.Workspace) Limits) []Item {
	runs := map[ident.Workspace]int{}
	for _, it := range m.running {
		runs[it.Workspace]++
	}
	var items []Item
	for _, id := range m.arrivals {
		it, ok := m.waiting[id]
		limit := limits(it.Workspace).Concurrent
		if ok && (it.Priority == Resumed || limit == 0 || runs[it.Workspace] < limit) {
			items = append(items, it)
		}
	}
	return items
}

// checkGrant checks one grant against the model and applies it.
func (m *model) checkGrant(t *rapid.T, q *Queue, g Grant, now time.Time, limits func(ident.Workspace) Limits) {
	if _, ok := m.waiting[g.ID]; !ok {
		t.Fatalf("granted %s, which is not waiting", g.ID)
	}
	if g.Priority != Resumed && !g.Deadline.IsZero() && now.After(g.Deadline) {
		t.Fatalf("granted %s after its deadline", g.ID)
	}
	startable := map[Priority]bool{}
	allowed := false
	for _, it := range m.startable(limits) {
		startable[it.Priority] = true
		if it.Priority != g.Priority || it.Workspace != g.Workspace {
			continue
		}
		if !allowed && it.ID != g.ID {
			t.Fatalf("granted %s before %s of the same flow", g.ID, it.ID)
		}
		allowed = true
	}
	if !allowed {
		t.Fatalf("granted %s beyond the concurrency limit of %s", g.ID, g.Workspace)
	}
	for p := Resumed; p < priorities; p++ {
		if !startable[p] || p == g.Priority {
			m.bypassed[p] = 0
			continue
		}
		m.bypassed[p]++
		if most := q.bypassLimit(p) + 3; m.bypassed[p] > most {
			t.Fatalf("grants past priority %d: got %d, want at most %d", p, m.bypassed[p], most)
		}
	}
	delete(m.waiting, g.ID)
	m.running[g.ID] = g.Item
}

// checkBounds checks the bounds of the queue and the counts that it reports.
func (m *model) checkBounds(t *rapid.T, q *Queue) {
	others, resumed, cost := 0, 0, 0.0
	for _, it := range m.waiting {
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
	if waiting != len(m.waiting) || running != len(m.running) {
		t.Fatalf("waiting and running: got %d and %d, want %d and %d", waiting, running, len(m.waiting), len(m.running))
	}
}

// TestInvariants applies random events and compares the queue with a reference
// model: each request is always either waiting, running or finished, and every
// bound holds.
func TestInvariants(t *testing.T) {
	workspaces := rapid.SampledFrom([]ident.Workspace{"a", "b", "c"})
	rapid.Check(t, func(t *rapid.T) {
		limit := map[ident.Workspace]Limits{
			"a": {Share: 2, Concurrent: rapid.IntRange(-1, 3).Draw(t, "concurrency limit")},
			"b": {Share: 1},
		}
		limits := func(w ident.Workspace) Limits { return limit[w] }
		q := New(Settings{MaxItems: 12, MaxCost: 100, MaxResumed: 50, ResumedBypass: 4, NormalBypass: 4, BatchBypass: 5}, limits)
		m := &model{map[ident.Generation]Item{}, nil, map[ident.Generation]Item{}, map[Priority]int{}}
		now := start
		var granted []Grant // running requests that may be requeued, the last one first
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
				if rapid.Bool().Draw(t, "has deadline") {
					it.Deadline = now.Add(time.Second)
				}
				err, as := q.Offer(it, now)
				m.checkRefusals(t, as)
				if err == nil {
					m.waiting[it.ID] = it
					m.arrivals = append(m.arrivals, it.ID)
				} else if it.Priority == Resumed || err.Run != result.RunNot || err.RetryAfter <= 0 {
					t.Fatalf("offer of %+v: got %+v", it, err)
				}
			case op < 9:
				for range rapid.IntRange(1, 4).Draw(t, "capacity") {
					gs, as := q.Next(1, now)
					m.checkRefusals(t, as)
					for _, g := range gs {
						m.checkGrant(t, q, g, now, limits)
					}
					granted = append(granted, gs...)
					if len(gs) == 0 && len(m.startable(limits)) > 0 {
						t.Fatalf("no grant while %v may start", m.startable(limits))
					}
				}
			case op < 10:
				for len(granted) > 0 && rapid.Bool().Draw(t, "no upstream accepts it") {
					g := granted[len(granted)-1]
					granted = granted[:len(granted)-1]
					delete(m.running, g.ID)
					m.waiting[g.ID] = g.Item
					m.checkRefusals(t, q.Requeue(g, now))
				}
			case op < 11:
				granted = nil
				for id := range m.running {
					q.Finish(id, float64(rapid.IntRange(1, 80).Draw(t, "actual")))
					delete(m.running, id)
				}
			case op < 12:
				m.checkRefusals(t, q.Expire(now))
				for id, it := range m.waiting {
					if it.Priority != Resumed && !it.Deadline.IsZero() && now.After(it.Deadline) {
						t.Fatalf("%s still waits after its deadline", id)
					}
				}
			default:
				if len(m.arrivals) > 0 {
					id := rapid.SampledFrom(m.arrivals).Draw(t, "cancel")
					_, want := m.waiting[id]
					if got := q.Cancel(id); got != want {
						t.Fatalf("cancel %s: got %v, want %v", id, got, want)
					}
					delete(m.waiting, id)
				}
			}
			m.checkBounds(t, q)
		}
	})
}

// TestFairShares checks the fairness bound of start-time fair queueing for two
// workspaces that both wait, over every interval.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 50
		share := map[ident.Workspace]float64{"a": 1, "b": float64(rapid.IntRange(1, 5).Draw(t, "b")), "c": 0.5}
		q := New(Settings{MaxItems: 1000, MaxCost: 1e6}, func(w ident.Workspace) Limits { return Limits{Share: share[w]} })
		waiting := map[ident.Workspace]int{}
		n := 0
		offer := func(w ident.Workspace) {
			n++
			waiting[w]++
			cost := float64(rapid.IntRange(1, largest).Draw(t, "cost"))
			if err, _ := q.Offer(Item{ID: ident.Generation(fmt.Sprint(n)), Workspace: w, Priority: Normal, Cost: cost}, start); err != nil {
				t.Fatalf("offer: got %v, want none", err)
			}
		}
		for range 30 {
			offer("a")
			offer("c")
		}
		for range rapid.IntRange(0, 20).Draw(t, "grants before b arrives") {
			gs, _ := q.Next(1, start)
			waiting[gs[0].Workspace]--
		}
		for range rapid.IntRange(1, 25).Draw(t, "items") {
			offer("b")
		}
		var served []map[ident.Workspace]float64
		sum := map[ident.Workspace]float64{}
		for waiting["a"] > 0 && waiting["b"] > 0 {
			served = append(served, map[ident.Workspace]float64{"a": sum["a"], "b": sum["b"]})
			gs, _ := q.Next(1, start)
			w := gs[0].Workspace
			sum[w] += gs[0].Cost
			waiting[w]--
			if rapid.IntRange(0, 3).Draw(t, "more") == 0 {
				offer("c")
			}
		}
		bound := largest/share["a"] + largest/share["b"]
		for i := range served {
			for k := i; k < len(served); k++ {
				got := math.Abs((served[k]["a"]-served[i]["a"])/share["a"] - (served[k]["b"]-served[i]["b"])/share["b"])
				if got > bound+1e-6 {
					t.Fatalf("difference of normalized service: got %v, want at most %v", got, bound)
				}
			}
		}
	})
}

// TestRefusalKeepsOrder offers a request that does not fit even if all requests of
// lower priority were displaced. It must be refused and the order of the others
// must not change.
func TestRefusalKeepsOrder(t *testing.T) {
	q := New(Settings{MaxCost: 100}, func(ident.Workspace) Limits { return Limits{} })
	q.Offer(Item{ID: "u", Workspace: "a", Priority: Urgent, Cost: 90}, start)
	q.Offer(Item{ID: "b1", Workspace: "b", Priority: Batch, Cost: 5}, start)
	q.Offer(Item{ID: "b2", Workspace: "b", Priority: Batch, Cost: 5}, start)
	err, as := q.Offer(Item{ID: "n", Workspace: "a", Priority: Normal, Cost: 40}, start)
	if err == nil || err.Code != result.Overloaded || len(as) != 0 {
		t.Fatalf("offer: got %v and refusals %v, want %v and none", err, as, result.Overloaded)
	}
	for _, want := range []ident.Generation{"u", "b1", "b2"} {
		if gs, _ := q.Next(1, start); len(gs) != 1 || gs[0].ID != want {
			t.Errorf("grant: got %v, want %s", gs, want)
		}
	}
}

// TestLightBesideHeavy compares, in virtual time, the wait of a workspace with few
// requests beside one with many with its wait in a first-come-first-served queue.
func TestLightBesideHeavy(t *testing.T) {
	const rate, seconds = 100.0, 20
	q := New(Settings{MaxItems: 100}, func(ident.Workspace) Limits { return Limits{} })
	waits := map[ident.Workspace]time.Duration{}
	longestFCFS := time.Duration(0)
	backlogFCFS, n := 0.0, 0
	for s := range seconds {
		now := start.Add(time.Duration(s) * time.Second)
		for i := range 25 {
			w := ident.Workspace("heavy")
			if i == 24 {
				w = "light"
				longestFCFS = max(longestFCFS, time.Duration(backlogFCFS/rate*float64(time.Second)))
			}
			n++
			q.Offer(Item{ID: ident.Generation(fmt.Sprint(n)), Workspace: w, Priority: Normal, Cost: 10}, now)
			backlogFCFS += 10
		}
		gs, _ := q.Next(rate/10, now.Add(time.Second))
		backlogFCFS -= rate
		for _, g := range gs {
			waits[g.Workspace] = max(waits[g.Workspace], g.Waited)
			q.Finish(g.ID, g.Cost)
		}
	}
	t.Logf("longest wait of the light workspace: first come first served %v, queue %v", longestFCFS, waits["light"])
	if got, want := waits["light"], time.Second; got > want {
		t.Errorf("longest wait of the light workspace: got %v, want at most %v", got, want)
	}
}

// TestImmediateRefusal builds a backlog that cannot drain before a deadline, and
// checks that requests with that deadline are refused immediately and that their
// retries are spread evenly.
func TestImmediateRefusal(t *testing.T) {
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
	// 150 requests wait and 10 are granted per second, so the next one starts after
	// 15 s or later.
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
			t.Errorf("returns by quarter of the backlog: got %v, want at least 50 in each of the first three", buckets)
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

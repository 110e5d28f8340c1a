package admission

import (
	"time"

	"crocuslug/ident"
)

// Next grants up to capacity requests in their turn. The answers are of requests
// whose deadline has passed when their turn came.
func (q *Queue) Next(capacity int, now time.Time) ([]Grant, []Answer) {
	return q.NextOf(Batch, capacity, now)
}

// NextOf grants like Next, but only requests of the lowest priority given or
// higher ones, and those that were passed as often as may be.
func (q *Queue) NextOf(lowest Priority, capacity int, now time.Time) ([]Grant, []Answer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.roll(now)
	var gs []Grant
	var as []Answer
	for len(gs) < capacity {
		p, f := q.turn(lowest)
		if f == nil {
			break
		}
		if e := f.items.Front().Value.(*entry); e.late(now) {
			as = append(as, q.expire(now)...)
			continue
		}
		gs = append(gs, q.grant(p, f, now))
	}
	return gs, as
}

// turn returns the flow whose turn it is: that of the priority that was passed
// most beyond its bound, or else of the highest down to the lowest given.
func (q *Queue) turn(lowest Priority) (Priority, *flow) {
	var first, due *flow
	var firstP, dueP Priority
	most := -1
	for p := Urgent; p < priorities; p++ {
		f := q.head(p)
		if f == nil {
			continue
		}
		if first == nil && p <= lowest {
			first, firstP = f, p
		}
		if over := q.classes[p].bypassed - q.bypass(p); p != Urgent && over > most {
			due, dueP, most = f, p, over
		}
	}
	if due != nil {
		return dueP, due
	}
	return firstP, first
}

func (q *Queue) bypass(p Priority) int {
	switch p {
	case Resumed:
		return q.cfg.ResumedBypass
	case Normal:
		return q.cfg.NormalBypass
	default:
		return q.cfg.BatchBypass
	}
}

// head returns the first flow of a priority whose workspace is below its cap.
func (q *Queue) head(p Priority) *flow {
	c := q.classes[p]
	for len(c.heap) > 0 {
		f := c.heap[0]
		limit := q.limits(f.workspace).Concurrent
		if p == Resumed || limit == 0 || q.running[f.workspace] < limit {
			return f
		}
		c.park(f)
	}
	c.bypassed = 0
	return nil
}

func (q *Queue) grant(p Priority, f *flow, now time.Time) Grant {
	for o, c := range q.classes {
		if Priority(o) != p && len(c.heap) > 0 {
			c.bypassed++
		}
	}
	q.classes[p].bypassed = 0
	e := q.classes[p].serve(f)
	delete(q.entries, e.ID)
	q.granted[e.ID] = e.Item
	q.running[e.Workspace]++
	q.drained(p, e.Cost, 1)
	return Grant{e.Item, now.Sub(e.since)}
}

// drained counts a grant, or takes it back if n is -1. It ends the windows of other
// priorities as well, since they could have had it.
func (q *Queue) drained(p Priority, cost float64, n int) {
	q.drain.count(cost, n)
	for o := range q.drains {
		if Priority(o) == p {
			q.drains[o].count(cost, n)
		} else {
			q.drains[o].count(0, n)
		}
	}
}

// Finish ends a granted request and charges its workspace for its cost in
// tokens. An unknown id is ignored.
func (q *Queue) Finish(id ident.Generation, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	it, ok := q.granted[id]
	if !ok {
		return
	}
	q.forget(it)
	q.classes[it.Priority].correct(it.Workspace, cost-it.Cost)
}

// forget ends the running of it and gives its workspace its turn again.
func (q *Queue) forget(it Item) {
	delete(q.granted, it.ID)
	q.running[it.Workspace]--
	if q.running[it.Workspace] == 0 {
		delete(q.running, it.Workspace)
	}
	for _, c := range q.classes {
		if f, ok := c.flows[it.Workspace]; ok {
			c.unpark(f)
		}
	}
}

// Len returns the number of requests that wait and of those that run.
func (q *Queue) Len() (waiting, running int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.entries), len(q.granted)
}

// Backlog returns the time that granting all waiting requests takes at the
// present drain rate, or 0 while that is unknown.
func (q *Queue) Backlog() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	cost := 0.0
	for _, c := range q.classes {
		cost += c.cost
	}
	return q.drain.delay(cost, time.Hour)
}

// Running returns the number of requests of w that run.
func (q *Queue) Running(w ident.Workspace) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running[w]
}

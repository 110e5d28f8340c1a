package admission

import (
	"time"

	"crocuslug/ident"
)

// Next grants up to capacity requests in fair order. It also returns refusals for
// requests whose deadline passed while they waited.
func (q *Queue) Next(capacity int, now time.Time) ([]Grant, []Refusal) {
	return q.NextDownTo(Batch, capacity, now)
}

// NextDownTo grants like Next, but only requests with at least the priority lowest
// and those of classes that have been bypassed as often as their limit allows.
func (q *Queue) NextDownTo(lowest Priority, capacity int, now time.Time) ([]Grant, []Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rollWindows(now)
	var grants []Grant
	var refusals []Refusal
	for len(grants) < capacity {
		p, f := q.nextFlow(lowest)
		if f == nil {
			break
		}
		if e := f.items.Front().Value.(*entry); e.expired(now) {
			refusals = append(refusals, q.expire(now)...)
			continue
		}
		grants = append(grants, q.grant(p, f, now))
	}
	return grants, refusals
}

// nextFlow returns the flow to grant next. If classes have reached their bypass
// limit, it belongs to the one furthest beyond its limit; otherwise to the highest
// priority that has a ready flow and is at least lowest. The flow is nil if there
// is none.
func (q *Queue) nextFlow(lowest Priority) (Priority, *flow) {
	var first, overdue *flow
	var firstPriority, overduePriority Priority
	maxOver := -1
	for p := Urgent; p < priorities; p++ {
		f := q.readyFlow(p)
		if f == nil {
			continue
		}
		if first == nil && p <= lowest {
			first, firstPriority = f, p
		}
		if over := q.classes[p].bypassed - q.bypassLimit(p); p != Urgent && over > maxOver {
			overdue, overduePriority, maxOver = f, p, over
		}
	}
	if overdue != nil {
		return overduePriority, overdue
	}
	return firstPriority, first
}

// bypassLimit returns the number of grants that may go past waiting requests of
// priority p.
func (q *Queue) bypassLimit(p Priority) int {
	switch p {
	case Resumed:
		return q.cfg.ResumedBypass
	case Normal:
		return q.cfg.NormalBypass
	default:
		return q.cfg.BatchBypass
	}
}

// readyFlow returns the first flow of priority p whose workspace is below its
// concurrency limit. It parks the flows before it, and returns nil if there is none.
func (q *Queue) readyFlow(p Priority) *flow {
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

// grant removes the first request of f from the queue and marks it as running.
func (q *Queue) grant(p Priority, f *flow, now time.Time) Grant {
	for o, c := range q.classes {
		if Priority(o) != p && len(c.heap) > 0 {
			c.bypassed++
		}
	}
	q.classes[p].bypassed = 0
	e := q.classes[p].dequeue(f)
	delete(q.waiting, e.ID)
	q.granted[e.ID] = e.Item
	q.running[e.Workspace]++
	q.countGrant(p, e.Cost, 1)
	return Grant{e.Item, now.Sub(e.enqueued)}
}

// countGrant counts a grant if sign is 1 and undoes one if sign is -1. Other
// priorities count it as a grant without cost, since one of their requests could
// have been granted instead.
func (q *Queue) countGrant(p Priority, cost float64, sign int) {
	q.totalDrain.addGrant(cost, sign)
	for o := range q.classDrain {
		if Priority(o) == p {
			q.classDrain[o].addGrant(cost, sign)
		} else {
			q.classDrain[o].addGrant(0, sign)
		}
	}
}

// Finish ends a granted request and charges its workspace for its actual cost in
// tokens. An unknown id is ignored.
func (q *Queue) Finish(id ident.Generation, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	item, ok := q.granted[id]
	if !ok {
		return
	}
	q.release(item)
	q.classes[item.Priority].adjustCharge(item.Workspace, cost-item.Cost)
}

// release removes item from the running requests and unparks the flows of its
// workspace, which may now be below its concurrency limit.
func (q *Queue) release(item Item) {
	delete(q.granted, item.ID)
	q.running[item.Workspace]--
	if q.running[item.Workspace] == 0 {
		delete(q.running, item.Workspace)
	}
	for _, c := range q.classes {
		if f, ok := c.flows[item.Workspace]; ok {
			c.unpark(f)
		}
	}
}

// Len returns the numbers of waiting and of running requests.
func (q *Queue) Len() (waiting, running int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting), len(q.granted)
}

// WaitingDownTo returns the number of waiting requests with at least the priority lowest.
func (q *Queue) WaitingDownTo(lowest Priority) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for p := Urgent; p <= lowest; p++ {
		n += q.classes[p].items
	}
	return n
}

// CostDownTo returns the total cost of the waiting requests with at least the priority lowest.
func (q *Queue) CostDownTo(lowest Priority) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	cost := 0.0
	for p := Urgent; p <= lowest; p++ {
		cost += q.classes[p].cost
	}
	return cost
}

// Backlog returns the time needed to grant all waiting requests at the current
// drain rate, at most an hour. It returns 0 while the rate is unknown.
func (q *Queue) Backlog() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	cost := 0.0
	for _, c := range q.classes {
		cost += c.cost
	}
	return q.totalDrain.timeFor(cost, time.Hour)
}

// Running returns the number of running requests of w.
func (q *Queue) Running(w ident.Workspace) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running[w]
}

package admission

import (
	"container/heap"
	"time"
)

// Return puts a granted request back to the front of its line, as if it had not
// been granted, because no upstream took it. Its wait and deadline go on. A
// request that does not run is ignored. The answers are of requests that have to
// make room because others came meanwhile.
func (q *Queue) Return(g Grant, now time.Time) []Answer {
	q.mu.Lock()
	defer q.mu.Unlock()
	it, ok := q.granted[g.ID]
	if !ok {
		return nil
	}
	q.forget(it)
	q.drained(it.Priority, it.Cost, -1)
	share := q.limits(it.Workspace).Share
	if share <= 0 {
		share = 1
	}
	e := &entry{Item: it, since: now.Add(-g.Waited)}
	q.entries[it.ID] = e
	q.classes[it.Priority].pushFront(e, share)
	return q.shed()
}

// shed drops requests, the lowest priority first, until the queue is within its
// bounds again.
func (q *Queue) shed() []Answer {
	var removed []*entry
	for q.over(Normal, 0, 0) {
		e := q.victim(Item{Priority: Resumed})
		if e == nil {
			break
		}
		q.drop(e)
		removed = append(removed, e)
	}
	return q.displaced(removed)
}

// pushFront puts e back at the head of the line of its workspace.
func (c *class) pushFront(e *entry, share float64) {
	f, ok := c.flows[e.Workspace]
	if !ok || f.items.Len() == 0 {
		c.push(e, share)
		return
	}
	e.flow = f
	e.element = f.items.PushFront(e)
	c.count(f, 1, e.Cost)
	f.start = max(f.start-e.Cost/f.share, 0)
	if f.index >= 0 {
		heap.Fix(&c.heap, f.index)
	}
}

package admission

import (
	"container/heap"
	"time"
)

// Requeue puts a granted request that no upstream accepted back at the front of
// its flow, as if it had not been granted. Its waiting time and deadline continue.
// A request that is not running is ignored. Requeue returns refusals for requests
// that are displaced because others arrived in the meantime.
func (q *Queue) Requeue(g Grant, now time.Time) []Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	item, ok := q.granted[g.ID]
	if !ok {
		return nil
	}
	q.release(item)
	q.countGrant(item.Priority, item.Cost, -1)
	share := q.limits(item.Workspace).Share
	if share <= 0 {
		share = 1
	}
	e := &entry{Item: item, enqueued: now.Add(-g.Waited)}
	q.waiting[item.ID] = e
	q.classes[item.Priority].pushFront(e, share)
	return q.shed()
}

// shed displaces requests, the lowest priority first, until the queue is within
// its bounds again.
func (q *Queue) shed() []Refusal {
	var removed []*entry
	for q.exceedsBounds(Normal, 0, 0) {
		e := q.victim(Item{Priority: Resumed})
		if e == nil {
			break
		}
		q.remove(e)
		removed = append(removed, e)
	}
	return q.refuseAll(removed)
}

// pushFront puts e back at the front of the flow of its workspace.
func (c *class) pushFront(e *entry, share float64) {
	f, ok := c.flows[e.Workspace]
	if !ok || f.items.Len() == 0 {
		c.push(e, share)
		return
	}
	e.flow = f
	e.element = f.items.PushFront(e)
	c.addTotals(f, 1, e.Cost)
	f.virtualStart = max(f.virtualStart-e.Cost/f.share, 0)
	if f.heapIndex >= 0 {
		heap.Fix(&c.heap, f.heapIndex)
	}
}

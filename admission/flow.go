package admission

import (
	"container/heap"
	"container/list"

	"crocuslug/ident"
)

// flow is the queue of one workspace within one priority class.
type flow struct {
	workspace     ident.Workspace
	share         float64
	items         list.List // of *entry
	cost          float64   // total cost of items
	virtualStart  float64   // virtual start time of the first item
	virtualFinish float64   // virtual finish time of the last granted item
	heapIndex     int       // index in the heap, or -1
	parked        bool      // outside the heap because its workspace is at its concurrency limit
}

// normalizedBacklog returns the waiting cost plus extra, divided by the share.
func (f *flow) normalizedBacklog(extra float64) float64 {
	return (f.cost + extra) / f.share
}

// class holds the flows of one priority. Start-time fair queueing chooses the
// next flow.
type class struct {
	flows       map[ident.Workspace]*flow
	heap        flowHeap
	virtualTime float64
	items       int
	cost        float64
	shares      float64 // sum of the shares of flows with items
	bypassed    int     // grants to other classes while this one had a request ready to start
}

func newClass() *class {
	return &class{flows: make(map[ident.Workspace]*flow)}
}

// push appends e to the flow of its workspace.
func (c *class) push(e *entry, share float64) {
	f, ok := c.flows[e.Workspace]
	if !ok {
		f = &flow{workspace: e.Workspace, heapIndex: -1}
		c.flows[e.Workspace] = f
	}
	if f.items.Len() == 0 {
		f.share = share
		f.virtualStart = max(c.virtualTime, f.virtualFinish)
		c.shares += share
		heap.Push(&c.heap, f)
	}
	e.flow = f
	e.element = f.items.PushBack(e)
	c.addTotals(f, 1, e.Cost)
}

// addTotals adds n items and their cost to the totals of f and of the class.
func (c *class) addTotals(f *flow, n int, cost float64) {
	f.cost += cost
	c.items += n
	c.cost += cost
}

// remove removes a waiting request that is not granted.
func (c *class) remove(e *entry) {
	f := e.flow
	f.items.Remove(e.element)
	c.addTotals(f, -1, -e.Cost)
	if f.items.Len() == 0 {
		f.virtualFinish = f.virtualStart
		c.deactivate(f)
	}
}

// reset clears all flows and counters at the end of a busy period.
func (c *class) reset() {
	clear(c.flows)
	c.cost, c.shares, c.virtualTime, c.bypassed = 0, 0, 0, 0
}

// dequeue removes and returns the first item of f and advances the virtual time.
func (c *class) dequeue(f *flow) *entry {
	e := f.items.Remove(f.items.Front()).(*entry)
	c.addTotals(f, -1, -e.Cost)
	c.virtualTime = max(c.virtualTime, f.virtualStart)
	f.virtualFinish = f.virtualStart + e.Cost/f.share
	f.virtualStart = f.virtualFinish
	if f.items.Len() == 0 {
		c.deactivate(f)
		if c.items == 0 {
			c.reset()
		}
		return e
	}
	heap.Fix(&c.heap, f.heapIndex)
	return e
}

// deactivate removes an empty flow from the heap. It deletes the flow unless the
// workspace has received more than its share, which must still be charged later.
func (c *class) deactivate(f *flow) {
	if f.heapIndex >= 0 {
		heap.Remove(&c.heap, f.heapIndex)
	}
	f.parked = false
	f.cost = 0
	c.shares -= f.share
	if f.virtualFinish <= c.virtualTime {
		delete(c.flows, f.workspace)
	}
}

// park removes f from the heap until it is unparked.
func (c *class) park(f *flow) {
	heap.Remove(&c.heap, f.heapIndex)
	f.parked = true
}

// unpark puts a parked flow back into the heap. The flow gets no credit for the
// service that it missed because of its own concurrency limit.
func (c *class) unpark(f *flow) {
	if !f.parked {
		return
	}
	f.parked = false
	f.virtualStart = max(f.virtualStart, c.virtualTime)
	heap.Push(&c.heap, f)
}

// adjustCharge charges the flow of w for the difference between the actual and the
// estimated cost of a request.
func (c *class) adjustCharge(w ident.Workspace, difference float64) {
	f, ok := c.flows[w]
	if !ok {
		return
	}
	change := difference / f.share
	f.virtualFinish = max(f.virtualFinish+change, c.virtualTime)
	if f.items.Len() == 0 {
		return
	}
	f.virtualStart = max(f.virtualStart+change, c.virtualTime)
	if f.heapIndex >= 0 {
		heap.Fix(&c.heap, f.heapIndex)
	}
}

// longestFlow returns the flow with the greatest backlog relative to its share, or
// nil if no request waits.
func (c *class) longestFlow() *flow {
	var longest *flow
	for _, f := range c.flows {
		if f.items.Len() == 0 {
			continue
		}
		if longest == nil || f.normalizedBacklog(0) > longest.normalizedBacklog(0) || f.normalizedBacklog(0) == longest.normalizedBacklog(0) && f.workspace < longest.workspace {
			longest = f
		}
	}
	return longest
}

// flowHeap is a min-heap of flows, ordered by virtual start time and then by
// workspace name.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].virtualStart != h[j].virtualStart {
		return h[i].virtualStart < h[j].virtualStart
	}
	return h[i].workspace < h[j].workspace
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push adds a flow. It is called by container/heap.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop removes the last flow. It is called by container/heap.
func (h *flowHeap) Pop() any {
	old := *h
	n := len(old) - 1
	f := old[n]
	old[n] = nil
	f.heapIndex = -1
	*h = old[:n]
	return f
}

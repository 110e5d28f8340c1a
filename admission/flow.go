package admission

import (
	"container/heap"
	"container/list"

	"crocuslug/ident"
)

// flow is the line of one workspace in one class.
type flow struct {
	workspace ident.Workspace
	share     float64
	items     list.List // of *entry
	cost      float64   // cost of items
	start     float64   // virtual start of the first item
	finish    float64   // virtual finish of the last granted one
	index     int       // place in the heap, or -1
	parked    bool      // waits for a running request of its workspace to end
}

func (f *flow) backlog(extra float64) float64 {
	return (f.cost + extra) / f.share
}

// class is the lines of one priority, served by start-time fair queueing.
type class struct {
	flows    map[ident.Workspace]*flow
	heap     flowHeap
	virtual  float64
	items    int
	cost     float64
	shares   float64 // sum of the shares of flows with items
	bypassed int     // grants to others since the last one while one could start
}

func newClass() *class {
	return &class{flows: make(map[ident.Workspace]*flow)}
}

// push appends e to the line of its workspace.
func (c *class) push(e *entry, share float64) {
	f, ok := c.flows[e.Workspace]
	if !ok {
		f = &flow{workspace: e.Workspace, index: -1}
		c.flows[e.Workspace] = f
	}
	if f.items.Len() == 0 {
		f.share = share
		f.start = max(c.virtual, f.finish)
		c.shares += share
		heap.Push(&c.heap, f)
	}
	e.flow = f
	e.element = f.items.PushBack(e)
	c.count(f, 1, e.Cost)
}

func (c *class) count(f *flow, n int, cost float64) {
	f.cost += cost
	c.items += n
	c.cost += cost
}

// remove takes e out without serving it.
func (c *class) remove(e *entry) {
	f := e.flow
	f.items.Remove(e.element)
	c.count(f, -1, -e.Cost)
	if f.items.Len() == 0 {
		f.finish = f.start
		c.idle(f)
	}
}

// reset forgets the past at the end of a busy period.
func (c *class) reset() {
	clear(c.flows)
	c.cost, c.shares, c.virtual, c.bypassed = 0, 0, 0, 0
}

// serve takes the first item of f and moves the virtual time.
func (c *class) serve(f *flow) *entry {
	e := f.items.Remove(f.items.Front()).(*entry)
	c.count(f, -1, -e.Cost)
	c.virtual = max(c.virtual, f.start)
	f.finish = f.start + e.Cost/f.share
	f.start = f.finish
	if f.items.Len() == 0 {
		c.idle(f)
		if c.items == 0 {
			c.reset()
		}
		return e
	}
	heap.Fix(&c.heap, f.index)
	return e
}

// idle takes a flow without items out of turn, and forgets it unless it has had
// more than its share.
func (c *class) idle(f *flow) {
	if f.index >= 0 {
		heap.Remove(&c.heap, f.index)
	}
	f.parked = false
	f.cost = 0
	c.shares -= f.share
	if f.finish <= c.virtual {
		delete(c.flows, f.workspace)
	}
}

// park takes f out of turn until it is unparked.
func (c *class) park(f *flow) {
	heap.Remove(&c.heap, f.index)
	f.parked = true
}

// unpark gives a flow its turn again. It does not catch up on what its own cap
// kept it from.
func (c *class) unpark(f *flow) {
	if !f.parked {
		return
	}
	f.parked = false
	f.start = max(f.start, c.virtual)
	heap.Push(&c.heap, f)
}

// correct charges a flow for the difference between cost and estimate.
func (c *class) correct(w ident.Workspace, difference float64) {
	f, ok := c.flows[w]
	if !ok {
		return
	}
	change := difference / f.share
	f.finish = max(f.finish+change, c.virtual)
	if f.items.Len() == 0 {
		return
	}
	f.start = max(f.start+change, c.virtual)
	if f.index >= 0 {
		heap.Fix(&c.heap, f.index)
	}
}

// longest returns the flow with the greatest backlog for its share.
func (c *class) longest() *flow {
	var most *flow
	for _, f := range c.flows {
		if f.items.Len() == 0 {
			continue
		}
		if most == nil || f.backlog(0) > most.backlog(0) || f.backlog(0) == most.backlog(0) && f.workspace < most.workspace {
			most = f
		}
	}
	return most
}

// flowHeap orders flows by virtual start, then by name.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].workspace < h[j].workspace
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a flow; heap calls it.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop removes the last flow; heap calls it.
func (h *flowHeap) Pop() any {
	old := *h
	n := len(old) - 1
	f := old[n]
	old[n] = nil
	f.index = -1
	*h = old[:n]
	return f
}

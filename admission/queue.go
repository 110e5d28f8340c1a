// Package admission decides which requests start, wait or are refused when an
// instance has more work than its upstreams have capacity for.
//
// Requests wait in a short queue that is bounded in number and in total cost.
// Within a priority, start-time fair queueing (Goyal, Vin and Cheng, "Start-time
// Fair Queuing", SIGCOMM 1996) divides the capacity among workspaces by cost in
// tokens, in proportion to their shares. While two workspaces both have waiting
// requests, the service they received, divided by their shares, differs by at most
// the sum of their largest request costs, each divided by its share. Between
// priorities the higher one goes first, but at most a configured number of grants,
// plus three, may bypass a lower priority that has a request ready to start.
//
// A request that cannot start before its deadline is refused immediately, with a
// RetryAfter that spreads the retries over the time needed to clear the backlog.
// The queue keeps no record of a request that is refused, displaced, expired or
// cancelled. Resumed requests have a bound of their own and displace new ones.
package admission

import (
	"cmp"
	"container/list"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"crocuslug/ident"
	"crocuslug/result"

	"github.com/zeebo/xxh3"
)

// Queue is the admission queue of one instance. Its methods are safe for
// concurrent use.
type Queue struct {
	mu         sync.Mutex
	cfg        Settings
	limits     func(ident.Workspace) Limits
	classes    [priorities]*class
	waiting    map[ident.Generation]*entry
	granted    map[ident.Generation]Item
	running    map[ident.Workspace]int
	totalDrain drainRate
	classDrain [priorities]drainRate // drain rate of each priority alone
	seq        uint64
}

// entry is a waiting request.
type entry struct {
	Item
	seq      uint64    // order of arrival
	enqueued time.Time // when it was offered
	flow     *flow
	element  *list.Element
}

// New returns an empty queue. The function limits returns the current limits of a
// workspace. It is called with the queue locked, so it must not block or call the
// queue.
func New(cfg Settings, limits func(ident.Workspace) Limits) *Queue {
	q := &Queue{
		cfg:     cfg.withDefaults(),
		limits:  limits,
		waiting: make(map[ident.Generation]*entry),
		granted: make(map[ident.Generation]Item),
		running: make(map[ident.Workspace]int),
	}
	q.totalDrain.window = q.cfg.Window.Std()
	for p := range q.classDrain {
		q.classDrain[p].window = q.cfg.Window.Std()
	}
	for p := range q.classes {
		q.classes[p] = newClass()
	}
	return q
}

// Offer adds a request to the queue. It returns a nil error if the request now
// waits, or else the final error with the code DeadlineInfeasible, Overloaded,
// TooLarge or RequestConflict. It also returns refusals for the requests that were
// displaced to make room.
func (q *Queue) Offer(item Item, now time.Time) (*result.Error, []Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rollWindows(now)
	item.Cost = max(1, item.Cost)
	if q.contains(item.ID) {
		return result.New(result.RequestConflict, "a request with this generation id is already waiting or running"), nil
	}
	if item.Cost > q.cfg.MaxCost && item.Priority != Resumed {
		return result.New(result.TooLarge, "the estimated cost exceeds the cost limit of the admission queue"), nil
	}
	if item.Priority == Resumed {
		return q.offerResumed(item, now)
	}
	if wait := q.cfg.Margin * float64(q.estimateWait(item)); !item.Deadline.IsZero() && now.Add(time.Duration(wait)).After(item.Deadline) {
		return q.refusal(result.DeadlineInfeasible, item.ID), nil
	}
	removed, fits := q.makeRoom(item)
	if !fits {
		for _, e := range slices.Backward(removed) {
			q.insert(e)
		}
		return q.refusal(result.Overloaded, item.ID), nil
	}
	q.add(item, now)
	return nil, q.refuseAll(removed)
}

// contains reports whether a request is waiting or running.
func (q *Queue) contains(id ident.Generation) bool {
	_, waits := q.waiting[id]
	_, runs := q.granted[id]
	return waits || runs
}

// offerResumed adds a resumed request, which may displace others.
func (q *Queue) offerResumed(item Item, now time.Time) (*result.Error, []Refusal) {
	if q.classes[Resumed].items >= q.cfg.MaxResumed {
		return q.refusal(result.Overloaded, item.ID), nil
	}
	q.add(item, now)
	return nil, q.shed()
}

func (q *Queue) add(item Item, now time.Time) {
	q.seq++
	q.insert(&entry{Item: item, seq: q.seq, enqueued: now})
}

// insert adds e at the back of the flow of its workspace.
func (q *Queue) insert(e *entry) {
	share := q.limits(e.Workspace).Share
	if share <= 0 {
		share = 1
	}
	q.waiting[e.ID] = e
	q.classes[e.Priority].push(e, share)
}

func (q *Queue) remove(e *entry) {
	delete(q.waiting, e.ID)
	q.classes[e.Priority].remove(e)
}

// exceedsBounds reports whether the queue would exceed its bounds with the given
// items and cost added. Waiting resumed requests count against the bounds for all
// priorities except urgent.
func (q *Queue) exceedsBounds(p Priority, items int, cost float64) bool {
	for o, c := range q.classes {
		if p == Urgent && Priority(o) == Resumed {
			continue
		}
		items += c.items
		cost += c.cost
	}
	return items > q.cfg.MaxItems || cost > q.cfg.MaxCost
}

// makeRoom displaces waiting requests until item fits into the queue. It returns the
// removed requests, and false if item does not fit even without them.
func (q *Queue) makeRoom(item Item) (removed []*entry, fits bool) {
	for q.exceedsBounds(item.Priority, 1, item.Cost) {
		e := q.victim(item)
		if e == nil {
			return removed, false
		}
		q.remove(e)
		removed = append(removed, e)
	}
	return removed, true
}

// victim returns the request to displace for item, or nil if there is none. It
// chooses the last request of the flow with the longest backlog, in the lowest
// priority in which requests wait. Resumed requests are never displaced, but may
// displace any other. Other items may displace requests of a lower priority, and
// requests of the same priority if that flow has a longer backlog than the workspace
// of item would have.
func (q *Queue) victim(item Item) *entry {
	for p := Batch; p >= Urgent; p-- {
		if p == Resumed {
			continue
		}
		f := q.classes[p].longestFlow()
		if f == nil {
			continue
		}
		if p > item.Priority || item.Priority == Resumed || q.hasLongerBacklog(f, item) && p == item.Priority {
			return f.items.Back().Value.(*entry)
		}
		return nil
	}
	return nil
}

// hasLongerBacklog reports whether f has a greater backlog relative to its share
// than the flow of item would have with item added.
func (q *Queue) hasLongerBacklog(f *flow, item Item) bool {
	own, ok := q.classes[item.Priority].flows[item.Workspace]
	if !ok {
		own = &flow{share: max(q.limits(item.Workspace).Share, 0)}
		if own.share == 0 {
			own.share = 1
		}
	}
	return f != own && f.normalizedBacklog(0) > own.normalizedBacklog(item.Cost)
}

// refuseAll returns refusals for displaced requests.
func (q *Queue) refuseAll(removed []*entry) []Refusal {
	var refusals []Refusal
	for _, e := range removed {
		refusals = append(refusals, Refusal{e.ID, q.refusal(result.Overloaded, e.ID)})
	}
	return refusals
}

// rollWindows updates the measured drain rates. The rate of a priority becomes
// unknown when none of its requests waits.
func (q *Queue) rollWindows(now time.Time) {
	q.totalDrain.rollWindow(len(q.waiting) > 0, now)
	for p, c := range q.classes {
		if c.items == 0 {
			q.classDrain[p].known = false
		}
		q.classDrain[p].rollWindow(c.items > 0, now)
	}
}

// estimateWait returns the longer of two estimates of the wait of item. One divides the
// cost ahead of item by the total drain rate. The other divides the cost ahead within
// the same priority by the rate of that priority, which may be low while higher
// priorities use most of the capacity.
func (q *Queue) estimateWait(item Item) time.Duration {
	c := q.classes[item.Priority]
	ahead, own := 0.0, 0.0
	for p := Urgent; p < item.Priority; p++ {
		ahead += q.classes[p].cost
	}
	if f, ok := c.flows[item.Workspace]; ok {
		own = min(c.cost, f.normalizedBacklog(0)*max(c.shares, f.share))
	}
	return max(q.totalDrain.timeFor(ahead+own, time.Hour), q.classDrain[item.Priority].timeFor(own, time.Hour))
}

// refusal returns the final error with code c. Its RetryAfter is spread evenly over
// the time needed to clear the backlog, by a hash of the id.
func (q *Queue) refusal(c result.Code, id ident.Generation) *result.Error {
	cost := 0.0
	for _, c := range q.classes {
		cost += c.cost
	}
	minWait, maxWait := q.cfg.MinRetry.Std(), q.cfg.MaxRetry.Std()
	spread := max(minWait, q.totalDrain.timeFor(cost, maxWait-minWait))
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], q.cfg.Seed)
	const mantissa = 53
	fraction := float64(xxh3.Hash(append(seed[:], id...))>>(64-mantissa)) / (1 << mantissa)
	err := result.New(c, "the admission queue is too long for this request")
	return err.After(minWait + time.Duration(fraction*float64(spread)))
}

// Cancel removes a waiting request. It reports whether the request was waiting.
func (q *Queue) Cancel(id ident.Generation) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.waiting[id]
	if ok {
		q.remove(e)
	}
	return ok
}

// Expire returns refusals for the waiting requests whose deadline has passed. It
// also unparks all flows, since limits of workspaces may have been raised. It
// should be called several times a second.
func (q *Queue) Expire(now time.Time) []Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rollWindows(now)
	for _, c := range q.classes {
		for _, f := range c.flows {
			c.unpark(f)
		}
	}
	return q.expire(now)
}

func (q *Queue) expire(now time.Time) []Refusal {
	var late []*entry
	for _, e := range q.waiting {
		if e.expired(now) {
			late = append(late, e)
		}
	}
	slices.SortFunc(late, func(a, b *entry) int { return cmp.Compare(a.seq, b.seq) })
	var refusals []Refusal
	for _, e := range late {
		q.remove(e)
		refusals = append(refusals, Refusal{e.ID, q.refusal(result.DeadlineInfeasible, e.ID)})
	}
	return refusals
}

// expired reports whether the deadline has passed. Deadlines of resumed requests
// are ignored.
func (e *entry) expired(now time.Time) bool {
	return e.Priority != Resumed && !e.Deadline.IsZero() && now.After(e.Deadline)
}

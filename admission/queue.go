// Package admission decides which requests start, wait or are refused when an
// instance has more work than upstreams have room.
//
// Requests wait in a short queue, bounded in number and in cost. Within a
// priority, workspaces share by cost in tokens, by start-time fair queueing
// (Goyal, Vin and Cheng, "Start-time Fair Queuing", SIGCOMM 1996): while two
// workspaces both wait, what they got for their shares differs by at most the
// sum of their largest costs for their shares. Between priorities the higher one
// goes first, but no more than a set number of grants, plus three, go past a
// lower one whose workspaces may start a request.
//
// Whoever cannot start before its deadline is refused at once, with a
// RetryAfter that spreads the returns over the time that the backlog takes. A
// request that is refused, displaced, expired or cancelled is forgotten at once.
// Resumed requests have a bound of their own and displace new ones.
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

// Queue is the queue of one instance. Its methods may be called from any
// goroutine; a lock makes each call one step.
type Queue struct {
	mu      sync.Mutex
	cfg     Settings
	limits  func(ident.Workspace) Limits
	classes [priorities]*class
	entries map[ident.Generation]*entry
	granted map[ident.Generation]Item
	running map[ident.Workspace]int
	drain   drain
	drains  [priorities]drain // of each priority alone
	seq     uint64
}

// entry is a request that waits.
type entry struct {
	Item
	seq     uint64
	since   time.Time
	flow    *flow
	element *list.Element
}

// New returns an empty queue. The function limits returns what a workspace may
// use now; it is called with the queue locked and must not block.
func New(cfg Settings, limits func(ident.Workspace) Limits) *Queue {
	q := &Queue{
		cfg:     cfg.withDefaults(),
		limits:  limits,
		entries: make(map[ident.Generation]*entry),
		granted: make(map[ident.Generation]Item),
		running: make(map[ident.Workspace]int),
	}
	q.drain.window = q.cfg.Window.Std()
	for p := range q.drains {
		q.drains[p].window = q.cfg.Window.Std()
	}
	for p := range q.classes {
		q.classes[p] = newClass()
	}
	return q
}

// Offer asks for admission. It returns nil if the request waits now, or the
// final error with the code DeadlineInfeasible, Overloaded, TooLarge or
// RequestConflict.
// The answers are of requests that were displaced.
func (q *Queue) Offer(it Item, now time.Time) (*result.Error, []Answer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.roll(now)
	it.Cost = max(1, it.Cost)
	if q.known(it.ID) {
		return result.New(result.RequestConflict, "the generation waits or runs already"), nil
	}
	if it.Cost > q.cfg.MaxCost && it.Priority != Resumed {
		return result.New(result.TooLarge, "the estimated cost is beyond the bound of the queue"), nil
	}
	if it.Priority == Resumed {
		return q.offerResumed(it, now)
	}
	if wait := q.cfg.Margin * float64(q.startIn(it)); !it.Deadline.IsZero() && now.Add(time.Duration(wait)).After(it.Deadline) {
		return q.refusal(result.DeadlineInfeasible, it.ID), nil
	}
	removed, fits := q.makeRoom(it)
	if !fits {
		for _, e := range slices.Backward(removed) {
			q.insert(e)
		}
		return q.refusal(result.Overloaded, it.ID), nil
	}
	q.add(it, now)
	return nil, q.displaced(removed)
}

func (q *Queue) known(id ident.Generation) bool {
	_, waits := q.entries[id]
	_, runs := q.granted[id]
	return waits || runs
}

func (q *Queue) offerResumed(it Item, now time.Time) (*result.Error, []Answer) {
	if q.classes[Resumed].items >= q.cfg.MaxResumed {
		return q.refusal(result.Overloaded, it.ID), nil
	}
	q.add(it, now)
	return nil, q.shed()
}

func (q *Queue) add(it Item, now time.Time) {
	q.seq++
	q.insert(&entry{Item: it, seq: q.seq, since: now})
}

func (q *Queue) insert(e *entry) {
	share := q.limits(e.Workspace).Share
	if share <= 0 {
		share = 1
	}
	q.entries[e.ID] = e
	q.classes[e.Priority].push(e, share)
}

func (q *Queue) drop(e *entry) {
	delete(q.entries, e.ID)
	q.classes[e.Priority].remove(e)
}

// over tells whether the queue with items and cost added is beyond its bounds.
// Resumed requests leave less room to others, but for urgent ones.
func (q *Queue) over(p Priority, items int, cost float64) bool {
	for o, c := range q.classes {
		if p == Urgent && Priority(o) == Resumed {
			continue
		}
		items += c.items
		cost += c.cost
	}
	return items > q.cfg.MaxItems || cost > q.cfg.MaxCost
}

// makeRoom removes what it has precedence over until it fits.
func (q *Queue) makeRoom(it Item) (removed []*entry, fits bool) {
	for q.over(it.Priority, 1, it.Cost) {
		e := q.victim(it)
		if e == nil {
			return removed, false
		}
		q.drop(e)
		removed = append(removed, e)
	}
	return removed, true
}

// victim returns the request that gives way to it: the last one of the longest
// line of the lowest priority below, or of one longer than its own.
func (q *Queue) victim(it Item) *entry {
	for p := Batch; p >= Urgent; p-- {
		if p == Resumed {
			continue
		}
		f := q.classes[p].longest()
		if f == nil {
			continue
		}
		if p > it.Priority || it.Priority == Resumed || q.yields(f, it) && p == it.Priority {
			return f.items.Back().Value.(*entry)
		}
		return nil
	}
	return nil
}

// yields tells whether the line f is longer than that of it would be.
func (q *Queue) yields(f *flow, it Item) bool {
	own, ok := q.classes[it.Priority].flows[it.Workspace]
	if !ok {
		own = &flow{share: max(q.limits(it.Workspace).Share, 0)}
		if own.share == 0 {
			own.share = 1
		}
	}
	return f != own && f.backlog(0) > own.backlog(it.Cost)
}

func (q *Queue) displaced(removed []*entry) []Answer {
	var as []Answer
	for _, e := range removed {
		as = append(as, Answer{e.ID, q.refusal(result.Overloaded, e.ID)})
	}
	return as
}

// roll ends the windows of the drains that are over. What a priority got is
// forgotten when nothing of it waits.
func (q *Queue) roll(now time.Time) {
	q.drain.roll(len(q.entries) > 0, now)
	for p, c := range q.classes {
		if c.items == 0 {
			q.drains[p].known = false
		}
		q.drains[p].roll(c.items > 0, now)
	}
}

// startIn estimates the wait of it from the cost that goes first and the drain:
// that of all, and that of its priority, which higher ones may leave little.
func (q *Queue) startIn(it Item) time.Duration {
	c := q.classes[it.Priority]
	ahead, own := 0.0, 0.0
	for p := Urgent; p < it.Priority; p++ {
		ahead += q.classes[p].cost
	}
	if f, ok := c.flows[it.Workspace]; ok {
		own = min(c.cost, f.backlog(0)*max(c.shares, f.share))
	}
	return max(q.drain.delay(ahead+own, time.Hour), q.drains[it.Priority].delay(own, time.Hour))
}

// refusal returns the final error with a RetryAfter that a hash of the id
// spreads evenly over the time that the backlog takes.
func (q *Queue) refusal(c result.Code, id ident.Generation) *result.Error {
	cost := 0.0
	for _, c := range q.classes {
		cost += c.cost
	}
	least, most := q.cfg.MinRetry.Std(), q.cfg.MaxRetry.Std()
	spread := max(least, q.drain.delay(cost, most-least))
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], q.cfg.Seed)
	const mantissa = 53
	fraction := float64(xxh3.Hash(append(seed[:], id...))>>(64-mantissa)) / (1 << mantissa)
	err := result.New(c, "the backlog is too long")
	return err.After(least + time.Duration(fraction*float64(spread)))
}

// Cancel forgets a request that waits. It reports whether there was one.
func (q *Queue) Cancel(id ident.Generation) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.entries[id]
	if ok {
		q.drop(e)
	}
	return ok
}

// Expire answers the requests whose deadline has passed and lets workspaces go
// on whose limits have risen. It is called several times a second.
func (q *Queue) Expire(now time.Time) []Answer {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.roll(now)
	for _, c := range q.classes {
		for _, f := range c.flows {
			c.unpark(f)
		}
	}
	return q.expire(now)
}

func (q *Queue) expire(now time.Time) []Answer {
	var late []*entry
	for _, e := range q.entries {
		if e.late(now) {
			late = append(late, e)
		}
	}
	slices.SortFunc(late, func(a, b *entry) int { return cmp.Compare(a.seq, b.seq) })
	var as []Answer
	for _, e := range late {
		q.drop(e)
		as = append(as, Answer{e.ID, q.refusal(result.DeadlineInfeasible, e.ID)})
	}
	return as
}

// late tells whether the deadline has passed. Resumed requests have none.
func (e *entry) late(now time.Time) bool {
	return e.Priority != Resumed && !e.Deadline.IsZero() && now.After(e.Deadline)
}

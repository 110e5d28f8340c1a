// Package line implements a queue of requests that wait for free capacity.
//
// Package admission decides which request is next and which are refused; functions set
// by the owner of the queue decide where a request is placed. The queue tries to place
// waiting requests whenever capacity may have become free and gives each request
// exactly one outcome.
package line

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"crocuslug/admission"
	"crocuslug/ident"
	"crocuslug/result"
)

// Queue keeps requests waiting in an admission.Queue and places those that it grants. At
// any time a request is in exactly one of three states: queued, being placed by TryPlace,
// or resolved. The functions must be set before use.
type Queue struct {
	Admission *admission.Queue
	// Capacity reports whether a request could be placed now, and returns the lowest
	// priority that it may have.
	Capacity func(now time.Time) (admission.Priority, bool)
	// TryPlace places a granted request and calls Resolve for it, or returns false if
	// there is no capacity for it now. It must not block.
	TryPlace func(t *Waiter, now time.Time) bool

	granting sync.Mutex
	rerun    atomic.Bool

	mu      sync.Mutex
	waiters map[ident.Generation]*Waiter
}

// Waiter is a request that waits for admission.
type Waiter struct {
	admission.Item
	Request any // passed through to TryPlace
	grant   admission.Grant
	outcome chan Outcome
}

// Outcome is how the wait of a request ended. Without Err the request was placed.
type Outcome struct {
	Err   *result.Error
	Spill ident.Domain // failure domain in which to ask for capacity instead
}

// New returns an empty queue. The function limits returns the current limits of a
// workspace; it must not block.
func New(cfg admission.Settings, limits func(ident.Workspace) admission.Limits) *Queue {
	return &Queue{Admission: admission.New(cfg, limits), waiters: make(map[ident.Generation]*Waiter)}
}

// Poll returns the outcome of w, if there is one, without blocking. It is meant for callers
// that run in virtual time; others use Wait.
func (w *Waiter) Poll() (Outcome, bool) {
	select {
	case v := <-w.outcome:
		return v, true
	default:
		return Outcome{}, false
	}
}

// Enqueue adds a request to the queue, or returns the final refusal.
func (q *Queue) Enqueue(it admission.Item, request any, now time.Time) (*Waiter, *result.Error) {
	w := &Waiter{Item: it, Request: request, outcome: make(chan Outcome, 1)}
	if !q.add(w) {
		return nil, result.New(result.RequestConflict, "a request with this id is already waiting")
	}
	err, displaced := q.Admission.Offer(it, now)
	q.refuse(displaced)
	if err != nil {
		q.remove(it.ID)
		return nil, err
	}
	return w, nil
}

// add registers a waiter and reports false if one with the same ID exists.
func (q *Queue) add(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.waiters[w.ID]; ok {
		return false
	}
	q.waiters[w.ID] = w
	return true
}

// Wait blocks until w has an outcome. If ctx ends first and w has not been granted, w is
// cancelled and removed from the queue.
func (q *Queue) Wait(ctx context.Context, w *Waiter) Outcome {
	select {
	case v := <-w.outcome:
		return v
	case <-ctx.Done():
	}
	if q.Admission.Cancel(w.ID) {
		q.remove(w.ID)
		return Outcome{Err: result.New(result.GenerationCancelled, "the caller disconnected while the request waited")}
	}
	return <-w.outcome
}

// refuse resolves the waiters that admission has refused.
func (q *Queue) refuse(refusals []admission.Refusal) {
	for _, a := range refusals {
		if w := q.remove(a.ID); w != nil {
			w.outcome <- Outcome{Err: a.Err}
		}
	}
}

// remove removes and returns the waiter of a request, or returns nil.
func (q *Queue) remove(id ident.Generation) *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.waiters[id]
	delete(q.waiters, id)
	return w
}

// find returns the waiter of a request, or nil.
func (q *Queue) find(id ident.Generation) *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiters[id]
}

// Resolve ends the wait of a granted waiter.
func (q *Queue) Resolve(w *Waiter, outcome Outcome) {
	q.remove(w.ID)
	w.outcome <- outcome
}

// Requeue returns a granted waiter to the front of the queue after the place found for it
// elsewhere turned out to be unavailable.
func (q *Queue) Requeue(w *Waiter, now time.Time) {
	q.mu.Lock()
	q.waiters[w.ID] = w
	q.mu.Unlock()
	q.refuse(q.Admission.Requeue(w.grant, now))
}

// Expire refuses the requests whose deadline has passed and grants what can be placed.
func (q *Queue) Expire(now time.Time) {
	q.refuse(q.Admission.Expire(now))
	q.Grant(now)
}

// Grant places as many waiting requests as possible. It is called whenever capacity may have
// become free. A call during another one makes that one repeat its work.
func (q *Queue) Grant(now time.Time) {
	q.rerun.Store(true)
	for q.rerun.Load() && q.granting.TryLock() {
		q.rerun.Store(false)
		q.grantRound(now)
		q.granting.Unlock()
	}
}

// maxUnplaced bounds the granted requests that could not be placed in one round. A request
// may fail to be placed because the engines of its model are full while others are not.
const maxUnplaced = 8

// grantRound grants and places requests until the queue or the capacity is exhausted.
// Granted requests that could not be placed return to the front of the queue.
func (q *Queue) grantRound(now time.Time) {
	var unplaced []admission.Grant
	for len(unplaced) < maxUnplaced {
		if n, _ := q.Admission.Len(); n == 0 {
			break
		}
		lowest, ok := q.Capacity(now)
		if !ok {
			break
		}
		grants, expired := q.Admission.NextDownTo(lowest, 1, now)
		q.refuse(expired)
		if len(grants) == 0 {
			break
		}
		w := q.find(grants[0].ID)
		w.grant = grants[0]
		if !q.TryPlace(w, now) {
			unplaced = append(unplaced, grants[0])
		}
	}
	for _, g := range slices.Backward(unplaced) {
		q.refuse(q.Admission.Requeue(g, now))
	}
}

// Waiters returns the requests that have no outcome yet.
func (q *Queue) Waiters() []*Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Collect(maps.Values(q.waiters))
}

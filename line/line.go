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

// Poll returns the outcome of t, if there is one, without blocking. It is meant for callers
// that run in virtual time; others use Wait.
func (t *Waiter) Poll() (Outcome, bool) {
	select {
	case v := <-t.outcome:
		return v, true
	default:
		return Outcome{}, false
	}
}

// Enqueue adds a request to the queue, or returns the final refusal.
func (l *Queue) Enqueue(it admission.Item, request any, now time.Time) (*Waiter, *result.Error) {
	t := &Waiter{Item: it, Request: request, outcome: make(chan Outcome, 1)}
	if !l.add(t) {
		return nil, result.New(result.RequestConflict, "a request with this id is already waiting")
	}
	err, displaced := l.Admission.Offer(it, now)
	l.refuse(displaced)
	if err != nil {
		l.remove(it.ID)
		return nil, err
	}
	return t, nil
}

// add registers a waiter and reports false if one with the same ID exists.
func (l *Queue) add(t *Waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.waiters[t.ID]; ok {
		return false
	}
	l.waiters[t.ID] = t
	return true
}

// Wait blocks until t has an outcome. If ctx ends first and t has not been granted, t is
// cancelled and removed from the queue.
func (l *Queue) Wait(ctx context.Context, t *Waiter) Outcome {
	select {
	case v := <-t.outcome:
		return v
	case <-ctx.Done():
	}
	if l.Admission.Cancel(t.ID) {
		l.remove(t.ID)
		return Outcome{Err: result.New(result.GenerationCancelled, "the caller disconnected while the request waited")}
	}
	return <-t.outcome
}

// refuse resolves the waiters that admission has refused.
func (l *Queue) refuse(answers []admission.Refusal) {
	for _, a := range answers {
		if t := l.remove(a.ID); t != nil {
			t.outcome <- Outcome{Err: a.Err}
		}
	}
}

// remove removes and returns the waiter of a request, or returns nil.
func (l *Queue) remove(id ident.Generation) *Waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.waiters[id]
	delete(l.waiters, id)
	return t
}

// find returns the waiter of a request, or nil.
func (l *Queue) find(id ident.Generation) *Waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiters[id]
}

// Resolve ends the wait of a granted waiter.
func (l *Queue) Resolve(t *Waiter, v Outcome) {
	l.remove(t.ID)
	t.outcome <- v
}

// Requeue returns a granted waiter to the front of the queue after the place found for it
// elsewhere turned out to be unavailable.
func (l *Queue) Requeue(t *Waiter, now time.Time) {
	l.mu.Lock()
	l.waiters[t.ID] = t
	l.mu.Unlock()
	l.refuse(l.Admission.Requeue(t.grant, now))
}

// Expire refuses the requests whose deadline has passed and grants what can be placed.
func (l *Queue) Expire(now time.Time) {
	l.refuse(l.Admission.Expire(now))
	l.Grant(now)
}

// Grant places as many waiting requests as possible. It is called whenever capacity may have
// become free. A call during another one makes that one repeat its work.
func (l *Queue) Grant(now time.Time) {
	l.rerun.Store(true)
	for l.rerun.Load() && l.granting.TryLock() {
		l.rerun.Store(false)
		l.grantRound(now)
		l.granting.Unlock()
	}
}

// maxUnplaced bounds the granted requests that could not be placed in one round. A request
// may fail to be placed because the engines of its model are full while others are not.
const maxUnplaced = 8

// grantRound grants and places requests until the queue or the capacity is exhausted.
// Granted requests that could not be placed return to the front of the queue.
func (l *Queue) grantRound(now time.Time) {
	var unplaced []admission.Grant
	for len(unplaced) < maxUnplaced {
		if n, _ := l.Admission.Len(); n == 0 {
			break
		}
		lowest, ok := l.Capacity(now)
		if !ok {
			break
		}
		grants, expired := l.Admission.NextDownTo(lowest, 1, now)
		l.refuse(expired)
		if len(grants) == 0 {
			break
		}
		t := l.find(grants[0].ID)
		t.grant = grants[0]
		if !l.TryPlace(t, now) {
			unplaced = append(unplaced, grants[0])
		}
	}
	for _, g := range slices.Backward(unplaced) {
		l.refuse(l.Admission.Requeue(g, now))
	}
}

// Waiters returns the requests that have no outcome yet.
func (l *Queue) Waiters() []*Waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.waiters))
}

// Package line lets requests wait until there is a place for them.
//
// Which of them is next, and who is refused, is decided by admission; where there
// is a place, by who owns the line. The line holds those that wait, asks for a
// place whenever something may have become free, and answers each once.
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

// Line lets requests wait in an admission.Queue and finds a place for those that
// are granted. A request is at any time in one of three places: in the queue,
// with Place, or answered. The functions are set before use.
type Line struct {
	Queue *admission.Queue
	// Capacity returns whether a request could be placed now, and of which
	// priority it may be at the lowest.
	Capacity func(now time.Time) (admission.Priority, bool)
	// Place finds a place for a granted request and answers it through Answer, or
	// returns false if there is none now. It must not block.
	Place func(t *Ticket, now time.Time) bool

	pumping sync.Mutex
	again   atomic.Bool

	mu      sync.Mutex
	tickets map[ident.Generation]*Ticket
}

// Ticket is a request that waits for admission.
type Ticket struct {
	admission.Item
	Request any // what Place needs to know of it
	grant   admission.Grant
	verdict chan Verdict
}

// Verdict ends the waiting of a ticket.
type Verdict struct {
	Err   *result.Error
	Spill ident.Domain // place is to be asked for in this failure domain
}

// New returns an empty line. The function limits returns what a workspace may
// use now; it must not block.
func New(cfg admission.Settings, limits func(ident.Workspace) admission.Limits) *Line {
	return &Line{Queue: admission.New(cfg, limits), tickets: make(map[ident.Generation]*Ticket)}
}

// Verdict returns the verdict on t, if there is one, without waiting for it. It
// is for callers in virtual time; others use Await.
func (t *Ticket) Verdict() (Verdict, bool) {
	select {
	case v := <-t.verdict:
		return v, true
	default:
		return Verdict{}, false
	}
}

// Offer puts a request into the queue, or returns the final refusal.
func (l *Line) Offer(it admission.Item, request any, now time.Time) (*Ticket, *result.Error) {
	t := &Ticket{Item: it, Request: request, verdict: make(chan Verdict, 1)}
	if !l.keep(t) {
		return nil, result.New(result.RequestConflict, "a request of this name waits already")
	}
	err, displaced := l.Queue.Offer(it, now)
	l.refuse(displaced)
	if err != nil {
		l.forget(it.ID)
		return nil, err
	}
	return t, nil
}

// keep notes a ticket, unless there is one of its name.
func (l *Line) keep(t *Ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.tickets[t.ID]; ok {
		return false
	}
	l.tickets[t.ID] = t
	return true
}

// Await waits for the verdict on t. If ctx ends before, t is given up and
// nothing is held for it any more, unless it was granted already.
func (l *Line) Await(ctx context.Context, t *Ticket) Verdict {
	select {
	case v := <-t.verdict:
		return v
	case <-ctx.Done():
	}
	if l.Queue.Cancel(t.ID) {
		l.forget(t.ID)
		return Verdict{Err: result.New(result.GenerationCancelled, "the caller has gone")}
	}
	return <-t.verdict
}

func (l *Line) refuse(as []admission.Refusal) {
	for _, a := range as {
		if t := l.forget(a.ID); t != nil {
			t.verdict <- Verdict{Err: a.Err}
		}
	}
}

// forget removes and returns the ticket of a request, or returns nil.
func (l *Line) forget(id ident.Generation) *Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tickets[id]
	delete(l.tickets, id)
	return t
}

func (l *Line) find(id ident.Generation) *Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tickets[id]
}

// Answer ends the waiting of a granted ticket.
func (l *Line) Answer(t *Ticket, v Verdict) {
	l.forget(t.ID)
	t.verdict <- v
}

// PutBack returns a granted ticket, for which the place elsewhere was not to be
// had, to the front of its line.
func (l *Line) PutBack(t *Ticket, now time.Time) {
	l.mu.Lock()
	l.tickets[t.ID] = t
	l.mu.Unlock()
	l.refuse(l.Queue.Requeue(t.grant, now))
}

// Expire answers those whose deadline has passed.
func (l *Line) Expire(now time.Time) {
	l.refuse(l.Queue.Expire(now))
	l.Pump(now)
}

// Pump grants what can be placed. It is called whenever something may have
// become free; a call while another runs makes that one look again.
func (l *Line) Pump(now time.Time) {
	l.again.Store(true)
	for l.again.Load() && l.pumping.TryLock() {
		l.again.Store(false)
		l.round(now)
		l.pumping.Unlock()
	}
}

// maxMisses bounds the grants without a place in one round, such as of models
// whose engines are full while others are not.
const maxMisses = 8

func (l *Line) round(now time.Time) {
	var back []admission.Grant
	for len(back) < maxMisses {
		if n, _ := l.Queue.Len(); n == 0 {
			break
		}
		lowest, ok := l.Capacity(now)
		if !ok {
			break
		}
		gs, late := l.Queue.NextDownTo(lowest, 1, now)
		l.refuse(late)
		if len(gs) == 0 {
			break
		}
		t := l.find(gs[0].ID)
		t.grant = gs[0]
		if !l.Place(t, now) {
			back = append(back, gs[0])
		}
	}
	for _, g := range slices.Backward(back) {
		l.refuse(l.Queue.Requeue(g, now))
	}
}

// Tickets returns the requests that have not been answered.
func (l *Line) Tickets() []*Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.tickets))
}

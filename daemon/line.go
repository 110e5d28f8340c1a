package daemon

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"crocuslug/admission"
	"crocuslug/ident"
	"crocuslug/result"
)

// line lets requests wait in an admission.Queue and finds a place for those
// that are granted. A request is at any time in one of three places: in the
// queue, with place, or answered.
type line struct {
	queue *admission.Queue
	// capacity returns whether a request could be placed now, and of which
	// priority it may be at the lowest.
	capacity func(now time.Time) (admission.Priority, bool)
	// place finds a place for a granted request and answers it through
	// ticket.answer, or returns false if there is none now. It must not block.
	place func(t *ticket, now time.Time) bool

	pumping sync.Mutex
	again   atomic.Bool

	mu      sync.Mutex
	tickets map[ident.Generation]*ticket
}

// ticket is a request that waits for admission.
type ticket struct {
	admission.Item
	grant   admission.Grant
	request any // what place needs to know of it
	verdict chan verdict
}

// verdict ends the waiting of a ticket.
type verdict struct {
	err   *result.Error
	spill ident.Domain // place is to be asked for in this failure domain
}

func newLine(cfg admission.Settings, limits func(ident.Workspace) admission.Limits) *line {
	return &line{queue: admission.New(cfg, limits), tickets: make(map[ident.Generation]*ticket)}
}

// offer puts a request into the queue, or returns the final refusal.
func (l *line) offer(it admission.Item, request any, now time.Time) (*ticket, *result.Error) {
	t := &ticket{Item: it, request: request, verdict: make(chan verdict, 1)}
	l.mu.Lock()
	l.tickets[it.ID] = t
	l.mu.Unlock()
	err, displaced := l.queue.Offer(it, now)
	l.refuse(displaced)
	if err != nil {
		l.forget(it.ID)
		return nil, err
	}
	return t, nil
}

// await waits for the verdict on t. If ctx ends before, t is given up and
// nothing is held for it any more, unless it was granted already.
func (l *line) await(ctx context.Context, t *ticket) verdict {
	select {
	case v := <-t.verdict:
		return v
	case <-ctx.Done():
	}
	if l.queue.Cancel(t.ID) {
		l.forget(t.ID)
		return verdict{err: result.New(result.GenerationCancelled, "the caller has gone")}
	}
	return <-t.verdict
}

func (l *line) refuse(as []admission.Answer) {
	for _, a := range as {
		if t := l.forget(a.ID); t != nil {
			t.verdict <- verdict{err: a.Err}
		}
	}
}

// forget removes and returns the ticket of a request, or returns nil.
func (l *line) forget(id ident.Generation) *ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tickets[id]
	delete(l.tickets, id)
	return t
}

func (l *line) find(id ident.Generation) *ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tickets[id]
}

// answer ends the waiting of a granted ticket.
func (l *line) answer(t *ticket, v verdict) {
	l.forget(t.ID)
	t.verdict <- v
}

// putBack returns a granted ticket, for which the place elsewhere was not to be
// had, to the front of its line.
func (l *line) putBack(t *ticket, now time.Time) {
	l.mu.Lock()
	l.tickets[t.ID] = t
	l.mu.Unlock()
	l.refuse(l.queue.Return(t.grant, now))
}

// expire answers those whose deadline has passed.
func (l *line) expire(now time.Time) {
	l.refuse(l.queue.Expire(now))
	l.pump(now)
}

// pump grants what can be placed. It is called whenever something may have
// become free; a call while another runs makes that one look again.
func (l *line) pump(now time.Time) {
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

func (l *line) round(now time.Time) {
	var back []admission.Grant
	for len(back) < maxMisses {
		if n, _ := l.queue.Len(); n == 0 {
			break
		}
		lowest, ok := l.capacity(now)
		if !ok {
			break
		}
		gs, late := l.queue.NextOf(lowest, 1, now)
		l.refuse(late)
		if len(gs) == 0 {
			break
		}
		t := l.find(gs[0].ID)
		t.grant = gs[0]
		if !l.place(t, now) {
			back = append(back, gs[0])
		}
	}
	for _, g := range slices.Backward(back) {
		l.refuse(l.queue.Return(g, now))
	}
}

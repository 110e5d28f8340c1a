// Package timer tells the time and calls subscribers when it comes.
//
// All parts of a daemon take the time from one Service. A Service that is run
// follows the machine's monotonic clock; a Service made by NewVirtual stands
// still until Advance moves it, which makes tests repeatable.
package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// Service calls subscribers at the times that they asked for. Its methods may
// be called from any goroutine. Subscribers run one after another on the
// goroutine of Run or Advance and must not block.
type Service struct {
	mu      sync.Mutex
	virtual bool
	now     time.Time
	queue   queue
	seq     uint64
	wake    chan struct{}
}

// New returns a service that follows the machine's clock while Run runs.
func New() *Service {
	return &Service{wake: make(chan struct{}, 1)}
}

// NewVirtual returns a service that stands at start until Advance moves it.
func NewVirtual(start time.Time) *Service {
	return &Service{virtual: true, now: start, wake: make(chan struct{}, 1)}
}

// Now returns the present time.
func (s *Service) Now() time.Time {
	if !s.virtual {
		return time.Now()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// Subscription is a standing call. The zero value is not usable.
type Subscription struct {
	s     *Service
	at    time.Time
	every time.Duration
	f     func(now time.Time)
	seq   uint64
	index int
}

// After calls f once when d has passed.
func (s *Service) After(d time.Duration, f func(now time.Time)) *Subscription {
	return s.add(d, 0, f)
}

// Every calls f each time d has passed. It panics if d is not positive.
func (s *Service) Every(d time.Duration, f func(now time.Time)) *Subscription {
	if d <= 0 {
		panic("timer: interval is not positive")
	}
	return s.add(d, d, f)
}

func (s *Service) add(d, every time.Duration, f func(now time.Time)) *Subscription {
	now := s.Now()
	s.mu.Lock()
	s.seq++
	sub := &Subscription{s: s, at: now.Add(d), every: every, f: f, seq: s.seq}
	heap.Push(&s.queue, sub)
	first := sub.index == 0
	s.mu.Unlock()
	if first {
		s.poke()
	}
	return sub
}

// Stop ends the subscription. A call that has begun is not waited for.
func (sub *Subscription) Stop() {
	s := sub.s
	s.mu.Lock()
	defer s.mu.Unlock()
	sub.every = 0
	if sub.index >= 0 && sub.index < len(s.queue) && s.queue[sub.index] == sub {
		heap.Remove(&s.queue, sub.index)
	}
}

// Run calls subscribers until ctx ends. It panics if the service is virtual.
func (s *Service) Run(ctx context.Context) {
	if s.virtual {
		panic("timer: Run of a virtual service")
	}
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		t.Reset(s.fire(time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-s.wake:
		}
	}
}

// Advance moves a virtual service by d and calls, in order of time, all
// subscribers that come due on the way. It panics if the service is not virtual.
func (s *Service) Advance(d time.Duration) {
	if !s.virtual {
		panic("timer: Advance of a running service")
	}
	end := s.Now().Add(d)
	for {
		s.mu.Lock()
		if len(s.queue) == 0 || s.queue[0].at.After(end) {
			s.now = end
			s.mu.Unlock()
			return
		}
		if s.queue[0].at.After(s.now) {
			s.now = s.queue[0].at
		}
		now := s.now
		s.mu.Unlock()
		s.fire(now)
	}
}

// idleWait bounds the wait when nobody is subscribed.
const idleWait = time.Minute

// fire calls all that is due at now and returns the wait until the next.
func (s *Service) fire(now time.Time) time.Duration {
	for {
		s.mu.Lock()
		if len(s.queue) == 0 {
			s.mu.Unlock()
			return idleWait
		}
		sub := s.queue[0]
		if wait := sub.at.Sub(now); wait > 0 {
			s.mu.Unlock()
			return wait
		}
		s.reschedule(sub, now)
		f := sub.f
		s.mu.Unlock()
		f(now)
	}
}

func (s *Service) reschedule(sub *Subscription, now time.Time) {
	if sub.every <= 0 {
		heap.Pop(&s.queue)
		return
	}
	sub.at = sub.at.Add(sub.every)
	if sub.at.Before(now) {
		sub.at = now.Add(sub.every)
	}
	heap.Fix(&s.queue, sub.index)
}

func (s *Service) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// queue is a heap of subscriptions by time, then by order of subscription.
type queue []*Subscription

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push adds a subscription; heap calls it.
func (q *queue) Push(x any) {
	sub := x.(*Subscription)
	sub.index = len(*q)
	*q = append(*q, sub)
}

// Pop removes the last subscription; heap calls it.
func (q *queue) Pop() any {
	old := *q
	n := len(old) - 1
	sub := old[n]
	old[n] = nil
	sub.index = -1
	*q = old[:n]
	return sub
}

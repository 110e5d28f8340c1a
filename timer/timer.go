// Package timer provides a clock that calls functions after a delay or at
// intervals.
//
// All parts of a daemon use the clock of one Service. A Service made by New
// follows the machine's monotonic clock. The time of a Service made by NewVirtual
// changes only in Advance, which makes tests repeatable.
package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// Service calls functions at the times for which they are subscribed. It is safe
// for concurrent use. The functions are called one after another, on the
// goroutine of Run or Advance, and must not block.
type Service struct {
	mu      sync.Mutex
	virtual bool
	now     time.Time
	queue   queue
	seq     uint64
	wake    chan struct{}
}

// New returns a service that follows the machine's clock. Functions are called
// while Run is running.
func New() *Service {
	return &Service{wake: make(chan struct{}, 1)}
}

// NewVirtual returns a service with a virtual time, which is start until Advance
// is called.
func NewVirtual(start time.Time) *Service {
	return &Service{virtual: true, now: start, wake: make(chan struct{}, 1)}
}

// Now returns the current time of the service.
func (s *Service) Now() time.Time {
	if !s.virtual {
		return time.Now()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// Subscription is a scheduled call, once or at intervals. It is returned by After
// and Every.
type Subscription struct {
	s        *Service
	at       time.Time
	interval time.Duration
	callback func(now time.Time)
	seq      uint64
	index    int
}

// After calls f once, after the duration d.
func (s *Service) After(d time.Duration, f func(now time.Time)) *Subscription {
	return s.add(d, 0, f)
}

// Wait waits until ready receives, for d at most.
func (s *Service) Wait(ready <-chan struct{}, d time.Duration) {
	over := make(chan struct{})
	sub := s.After(d, func(time.Time) { close(over) })
	defer sub.Stop()
	select {
	case <-ready:
	case <-over:
	}
}

// Every calls f at intervals of d. It panics if d is not positive.
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
	sub := &Subscription{s: s, at: now.Add(d), interval: every, callback: f, seq: s.seq}
	heap.Push(&s.queue, sub)
	first := sub.index == 0
	s.mu.Unlock()
	if first {
		s.wakeRun()
	}
	return sub
}

// Stop ends the subscription. It does not wait for a call that has begun.
func (sub *Subscription) Stop() {
	s := sub.s
	s.mu.Lock()
	defer s.mu.Unlock()
	sub.interval = 0
	if sub.index >= 0 && sub.index < len(s.queue) && s.queue[sub.index] == sub {
		heap.Remove(&s.queue, sub.index)
	}
}

// Run calls the subscribed functions until ctx ends. It panics if the service is
// virtual.
func (s *Service) Run(ctx context.Context) {
	if s.virtual {
		panic("timer: Run of a virtual service")
	}
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		t.Reset(s.callDue(time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-s.wake:
		}
	}
}

// Advance increases the time of a virtual service by d and calls, in order of
// time, all functions that become due meanwhile. It panics if the service is not
// virtual.
func (s *Service) Advance(d time.Duration) {
	if !s.virtual {
		panic("timer: Advance of a service that is not virtual")
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
		s.callDue(now)
	}
}

// maxIdleWait is the time that Run waits if there is no subscription.
const maxIdleWait = time.Minute

// callDue calls all functions that are due at now and returns the time until the
// next call, or maxIdleWait if there is none.
func (s *Service) callDue(now time.Time) time.Duration {
	for {
		s.mu.Lock()
		if len(s.queue) == 0 {
			s.mu.Unlock()
			return maxIdleWait
		}
		sub := s.queue[0]
		if wait := sub.at.Sub(now); wait > 0 {
			s.mu.Unlock()
			return wait
		}
		s.reschedule(sub, now)
		f := sub.callback
		s.mu.Unlock()
		f(now)
	}
}

// reschedule sets the time of the next call of sub, or removes sub if it has no
// interval. Calls that were missed are skipped.
func (s *Service) reschedule(sub *Subscription, now time.Time) {
	if sub.interval <= 0 {
		heap.Pop(&s.queue)
		return
	}
	sub.at = sub.at.Add(sub.interval)
	if sub.at.Before(now) {
		sub.at = now.Add(sub.interval)
	}
	heap.Fix(&s.queue, sub.index)
}

// wakeRun makes Run compute its wait again.
func (s *Service) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// queue is a heap of subscriptions, ordered by the time of the next call and then
// by the order in which they were made.
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

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	sub := x.(*Subscription)
	sub.index = len(*q)
	*q = append(*q, sub)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	n := len(old) - 1
	sub := old[n]
	old[n] = nil
	sub.index = -1
	*q = old[:n]
	return sub
}

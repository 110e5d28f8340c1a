// Package control runs the control state of an instance on one goroutine.
//
// Membership, configuration, leases, quotas and the health of upstreams are
// changed only by functions that run here, one after another. Traffic reads
// immutable snapshots that these functions publish.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Loop runs functions in the order in which they were posted.
type Loop struct {
	mu      sync.Mutex
	pending []func()
	wake    chan struct{}
	stopped bool
	busy    atomic.Int64 // nanoseconds
	// Now is the clock by which Busy counts; nil means that it does not. It is
	// set before Run.
	Now func() time.Time
}

// New returns a loop that does not run yet.
func New() *Loop {
	return &Loop{wake: make(chan struct{}, 1)}
}

// Post queues f. It never blocks and may be called from any goroutine; f must
// not block either. Functions posted after the loop has ended are dropped.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	l.pending = append(l.pending, f)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run runs what is posted until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			l.stop()
			return
		case <-l.wake:
			l.drain()
		}
	}
}

func (l *Loop) drain() {
	l.mu.Lock()
	fs := l.pending
	l.pending = nil
	l.mu.Unlock()
	began := l.clock()
	for _, f := range fs {
		f()
	}
	l.busy.Add(int64(l.clock().Sub(began)))
}

func (l *Loop) clock() time.Time {
	if l.Now == nil {
		return time.Time{}
	}
	return l.Now()
}

// Busy returns for how long functions have run since the start.
func (l *Loop) Busy() time.Duration {
	return time.Duration(l.busy.Load())
}

func (l *Loop) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.pending = nil
}

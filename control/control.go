// Package control serializes the changes of an instance's control state on one
// goroutine.
//
// Membership, configuration, leases, quotas and the health of upstreams are
// changed only by functions that a Loop runs one after another. Requests read
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
	// Now is the clock with which Busy is measured; if it is nil, Busy stays 0.
	// It must be set before Run is called.
	Now func() time.Time
}

// New returns a loop, which starts in Run.
func New() *Loop {
	return &Loop{wake: make(chan struct{}, 1)}
}

// Post queues f. It does not block and may be called from any goroutine; f must
// not block either. Functions posted after Run has returned are dropped.
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

// Run runs the posted functions until ctx ends. Functions that have not begun by
// then are dropped.
func (l *Loop) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			l.stop()
			return
		case <-l.wake:
			l.runPending()
		}
	}
}

func (l *Loop) runPending() {
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

// Busy returns the total time for which posted functions have run.
func (l *Loop) Busy() time.Duration {
	return time.Duration(l.busy.Load())
}

func (l *Loop) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.pending = nil
}

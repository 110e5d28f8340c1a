// Package background runs goroutines and lets their owner wait for them when it
// stops.
package background

import "sync"

// Group is a set of goroutines with one owner. The zero value is ready for use. A
// Group is safe for concurrent use.
type Group struct {
	running sync.WaitGroup
	mu      sync.Mutex
	closed  bool
}

// Go runs f on a new goroutine, unless the group is closed.
func (g *Group) Go(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		f()
	}()
}

// Close makes later calls of Go do nothing. It does not wait for goroutines.
func (g *Group) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// Wait waits until all goroutines of the group have ended. The group must be
// closed before.
func (g *Group) Wait() { g.running.Wait() }

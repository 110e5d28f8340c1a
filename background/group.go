// Package background runs goroutines that the end of their owner waits for.
package background

import "sync"

// Group is the goroutines of one owner. The zero value is ready for use.
type Group struct {
	running sync.WaitGroup
	mu      sync.Mutex
	over    bool
}

// Go runs f on a goroutine of its own, unless the group is closed.
func (g *Group) Go(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.over {
		return
	}
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		f()
	}()
}

// Close lets nothing more be run. It does not wait.
func (g *Group) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.over = true
}

// Wait waits for all that runs. The group must be closed.
func (g *Group) Wait() { g.running.Wait() }

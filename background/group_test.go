package background

import (
	"sync/atomic"
	"testing"
)

// TestGroupRunsNothingAfterClose checks that Wait waits for a goroutine that was
// begun before Close, and that later calls of Go run nothing.
func TestGroupRunsNothingAfterClose(t *testing.T) {
	var g Group
	var n atomic.Int64
	begun, release := make(chan struct{}), make(chan struct{})
	g.Go(func() {
		close(begun)
		<-release
		g.Go(func() { n.Add(10) }) // not run, since the group is closed
		n.Add(1)
	})
	<-begun
	g.Close()
	g.Go(func() { n.Add(100) })
	close(release)
	g.Wait()
	if got := n.Load(); got != 1 {
		t.Errorf("got %d, want 1 from the goroutine that was begun before Close and nothing else", got)
	}
}

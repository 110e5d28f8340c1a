package background

import (
	"sync/atomic"
	"testing"
)

func TestGroup(t *testing.T) {
	var g Group
	var n atomic.Int64
	begun, release := make(chan struct{}), make(chan struct{})
	g.Go(func() {
		close(begun)
		<-release
		g.Go(func() { n.Add(10) }) // after the close: not run
		n.Add(1)
	})
	<-begun
	g.Close()
	g.Go(func() { n.Add(100) })
	close(release)
	g.Wait()
	if got := n.Load(); got != 1 {
		t.Errorf("got %d, want 1: what was begun before the close and nothing else", got)
	}
}

package control

import (
	"context"
	"sync"
	"testing"
)

// TestLoop runs functions of several goroutines one after another, each
// goroutine's in its order, and none after the end.
func TestLoop(t *testing.T) {
	const posters, posts = 4, 100
	l := New()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Run(ctx)
	}()
	last := make([]int, posters) // without a lock: the race detector watches
	var ran, posted sync.WaitGroup
	ran.Add(posters * posts)
	for p := range posters {
		posted.Go(func() {
			for i := range posts {
				l.Post(func() {
					defer ran.Done()
					if last[p] != i {
						t.Errorf("poster %d: got function %d, want %d", p, i, last[p])
					}
					last[p]++
				})
			}
		})
	}
	posted.Wait()
	ran.Wait()
	cancel()
	<-ended
	l.Post(func() { t.Error("after the end: got a function run, want it dropped") })
}

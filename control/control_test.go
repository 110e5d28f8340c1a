package control

import (
	"context"
	"sync"
	"testing"
)

// TestLoopRunsInOrder checks that functions posted by several goroutines run one
// after another, those of each goroutine in the order of posting, and that none
// runs after the end of the loop.
func TestLoopRunsInOrder(t *testing.T) {
	const posters, posts = 4, 100
	l := New()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Run(ctx)
	}()
	last := make([]int, posters) // without a lock, so that the race detector finds concurrent calls
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

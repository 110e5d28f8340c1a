package keyvalue

import (
	"context"
	"runtime"
	"strconv"
	"sync"
	"testing"
)

// TestCoalescedReadIsCurrent has each reader increment a value before it reads it. No reader may
// get an older value, whichever call it shares.
func TestCoalescedReadIsCurrent(t *testing.T) {
	const (
		readers = 8
		rounds  = 500
	)
	var mu sync.Mutex
	value, fetches, joins, stale := 0, 0, 0, 0
	c := coalescer{pending: make(map[string]*pendingRead)}
	fetch := func(sent func()) (reply, error) {
		sent()
		mu.Lock()
		fetches++
		v := value
		mu.Unlock()
		for range 20 { // delays the answer
			runtime.Gosched()
		}
		return reply{body: []byte(strconv.Itoa(v))}, nil
	}
	var wg sync.WaitGroup
	for range readers {
		wg.Go(func() {
			for range rounds {
				mu.Lock()
				value++
				least := value
				mu.Unlock()
				r, joined, err := c.read(context.Background(), "k", fetch)
				got, _ := strconv.Atoi(string(r.body))
				mu.Lock()
				if joined {
					joins++
				}
				if err != nil || got < least {
					stale++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if stale > 0 {
		t.Errorf("reads older than the last write of their caller: got %d, want 0", stale)
	}
	if got, want := fetches+joins, readers*rounds; got != want || joins == 0 {
		t.Errorf("calls and joins: got %d (%d joins), want %d and some joins", got, joins, want)
	}
	if got := len(c.pending); got != 0 {
		t.Errorf("pending reads at the end: got %d, want 0", got)
	}
}

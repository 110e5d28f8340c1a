package claimstore

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"crocuslug/claim"
	"crocuslug/ident"
	"crocuslug/standinkeyvalue"
	"crocuslug/store"
	"crocuslug/timer"
	"crocuslug/unit"
)

func operation(clock *timer.Service, key, id string) claim.Operation {
	now := clock.Now()
	return claim.Operation{
		Key: claim.KeyOf("w", "s", key), Claim: claim.ID(id), State: claim.Running,
		StartBy: now.Add(time.Minute), Until: now.Add(2 * time.Minute),
	}
}

// TestConcurrentClaims lets three instances claim the same keys concurrently
// while answers of the key-value service are lost.
func TestConcurrentClaims(t *testing.T) {
	const keys, instances = 200, 3
	clock := timer.NewVirtual(time.Unix(0, 0))
	backing := standinkeyvalue.New(clock)
	backing.SetFaults(standinkeyvalue.Faults{LoseAnswers: 20})
	cfg := Settings{Claims: claim.Settings{Buckets: 2, MaxTail: 2000}, Interval: -1}
	var mu sync.Mutex
	granted := make(map[string]int)
	var wg sync.WaitGroup
	for i := range instances {
		s := New(cfg, backing.Port(), clock, ident.Instance(fmt.Sprintf("i%d", i)))
		for k := range keys {
			wg.Go(func() {
				key := fmt.Sprint(k)
				v, err := s.Apply(context.Background(), operation(clock, key, fmt.Sprintf("%d/%d", i, k)))
				mu.Lock()
				defer mu.Unlock()
				if err == nil && v.Granted {
					granted[key]++
				}
			})
		}
	}
	wg.Wait()
	for key, got := range granted {
		if got > 1 {
			t.Errorf("grants of key %s: got %d, want at most 1", key, got)
		}
	}
	if got := len(granted); got == 0 {
		t.Error("keys granted: got 0, want some")
	}
	if got, limit := backing.Calls().Writes, keys*instances; got >= limit {
		t.Errorf("writes of %d operations: got %d, want fewer", limit, got)
	}
}

// TestAbandonedBeforeWrite cancels an operation before its write begins, and
// requires that it is never written.
func TestAbandonedBeforeWrite(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(0, 0))
	backing := standinkeyvalue.New(clock)
	s := New(Settings{Claims: claim.Settings{Buckets: 1}, Interval: unit.Duration(time.Second)}, backing.Port(), clock, "i")
	if v, err := s.Apply(context.Background(), operation(clock, "a", "1")); err != nil || !v.Granted {
		t.Fatalf("first claim: got %+v, %v, want it granted", v, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := s.Apply(ctx, operation(clock, "b", "2"))
	if !store.Unavailable.Has(err) {
		t.Fatalf("abandoned claim: got %v, want Unavailable", err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = s.Apply(context.Background(), operation(clock, "c", "4"))
	}()
	for waiting := true; waiting; {
		clock.Advance(time.Second)
		select {
		case <-done:
			waiting = false
		default:
			runtime.Gosched()
		}
	}
	other := New(Settings{Claims: claim.Settings{Buckets: 1}, Interval: -1}, backing.Port(), clock, "j")
	if v, err := other.Apply(context.Background(), operation(clock, "b", "3")); err != nil || !v.Granted {
		t.Errorf("claim after an abandoned one: got %+v, %v, want it granted", v, err)
	}
}

// TestLostWriteAnswerReturnsUnknown loses the answer of a write, after which the
// service is unavailable.
func TestLostWriteAnswerReturnsUnknown(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(0, 0))
	backing := standinkeyvalue.New(clock)
	p := backing.Port()
	put := p.Put
	p.Put = func(ctx context.Context, key string, value []byte, expect store.Version, l store.Lease) (store.Version, error) {
		defer backing.SetFaults(standinkeyvalue.Faults{Outage: true})
		_, _ = put(ctx, key, value, expect, l)
		return 0, store.Unknown.New("answer lost")
	}
	s := New(Settings{Interval: -1}, p, clock, "i")
	_, err := s.Apply(context.Background(), operation(clock, "a", "1"))
	if !store.Unknown.Has(err) || store.Unavailable.Has(err) {
		t.Errorf("claim whose write had no answer: got %v, want only Unknown", err)
	}
}

func TestOutageReturnsUnavailable(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(0, 0))
	backing := standinkeyvalue.New(clock)
	s := New(Settings{Interval: -1}, backing.Port(), clock, "i")
	backing.SetFaults(standinkeyvalue.Faults{Outage: true})
	_, err := s.Apply(context.Background(), operation(clock, "a", "1"))
	if !store.Unavailable.Has(err) || store.Unknown.Has(err) {
		t.Errorf("claim in an outage: got %v, want only Unavailable", err)
	}
}

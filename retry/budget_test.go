package retry

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"crocuslug/result"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7")
	os.Exit(m.Run())
}

// TestInvariants checks that the retries in every interval stay within the ratio and
// the burst, and that a request that may have run is retried only if repeatable.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.01, 0.5).Draw(t, "share")
		burst := float64(rapid.IntRange(1, 5).Draw(t, "burst"))
		b := New(Settings{RetryRatio: share, Burst: burst}, rand.New(rand.NewPCG(1, 1)).Uint64)
		var requests, retries []float64 // cumulative counts after each event
		requested, retried := 0.0, 0.0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			if rapid.Bool().Draw(t, "request") {
				b.AddRequest()
				requested++
			} else {
				a := Attempt{
					Number:     rapid.IntRange(1, 4).Draw(t, "number"),
					Run:        rapid.SampledFrom([]result.Run{result.RunNot, result.RunUnknown, result.RunDone}).Draw(t, "run"),
					Repeatable: rapid.Bool().Draw(t, "repeatable"),
					Remaining:  time.Duration(rapid.IntRange(0, 500).Draw(t, "remaining")) * time.Millisecond,
				}
				v, wait := b.Decide(a)
				if v == Retry {
					retried++
				}
				if v == Retry && a.Run != result.RunNot && !a.Repeatable {
					t.Fatalf("retried %+v, which may have run", a)
				}
				if v == Retry && (wait >= a.Remaining || a.Number >= defaultMaxAttempts) {
					t.Fatalf("retried %+v after %v: no attempts or time remain", a, wait)
				}
			}
			requests = append(requests, requested)
			retries = append(retries, retried)
		}
		for i := range retries {
			for k := i + 1; k < len(retries); k++ {
				got, want := retries[k]-retries[i], burst+share*(requests[k]-requests[i])
				if got > want+1e-9 {
					t.Fatalf("retries in an interval: got %v, want at most %v", got, want)
				}
			}
		}
	})
}

// TestOutage compares the attempts during an outage with those of a client that has
// no budget and tries each request three times.
func TestOutage(t *testing.T) {
	const requests = 1000
	b := New(Settings{}, rand.New(rand.NewPCG(1, 1)).Uint64)
	attempts := 0
	for range requests {
		b.AddRequest()
		attempts++
		for n := 1; ; n++ {
			v, _ := b.Decide(Attempt{Number: n, Run: result.RunNot, Remaining: time.Minute})
			if v != Retry {
				break
			}
			attempts++
		}
	}
	t.Logf("attempts for %d requests that all fail: without budget %d, with budget %d", requests, requests*defaultMaxAttempts, attempts)
	if want := requests + requests/10 + defaultBurst; attempts > want {
		t.Errorf("attempts: got %d, want at most %d", attempts, want)
	}
	if _, ok := b.Hedge(true); ok {
		t.Error("hedge: got true with HedgeDelay 0, want false")
	}
}

// TestSetBurst guards against retries that a smaller burst does not allow any more.
func TestSetBurst(t *testing.T) {
	b := New(Settings{Burst: 9, MaxAttempts: 3}, rand.New(rand.NewPCG(1, 1)).Uint64)
	b.SetBurst(2)
	retries := 0
	for range 9 {
		if v, _ := b.Decide(Attempt{Number: 1, Run: result.RunNot, Remaining: time.Minute}); v == Retry {
			retries++
		}
	}
	if retries != 2 {
		t.Errorf("retries: got %d, want 2", retries)
	}
}

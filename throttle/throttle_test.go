package throttle

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"crocuslug/ident"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7")
	os.Exit(m.Run())
}

// TestBound holds what is taken in every span, while the rate changes, to the
// rate over time, the burst and one request, and refusals to an empty bucket.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most, largest = 100.0, 500.0
		rate := most
		th := New(Settings{}, func(ident.Workspace) (float64, bool) { return rate, true }, rand.New(rand.NewPCG(1, 1)).Uint64)
		now := time.Unix(1_000_000, 0)
		var at []time.Time
		var taken []float64
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "dt")) * time.Millisecond)
			cost := rapid.Float64Range(1, largest).Draw(t, "cost")
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				rate = rapid.Float64Range(0, most).Draw(t, "rate")
			case 1:
				th.Expire(now)
			default:
				err := th.Take("w", cost, now)
				if err == nil {
					at = append(at, now)
					taken = append(taken, cost)
				} else if th.buckets["w"].level > 0 || err.RetryAfter <= 0 {
					t.Fatalf("refused with %v in the bucket: %+v", th.buckets["w"].level, err)
				}
			}
		}
		for i := range at {
			sum := 0.0
			for k := i; k < len(at); k++ {
				sum += taken[k]
				want := most*(at[k].Sub(at[i]).Seconds()+defaultBurst.Seconds()) + largest
				if sum > want+1e-6 {
					t.Fatalf("taken in %v: got %v, want at most %v", at[k].Sub(at[i]), sum, want)
				}
			}
		}
	})
}

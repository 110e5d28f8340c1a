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

// TestChargeBound checks, while the rate changes, that the cost charged in every interval
// is at most the rate times the interval, plus the burst, plus one request, and that
// requests are refused only if the bucket is empty.
func TestChargeBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxRate, maxCost = 100.0, 500.0
		rate := maxRate
		th := New(Settings{}, func(ident.Workspace) (float64, bool) { return rate, true }, rand.New(rand.NewPCG(1, 1)).Uint64)
		now := time.Unix(1_000_000, 0)
		var times []time.Time
		var charged []float64
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "dt")) * time.Millisecond)
			cost := rapid.Float64Range(1, maxCost).Draw(t, "cost")
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				rate = rapid.Float64Range(0, maxRate).Draw(t, "rate")
			case 1:
				th.Expire(now)
			default:
				err := th.Charge("w", cost, now)
				if err == nil {
					times = append(times, now)
					charged = append(charged, cost)
				} else if th.buckets["w"].level > 0 || err.RetryAfter <= 0 {
					t.Fatalf("refused with %v in the bucket: %+v", th.buckets["w"].level, err)
				}
			}
		}
		for i := range times {
			sum := 0.0
			for k := i; k < len(times); k++ {
				sum += charged[k]
				want := maxRate*(times[k].Sub(times[i]).Seconds()+defaultBurst.Seconds()) + maxCost
				if sum > want+1e-6 {
					t.Fatalf("charged in %v: got %v, want at most %v", times[k].Sub(times[i]), sum, want)
				}
			}
		}
	})
}

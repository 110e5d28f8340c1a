package storeview

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"crocuslug/ident"
)

// message is what a digest says of the store, on its way.
type message struct {
	to      int
	arrives time.Duration
	says    Confirmation
}

// untilWatched returns how long after the last answer of the store to any of n instances the first and the
// last of them watch the store themselves. Each instance sends digests to others chosen at random every
// interval, and each digest takes between half and one and a half of transit.
func untilWatched(n, digests int, interval, transit time.Duration, seed uint64) (first, last time.Duration) {
	const step = time.Millisecond
	random := rand.New(rand.NewPCG(seed, 1))
	views := make([]*View, n)
	phases := make([]time.Duration, n)
	watched := make([]time.Duration, n)
	for i := range views {
		views[i] = New(Settings{}, uint64(i)+1)
		views[i].SetPeers("d", "self", []ident.Instance{"self", "other", "third", "fourth"}, 4)
		views[i].watcher = false
		views[i].Confirm(1, 0)
		phases[i] = time.Duration(random.Int64N(int64(interval)))
	}
	var under []message
	for now := step; slices.Contains(watched, 0); now += step {
		under = slices.DeleteFunc(under, func(m message) bool {
			if m.arrives > now {
				return false
			}
			views[m.to].Report(1, m.says, now)
			return true
		})
		for i, v := range views {
			if watched[i] == 0 && v.ShouldWatch(now) {
				watched[i] = now
			}
			if now%interval != phases[i].Truncate(step) {
				continue
			}
			for range digests {
				takes := transit/2 + time.Duration(random.Int64N(int64(transit)))
				under = append(under, message{random.IntN(n), now + takes, v.Confirmation(now)})
			}
		}
	}
	return slices.Min(watched), slices.Max(watched)
}

// TestAgeAmongPeers guards against instances that keep each other's knowledge of the store young: digests
// take a while, and an age that is passed on and on must not lose that time at each step.
func TestAgeAmongPeers(t *testing.T) {
	for _, transit := range []time.Duration{2 * time.Millisecond, 10 * time.Millisecond, 40 * time.Millisecond} {
		for _, n := range []int{3, 18, 69} {
			first, last := untilWatched(n, 8, 250*time.Millisecond, transit, 1)
			t.Logf("transit %v, %d instances: watch after %v to %v", transit, n, first, last)
			if limit := defaultMaxAge + 4*transit + 250*time.Millisecond; last > limit {
				t.Errorf("transit %v, %d instances: watch the store after %v, want at most %v", transit, n, last, limit)
			}
		}
	}
}

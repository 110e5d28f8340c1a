package keyvalue

import (
	"testing"
	"time"
)

// TestProbesAreSpreadAfterOutage runs the breakers of a fleet through an outage. Each is asked for
// a call every tick. It checks that the calls allowed during the outage and after it are spread
// over time.
func TestProbesAreSpreadAfterOutage(t *testing.T) {
	const (
		fleet  = 930
		tick   = 50 * time.Millisecond
		outage = 2 * time.Minute
		settle = 30 * time.Second // after the outage begins; waits have grown to their maximum by then
		back   = 12 * time.Second // the longest wait
	)
	breakers := make([]*breaker, fleet)
	for i := range breakers {
		breakers[i] = newBreaker(defaultBackOff, defaultMaxBackOff, uint64(i))
	}
	start := time.Unix(0, 0)
	during := make(map[int64]int)  // calls by second of the outage
	returns := make(map[int64]int) // breakers that close, by second after the outage
	for at := time.Duration(0); at < outage+back; at += tick {
		now := start.Add(at)
		for _, b := range breakers {
			ok, probe := b.allow(now)
			switch {
			case !ok:
			case at < outage:
				b.recordFailure(now, probe)
				if at >= settle {
					during[now.Unix()]++
				}
			case probe:
				b.recordSuccess()
				returns[now.Unix()]++
			}
		}
	}
	const (
		maxProbes  = fleet / 4 // in one second of the outage
		maxReturns = fleet / 4
	)
	for second, n := range during {
		if n > maxProbes {
			t.Errorf("calls in second %d of the outage: got %d, want at most %d", second, n, maxProbes)
		}
	}
	closed := 0
	for second, n := range returns {
		closed += n
		if n > maxReturns {
			t.Errorf("returns in second %d: got %d, want at most %d", second, n, maxReturns)
		}
	}
	if closed != fleet {
		t.Errorf("clients back after the longest wait: got %d, want %d", closed, fleet)
	}
}

func TestEarlierCallsDoNotExtendWait(t *testing.T) {
	b := newBreaker(time.Second, 8*time.Second, 1)
	now := time.Unix(0, 0)
	for range 100 { // calls that were in progress when the outage began
		b.recordFailure(now, false)
	}
	if got, most := b.retryDelay(now), 1500*time.Millisecond; got > most {
		t.Errorf("first wait: got %v, want at most %v", got, most)
	}
	now = now.Add(2 * time.Second)
	if ok, probe := b.allow(now); !ok || !probe {
		t.Fatalf("after the wait: got %v, %v, want a probe", ok, probe)
	}
	b.recordFailure(now, false)
	if ok, _ := b.allow(now); ok {
		t.Error("second call beside a probe: got through, want none")
	}
}

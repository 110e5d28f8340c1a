package keyvalue

import (
	"testing"
	"time"
)

// TestNoStampedeAfterAnOutage drives the breakers of a fleet through an outage,
// each asked for a call every tick, and counts the calls that get through.
func TestNoStampedeAfterAnOutage(t *testing.T) {
	const (
		fleet  = 930
		tick   = 50 * time.Millisecond
		outage = 2 * time.Minute
		settle = 30 * time.Second // after the outage begins, waits are at their longest
		back   = 12 * time.Second // longest wait
	)
	breakers := make([]*breaker, fleet)
	for i := range breakers {
		breakers[i] = newBreaker(defaultBackOff, defaultMaxBackOff, uint64(i))
	}
	start := time.Unix(0, 0)
	during := make(map[int64]int)  // calls by second of the outage
	returns := make(map[int64]int) // breakers that close by second after it
	for at := time.Duration(0); at < outage+back; at += tick {
		now := start.Add(at)
		for _, b := range breakers {
			ok, probe := b.allow(now)
			switch {
			case !ok:
			case at < outage:
				b.fail(now, probe)
				if at >= settle {
					during[now.Unix()]++
				}
			case probe:
				b.succeed()
				returns[now.Unix()]++
			}
		}
	}
	const (
		mostProbes  = fleet / 4 // of the fleet in one second of an outage
		mostReturns = fleet / 4
	)
	for second, n := range during {
		if n > mostProbes {
			t.Errorf("calls in second %d of the outage: got %d, want at most %d", second, n, mostProbes)
		}
	}
	closed := 0
	for second, n := range returns {
		closed += n
		if n > mostReturns {
			t.Errorf("returns in second %d: got %d, want at most %d", second, n, mostReturns)
		}
	}
	if closed != fleet {
		t.Errorf("clients back after the longest wait: got %d, want %d", closed, fleet)
	}
}

func TestStragglersDoNotProlongTheWait(t *testing.T) {
	b := newBreaker(time.Second, 8*time.Second, 1)
	now := time.Unix(0, 0)
	for range 100 { // calls that were all under way when the outage began
		b.fail(now, false)
	}
	if got, most := b.resumesIn(now), 1500*time.Millisecond; got > most {
		t.Errorf("first wait: got %v, want at most %v", got, most)
	}
	now = now.Add(2 * time.Second)
	if ok, probe := b.allow(now); !ok || !probe {
		t.Fatalf("after the wait: got %v, %v, want a probe", ok, probe)
	}
	b.fail(now, false)
	if ok, _ := b.allow(now); ok {
		t.Error("second call beside a probe: got through, want none")
	}
}

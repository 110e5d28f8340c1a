package keyvalue

import (
	"math/rand/v2"
	"time"
)

// breaker stops calls after failures in a row and then lets one probe through
// at a time. The waits between probes grow and are drawn at random, so that
// many clients do not come back together.
type breaker struct {
	backOff    time.Duration
	maxBackOff time.Duration
	random     *rand.Rand
	failures   int
	until      time.Time
	probing    bool
}

func newBreaker(backOff, maxBackOff time.Duration, seed uint64) *breaker {
	return &breaker{backOff: backOff, maxBackOff: maxBackOff, random: rand.New(rand.NewPCG(seed, 0))}
}

func (b *breaker) open() bool { return b.failures >= failureThreshold }

// allow reports whether a call may be made now, and whether it is a probe.
// The outcome of a call that was allowed has to be reported.
func (b *breaker) allow(now time.Time) (ok, probe bool) {
	if !b.open() {
		return true, false
	}
	if b.probing || now.Before(b.until) {
		return false, false
	}
	b.probing = true
	return true, true
}

// resumesIn returns the time until a call may be made, at least a moment while
// a probe is under way.
func (b *breaker) resumesIn(now time.Time) time.Duration {
	switch {
	case !b.open():
		return 0
	case b.probing:
		return max(b.until.Sub(now), b.backOff)
	}
	return b.until.Sub(now)
}

// succeed takes the success of a call.
func (b *breaker) succeed() {
	b.failures = 0
	b.probing = false
}

// fail takes the failure of a call. Calls that began before the breaker
// opened do not prolong the wait.
func (b *breaker) fail(now time.Time, probe bool) {
	if b.open() && !probe {
		return
	}
	b.probing = false
	b.failures++
	if b.open() {
		b.until = now.Add(b.wait())
	}
}

// wait draws the time to the next probe.
func (b *breaker) wait() time.Duration {
	d := b.backOff
	for i := failureThreshold; i < b.failures && d < b.maxBackOff; i++ {
		d *= 2
	}
	d = min(d, b.maxBackOff)
	return d/2 + time.Duration(b.random.Int64N(int64(d)))
}

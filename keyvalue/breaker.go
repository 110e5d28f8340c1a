package keyvalue

import (
	"math/rand/v2"
	"time"
)

// breaker is a circuit breaker. It refuses calls after failureThreshold failures in a row, and
// then allows one probe at a time. The waits between probes grow and are random, so that the
// probes of many clients are spread over time.
type breaker struct {
	backOff    time.Duration
	maxBackOff time.Duration
	random     *rand.Rand
	failures   int
	probeAt    time.Time // when the next probe is allowed
	probing    bool      // a probe is in progress
}

func newBreaker(backOff, maxBackOff time.Duration, seed uint64) *breaker {
	return &breaker{backOff: backOff, maxBackOff: maxBackOff, random: rand.New(rand.NewPCG(seed, 0))}
}

// open reports whether calls other than probes are refused.
func (b *breaker) open() bool { return b.failures >= failureThreshold }

// allow reports whether a call may be made now, and whether it is a probe. The outcome of an
// allowed call must be reported with recordSuccess or recordFailure.
func (b *breaker) allow(now time.Time) (ok, probe bool) {
	if !b.open() {
		return true, false
	}
	if b.probing || now.Before(b.probeAt) {
		return false, false
	}
	b.probing = true
	return true, true
}

// retryDelay returns the time until a call may be made. While a probe is in progress it returns at
// least backOff.
func (b *breaker) retryDelay(now time.Time) time.Duration {
	switch {
	case !b.open():
		return 0
	case b.probing:
		return max(b.probeAt.Sub(now), b.backOff)
	}
	return b.probeAt.Sub(now)
}

// recordSuccess closes the breaker after a successful call.
func (b *breaker) recordSuccess() {
	b.failures = 0
	b.probing = false
}

// recordFailure counts a failed call. While the breaker is open only probes count, so that calls
// that began earlier do not extend the wait.
func (b *breaker) recordFailure(now time.Time, probe bool) {
	if b.open() && !probe {
		return
	}
	b.probing = false
	b.failures++
	if b.open() {
		b.probeAt = now.Add(b.drawWait())
	}
}

// drawWait returns a random time until the next probe.
func (b *breaker) drawWait() time.Duration {
	d := b.backOff
	for i := failureThreshold; i < b.failures && d < b.maxBackOff; i++ {
		d *= 2
	}
	d = min(d, b.maxBackOff)
	return d/2 + time.Duration(b.random.Int64N(int64(d)))
}

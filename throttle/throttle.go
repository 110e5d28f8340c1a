// Package throttle limits the rate of each workspace at one instance with token
// buckets.
//
// The rate is the instance's share of the fleet-wide limit, as computed by package
// quota, and may change at any time. A request may start if the bucket of its
// workspace is not empty. Its whole cost is then taken from the bucket, so the cost of
// one request may exceed the burst. In an interval of t seconds a workspace therefore
// uses at most the rate times t, plus the burst, plus the cost of one request.
package throttle

import (
	"sync"
	"time"

	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/unit"
)

// Settings configures a Throttle. Zero values are replaced by defaults.
type Settings struct {
	Burst    unit.Duration // capacity of a bucket, as time at the full rate; 0 means 2s
	MinRetry unit.Duration // least RetryAfter; 0 means 200ms
	MaxRetry unit.Duration // greatest RetryAfter; 0 means 1m
}

// Defaults of Settings.
const (
	defaultBurst    = 2 * time.Second
	defaultMinRetry = 200 * time.Millisecond
	defaultMaxRetry = time.Minute
)

// Throttle holds the token buckets of one instance. Its methods are safe for
// concurrent use.
type Throttle struct {
	mu      sync.Mutex
	cfg     Settings
	rate    func(ident.Workspace) (perSecond float64, limited bool)
	random  func() uint64
	buckets map[ident.Workspace]*bucket
}

// bucket is the token bucket of one workspace.
type bucket struct {
	level     float64 // in tokens; negative until a large request has been paid off
	updatedAt time.Time
	rate      float64 // in tokens per second, as of the last refill
}

// New returns a throttle with full buckets. The function rate returns the rate of a
// workspace at this instance in tokens per second, and whether it is limited, as
// quota.Shares.Rate does. The function random returns 64 random bits per call.
func New(cfg Settings, rate func(ident.Workspace) (float64, bool), random func() uint64) *Throttle {
	setDuration(&cfg.Burst, defaultBurst)
	setDuration(&cfg.MinRetry, defaultMinRetry)
	setDuration(&cfg.MaxRetry, defaultMaxRetry)
	return &Throttle{cfg: cfg, rate: rate, random: random, buckets: make(map[ident.Workspace]*bucket)}
}

// setDuration replaces a value of 0 or less by v.
func setDuration(d *unit.Duration, v time.Duration) {
	if *d <= 0 {
		*d = unit.Duration(v)
	}
}

// Charge charges the cost of a request to w. If the bucket is empty, it charges nothing
// and returns an error with the code WorkspaceLimit and a RetryAfter.
func (t *Throttle) Charge(w ident.Workspace, cost float64, now time.Time) *result.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.refill(w, now)
	if b == nil {
		return nil
	}
	if b.level <= 0 {
		err := result.New(result.WorkspaceLimit, "the workspace has exceeded its token rate")
		return err.After(t.retryAfter(b))
	}
	b.level -= cost
	return nil
}

// Adjust charges w for the difference between the actual cost of a request and the cost
// given to Charge. A negative difference is refunded.
func (t *Throttle) Adjust(w ident.Workspace, difference float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.refill(w, now); b != nil {
		b.level = min(b.level-difference, t.capacity(b))
	}
}

// Expire deletes the buckets that are full. It should be called about once a minute.
func (t *Throttle) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for w := range t.buckets {
		if b := t.refill(w, now); b == nil || b.level >= t.capacity(b) {
			delete(t.buckets, w)
		}
	}
}

// refill returns the bucket of w after adding the tokens for the time since the last
// refill, at the lower of the rates then and now. It returns nil if w is not limited.
func (t *Throttle) refill(w ident.Workspace, now time.Time) *bucket {
	rate, limited := t.rate(w)
	if !limited {
		return nil
	}
	b, ok := t.buckets[w]
	if !ok {
		b = &bucket{updatedAt: now, rate: rate}
		b.level = t.capacity(b)
		t.buckets[w] = b
	}
	b.level += min(rate, b.rate) * max(0, now.Sub(b.updatedAt).Seconds())
	b.rate = rate
	b.level = min(b.level, t.capacity(b))
	b.updatedAt = now
	return b
}

// capacity returns the largest level of b.
func (t *Throttle) capacity(b *bucket) float64 {
	return b.rate * t.cfg.Burst.Std().Seconds()
}

// retryAfter returns the time until the level of b is positive again, plus a random
// time of up to half of that, within the configured bounds.
func (t *Throttle) retryAfter(b *bucket) time.Duration {
	minWait, maxWait := t.cfg.MinRetry.Std(), t.cfg.MaxRetry.Std()
	wait := maxWait
	if seconds := -b.level / max(b.rate, 1e-9); seconds < maxWait.Seconds() {
		wait = max(minWait, time.Duration(seconds*float64(time.Second)))
	}
	return min(maxWait, wait+time.Duration(t.random()%uint64(wait/2)))
}

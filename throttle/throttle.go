// Package throttle holds each workspace to its rate at one instance.
//
// The rate is the instance's part of the fleet-wide limit, as package quota
// shares it out, and changes at any time. A request may start while the bucket
// of its workspace is not empty, and then takes its whole cost, so that the cost
// of one request may exceed the burst. Over a span of t seconds a workspace
// therefore takes at most the rate times t, plus the burst, plus one request.
package throttle

import (
	"sync"
	"time"

	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/unit"
)

// Settings of a Throttle. The zero value takes the defaults.
type Settings struct {
	Burst    unit.Duration // time at the full rate that may be saved up; 0 means 2s
	MinRetry unit.Duration // least RetryAfter; 0 means 200ms
	MaxRetry unit.Duration // greatest RetryAfter; 0 means 1m
}

// Defaults of Settings.
const (
	defaultBurst    = 2 * time.Second
	defaultMinRetry = 200 * time.Millisecond
	defaultMaxRetry = time.Minute
)

// Throttle holds the buckets of one instance. Its methods may be called from any
// goroutine.
type Throttle struct {
	mu      sync.Mutex
	cfg     Settings
	rate    func(ident.Workspace) (perSecond float64, limited bool)
	random  func() uint64
	buckets map[ident.Workspace]*bucket
}

// bucket holds what a workspace may take, in tokens. It is negative while a
// large request is paid off.
type bucket struct {
	level float64
	at    time.Time
	rate  float64 // as of the last fill
}

// New returns a throttle with full buckets. The function rate returns the
// tokens per second of a workspace here, as quota.Shares.Rate does; random
// returns 64 random bits at each call.
func New(cfg Settings, rate func(ident.Workspace) (float64, bool), random func() uint64) *Throttle {
	setDuration(&cfg.Burst, defaultBurst)
	setDuration(&cfg.MinRetry, defaultMinRetry)
	setDuration(&cfg.MaxRetry, defaultMaxRetry)
	return &Throttle{cfg: cfg, rate: rate, random: random, buckets: make(map[ident.Workspace]*bucket)}
}

func setDuration(d *unit.Duration, v time.Duration) {
	if *d <= 0 {
		*d = unit.Duration(v)
	}
}

// Take charges cost to w. It returns nil, or an error with the code
// WorkspaceLimit that says when to come back; then nothing is charged.
func (t *Throttle) Take(w ident.Workspace, cost float64, now time.Time) *result.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.fill(w, now)
	if b == nil {
		return nil
	}
	if b.level <= 0 {
		err := result.New(result.WorkspaceLimit, "the workspace has used up its rate")
		return err.After(t.retryAfter(b))
	}
	b.level -= cost
	return nil
}

// Correct charges w for the difference between the cost of a request that ended
// and what Take charged, and returns what was charged too much.
func (t *Throttle) Correct(w ident.Workspace, difference float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.fill(w, now); b != nil {
		b.level = min(b.level-difference, t.most(b))
	}
}

// Expire forgets the buckets that are full. It is called about once a minute.
func (t *Throttle) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for w := range t.buckets {
		if b := t.fill(w, now); b == nil || b.level >= t.most(b) {
			delete(t.buckets, w)
		}
	}
}

// fill adds what came in since the last time, at the lower of the rates then
// and now. It returns nil if w is not limited.
func (t *Throttle) fill(w ident.Workspace, now time.Time) *bucket {
	rate, limited := t.rate(w)
	if !limited {
		return nil
	}
	b, ok := t.buckets[w]
	if !ok {
		b = &bucket{at: now, rate: rate}
		b.level = t.most(b)
		t.buckets[w] = b
	}
	b.level += min(rate, b.rate) * max(0, now.Sub(b.at).Seconds())
	b.rate = rate
	b.level = min(b.level, t.most(b))
	b.at = now
	return b
}

func (t *Throttle) most(b *bucket) float64 {
	return b.rate * t.cfg.Burst.Std().Seconds()
}

// retryAfter returns the time until the bucket is paid off, spread over half as
// much again.
func (t *Throttle) retryAfter(b *bucket) time.Duration {
	least, most := t.cfg.MinRetry.Std(), t.cfg.MaxRetry.Std()
	wait := most
	if seconds := -b.level / max(b.rate, 1e-9); seconds < most.Seconds() {
		wait = max(least, time.Duration(seconds*float64(time.Second)))
	}
	return min(most, wait+time.Duration(t.random()%uint64(wait/2)))
}

// Package retry decides whether a failed request is retried.
//
// Retries multiply the load when upstreams fail, so they are limited by a budget
// that grows with the number of requests. In any interval the number of retries is at
// most a fixed ratio of the number of requests, plus a small burst. A request that
// may have run is retried only if it is repeatable.
package retry

import (
	"sync"
	"time"

	"crocuslug/result"
	"crocuslug/unit"
)

// Settings configures a Budget. Zero values are replaced by defaults.
type Settings struct {
	RetryRatio  float64       // retries added to the budget per request; 0 means 0.1
	Burst       float64       // largest budget, in retries; 0 means 10
	MaxAttempts int           // most attempts of one request, including the first; 0 means 3
	Backoff     unit.Duration // mean delay before the second attempt; 0 means 50ms
	HedgeDelay  unit.Duration // delay after which a repeatable request may be sent to a second upstream; 0 means never
}

// Defaults of Settings.
const (
	defaultRetryRatio  = 0.1
	defaultBurst       = 10
	defaultMaxAttempts = 3
	defaultBackoff     = 50 * time.Millisecond
)

// Attempt describes a request that failed.
type Attempt struct {
	Number     int           // attempts made so far, from 1
	Run        result.Run    // whether the failed attempt ran
	Repeatable bool          // the request may run more than once
	Resumed    bool          // the request continues an answer whose stream was lost
	Remaining  time.Duration // time left until the caller's deadline
}

// Decision is the decision about a failed request.
type Decision int

// Decisions about a failed request.
const (
	Retry      Decision = iota // retry after the returned delay
	Exhausted                  // no attempts or not enough time remain
	MayHaveRun                 // the request may have run and is not repeatable
	NoBudget                   // the retry budget is exhausted
)

// Budget is a retry budget. Its methods are safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	cfg    Settings
	random func() uint64
	tokens float64 // retries that the budget allows now
}

// New returns a full budget. The function random returns 64 random bits per call.
func New(cfg Settings, random func() uint64) *Budget {
	if cfg.RetryRatio <= 0 {
		cfg.RetryRatio = defaultRetryRatio
	}
	if cfg.Burst <= 0 {
		cfg.Burst = defaultBurst
	}
	if cfg.MaxAttempts <= 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	if cfg.Backoff <= 0 {
		cfg.Backoff = unit.Duration(defaultBackoff)
	}
	return &Budget{cfg: cfg, random: random, tokens: cfg.Burst}
}

// SetBurst replaces Settings.Burst. It must be positive.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Burst = burst
	b.tokens = min(b.tokens, burst)
}

// AddRequest counts the first attempt of a request, which increases the budget.
func (b *Budget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.cfg.Burst, b.tokens+b.cfg.RetryRatio)
}

// Available reports whether the budget allows a retry now.
func (b *Budget) Available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= 1
}

// Decide returns whether a failed request is retried, and after which delay. A
// decision to retry is charged to the budget, except for resumed requests. These
// result from the loss of an engine, and are limited by their remaining time and by
// the number of answers in progress.
func (b *Budget) Decide(a Attempt) (Decision, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.Run != result.RunNot && !a.Repeatable && !a.Resumed {
		return MayHaveRun, 0
	}
	if a.Number >= b.cfg.MaxAttempts && !a.Resumed {
		return Exhausted, 0
	}
	wait := b.backoff(a)
	if wait >= a.Remaining {
		return Exhausted, 0
	}
	if a.Resumed {
		return Retry, wait
	}
	if b.tokens < 1 {
		return NoBudget, 0
	}
	b.tokens--
	return Retry, wait
}

// Hedge returns the delay after which a repeatable request is sent to a second
// upstream as well, and whether that is allowed. If so, it is charged like a retry.
func (b *Budget) Hedge(repeatable bool) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cfg.HedgeDelay <= 0 || !repeatable || b.tokens < 1 {
		return 0, false
	}
	b.tokens--
	return b.cfg.HedgeDelay.Std(), true
}

// backoff returns the delay before the next attempt. Its mean doubles with each attempt,
// and it is random between 0.5 and 1.5 times its mean. The first retry of a resumed
// request starts immediately.
func (b *Budget) backoff(a Attempt) time.Duration {
	if a.Resumed && a.Number <= 1 {
		return 0
	}
	const maxDoublings = 6
	mean := b.cfg.Backoff.Std() << min(max(0, a.Number-1), maxDoublings)
	return mean/2 + time.Duration(b.random()%uint64(mean))
}

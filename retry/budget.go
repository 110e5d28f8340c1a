// Package retry decides whether a failed request may be tried again.
//
// Retries multiply load just when upstreams fail, so they are paid from a budget
// that ordinary traffic fills: over any span the retries stay within a share of
// the requests, plus a small burst. A request that may have run is tried again
// only if it may be repeated.
package retry

import (
	"sync"
	"time"

	"crocuslug/result"
	"crocuslug/unit"
)

// Settings of a Budget. The zero value takes the defaults.
type Settings struct {
	Share    float64       // retries by requests; 0 means 0.1
	Burst    float64       // retries that may be saved up; 0 means 10
	Attempts int           // attempts of one request at most; 0 means 3
	BackOff  unit.Duration // mean wait before the second attempt; 0 means 50ms
	Hedge    unit.Duration // wait after which a repeatable request is sent a second time as well; 0 means never
}

// Defaults of Settings.
const (
	defaultShare    = 0.1
	defaultBurst    = 10
	defaultAttempts = 3
	defaultBackOff  = 50 * time.Millisecond
)

// Attempt describes a request that failed.
type Attempt struct {
	Number     int           // attempts made so far, from 1
	Run        result.Run    // whether the failed attempt ran
	Repeatable bool          // the request may be run again
	Resumed    bool          // a continuation of a lost answer
	Remaining  time.Duration // time left until the caller's deadline
}

// Verdict says what becomes of a request that failed.
type Verdict int

// Verdicts.
const (
	Retry      Verdict = iota // try again after the wait
	Exhausted                 // the attempts or the time are used up
	MayHaveRun                // it may have run and may not be repeated
	NoBudget                  // the budget is spent
)

// Budget holds the budget of one instance. Its methods may be called from any
// goroutine.
type Budget struct {
	mu     sync.Mutex
	cfg    Settings
	random func() uint64
	tokens float64
}

// New returns a budget with its burst saved up. The function random returns 64
// random bits at each call.
func New(cfg Settings, random func() uint64) *Budget {
	if cfg.Share <= 0 {
		cfg.Share = defaultShare
	}
	if cfg.Burst <= 0 {
		cfg.Burst = defaultBurst
	}
	if cfg.Attempts <= 0 {
		cfg.Attempts = defaultAttempts
	}
	if cfg.BackOff <= 0 {
		cfg.BackOff = unit.Duration(defaultBackOff)
	}
	return &Budget{cfg: cfg, random: random, tokens: cfg.Burst}
}

// Request counts the first attempt of a request, which pays into the budget.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.cfg.Burst, b.tokens+b.cfg.Share)
}

// Decide says whether a is tried again, and after what wait. A verdict of Retry
// is paid for, except for a resumed request, which an engine's loss causes and
// which is bounded by its remaining time and by the answers in progress.
func (b *Budget) Decide(a Attempt) (Verdict, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.Run != result.RunNot && !a.Repeatable && !a.Resumed {
		return MayHaveRun, 0
	}
	if a.Number >= b.cfg.Attempts && !a.Resumed {
		return Exhausted, 0
	}
	wait := b.wait(a)
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

// Hedge returns the wait after which a repeatable request is sent to a second
// upstream as well, and whether that is allowed. It is paid for like a retry.
func (b *Budget) Hedge(repeatable bool) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cfg.Hedge <= 0 || !repeatable || b.tokens < 1 {
		return 0, false
	}
	b.tokens--
	return b.cfg.Hedge.Std(), true
}

// wait doubles with each attempt and is spread over half to three halves of its
// mean. The first attempt of a resume starts at once.
func (b *Budget) wait(a Attempt) time.Duration {
	if a.Resumed && a.Number <= 1 {
		return 0
	}
	const maxDoublings = 6
	mean := b.cfg.BackOff.Std() << min(max(0, a.Number-1), maxDoublings)
	return mean/2 + time.Duration(b.random()%uint64(mean))
}

package standinkeyvalue

import (
	"context"
	"maps"
	"time"

	"github.com/zeebo/errs"

	"crocuslug/store"
)

// Faults selects the faults that the service simulates.
type Faults struct {
	Outage        bool          // every call fails without being applied
	LoseAnswers   int           // number of writes that are applied but return store.Unknown
	Delay         time.Duration // delay of each call before it is applied
	StaleReads    bool          // reads and watches return the content as of the start of the fault
	RejectWrites  bool          // writes fail, reads succeed
	WatchWait     time.Duration // longest wait of a watch; 0 means 10 s
	ReadsPerSec   int           // further reads in a second fail; 0 means no limit
	WritesPerSec  int           // further writes in a second fail; 0 means no limit
	MaxValueBytes int           // larger values are rejected; 0 means 1 MiB
	HistoryLimit  int           // number of writes kept for watches; 0 means 65,536
}

// Defaults of Faults.
const (
	defaultWatchWait     = 10 * time.Second
	defaultMaxValueBytes = 1 << 20
	defaultHistoryLimit  = 1 << 16
)

// Calls counts the calls that the service received, including failed ones.
type Calls struct {
	Reads        int // watches included
	Writes       int
	Watches      int // watches started
	WaitingNow   int // watches waiting at present
	RateRefusals int // calls rejected by a rate limit
}

// SetFaults replaces the current faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	switch {
	case !f.StaleReads:
		s.stale = nil
	case s.stale == nil:
		s.stale = &snapshot{maps.Clone(s.entries), s.version}
	}
	s.faults = f
}

// Faults returns the current faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the current counts of calls.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// rateCounter counts calls within one second of the clock.
type rateCounter struct {
	second int64
	n      int
}

// countAndCheck counts a call and reports whether the calls of this second
// exceed limit. A limit of 0 is never exceeded.
func (r *rateCounter) countAndCheck(now time.Time, limit int) bool {
	if second := now.Unix(); second != r.second {
		r.second, r.n = second, 0
	}
	r.n++
	return limit > 0 && r.n > limit
}

// errRateExceeded is the error of a call that a rate limit rejects.
var errRateExceeded = errs.New("call rate limit exceeded")

// beginCall counts a call, delays it, and returns an error if a current fault
// makes it fail.
func (s *Store) beginCall(ctx context.Context, write bool) error {
	s.mu.Lock()
	exceeded := s.countCall(write)
	f := s.faults
	s.mu.Unlock()
	if exceeded {
		return store.Unavailable.Wrap(errRateExceeded)
	}
	if f.Delay > 0 {
		done := make(chan struct{})
		sub := s.timer.After(f.Delay, func(time.Time) { close(done) })
		defer sub.Stop()
		select {
		case <-done:
		case <-ctx.Done():
			return store.Unavailable.Wrap(ctx.Err())
		}
	}
	if f.Outage || write && f.RejectWrites {
		return store.Unavailable.New("outage")
	}
	return nil
}

// countCall counts a call and reports whether it exceeds the rate limit.
func (s *Store) countCall(write bool) bool {
	calls, used, limit := &s.calls.Reads, &s.reads, s.faults.ReadsPerSec
	if write {
		calls, used, limit = &s.calls.Writes, &s.writes, s.faults.WritesPerSec
	}
	*calls++
	if !used.countAndCheck(s.timer.Now(), limit) {
		return false
	}
	s.calls.RateRefusals++
	return true
}

// answerError returns store.Unknown for an applied write while answers are to be
// lost, and nil otherwise.
func (s *Store) answerError() error {
	if s.faults.LoseAnswers == 0 {
		return nil
	}
	s.faults.LoseAnswers--
	return store.Unknown.New("simulated loss of the answer")
}

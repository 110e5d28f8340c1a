package standinkeyvalue

import (
	"context"
	"maps"
	"time"

	"github.com/zeebo/errs"

	"crocuslug/store"
)

// Faults says how the service misbehaves from now on.
type Faults struct {
	Outage        bool          // every call fails, and is not applied
	LoseAnswers   int           // so many writes are applied and then answered with Unknown
	Delay         time.Duration // added to each call, before it is applied
	StaleReads    bool          // reads and watches answer as of the time when the fault began
	RejectWrites  bool          // writes fail, reads work
	WatchWait     time.Duration // longest wait of a watch; 0 means 10 s
	ReadsPerSec   int           // reads above it fail; 0 means no bound
	WritesPerSec  int           // writes above it fail; 0 means no bound
	MaxValueBytes int           // larger values are refused; 0 means 1 MiB
	HistoryLimit  int           // writes that watches can go back; 0 means 65,536
}

// Defaults of Faults.
const (
	defaultWatchWait     = 10 * time.Second
	defaultMaxValueBytes = 1 << 20
	defaultHistoryLimit  = 1 << 16
)

// Calls counts the calls that the service has taken, failed ones included.
type Calls struct {
	Reads        int // watches included
	Writes       int
	Watches      int // watches begun
	WaitingNow   int // watches that wait
	RateRefusals int // calls refused above the rates
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	switch {
	case !f.StaleReads:
		s.stale = nil
	case s.stale == nil:
		s.stale = &view{maps.Clone(s.entries), s.version}
	}
	s.faults = f
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the counts of calls up to now.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// rate counts calls within one second of the clock.
type rate struct {
	second int64
	n      int
}

// exceeds counts a call and reports whether it is above limit, unless that is 0.
func (r *rate) exceeds(now time.Time, limit int) bool {
	if second := now.Unix(); second != r.second {
		r.second, r.n = second, 0
	}
	r.n++
	return limit > 0 && r.n > limit
}

// errRate marks a call that is above the rate of the service.
var errRate = errs.New("above the rate")

// begin counts a call, delays it, and refuses it if a fault says so.
func (s *Store) begin(ctx context.Context, write bool) error {
	s.mu.Lock()
	exceeded := s.count(write)
	f := s.faults
	s.mu.Unlock()
	if exceeded {
		return store.Unavailable.Wrap(errRate)
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

// count counts a call and reports whether it is above the rate.
func (s *Store) count(write bool) bool {
	calls, used, limit := &s.calls.Reads, &s.reads, s.faults.ReadsPerSec
	if write {
		calls, used, limit = &s.calls.Writes, &s.writes, s.faults.WritesPerSec
	}
	*calls++
	if !used.exceeds(s.timer.Now(), limit) {
		return false
	}
	s.calls.RateRefusals++
	return true
}

// loseAnswer turns the answer of an applied write into Unknown if told to.
func (s *Store) loseAnswer() error {
	if s.faults.LoseAnswers == 0 {
		return nil
	}
	s.faults.LoseAnswers--
	return store.Unknown.New("answer lost")
}

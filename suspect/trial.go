package suspect

import (
	"time"

	"crocuslug/ident"
)

// Trial is an engine that is set apart for one suspect. While it is, the death
// of the engine counts against that content alone.
type Trial struct {
	Upstream    ident.Upstream
	Fingerprint uint64
	Until       time.Time // zero ends the trial
}

// Bounds of a trial. It lasts longer than the content ran before engines died,
// so that one that makes them fail late is caught as well.
const (
	trialLeast  = 2 * time.Second
	trialMost   = 20 * time.Second
	trialFactor = 1.5
)

// TrialLength returns how long content fp is to run alone before others may
// have the engine too.
func (l *Ledger) TrialLength(fp uint64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	longest := time.Duration(0)
	if c, ok := l.cases[fp]; ok {
		for _, d := range c.deaths {
			longest = max(longest, d.ran)
		}
	}
	return min(max(trialLeast, time.Duration(trialFactor*float64(longest))), trialMost)
}

// Reserve sets engine u apart for content fp until a time, and reports whether
// it could. The instances ask one of them, so that two contents never get one engine.
func (l *Ledger) Reserve(now time.Time, u ident.Upstream, fp uint64, until time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h, ok := l.trials[u]; ok && h.Fingerprint != fp && now.Before(h.Until) {
		return false
	}
	l.trials[u] = Trial{u, fp, until}
	return true
}

// Begin tells the others, and notes here, that a trial goes on.
func (l *Ledger) Begin(t Trial) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note(t)
	l.pending.Trials = append(l.pending.Trials, t)
}

// End tells the others, and notes here, that a trial is over.
func (l *Ledger) End(u ident.Upstream, fp uint64) {
	l.Begin(Trial{Upstream: u, Fingerprint: fp})
}

func (l *Ledger) note(t Trial) {
	h, ok := l.trials[t.Upstream]
	switch {
	case !t.Until.IsZero():
		l.trials[t.Upstream] = t
	case ok && h.Fingerprint == t.Fingerprint:
		delete(l.trials, t.Upstream)
	}
}

// on returns the content that engine u is set apart for.
func (l *Ledger) on(now time.Time, u ident.Upstream) (fp uint64, ok bool) {
	h, ok := l.trials[u]
	return h.Fingerprint, ok && now.Before(h.Until)
}

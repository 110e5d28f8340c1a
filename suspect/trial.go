package suspect

import (
	"time"

	"crocuslug/ident"
)

// Trial is the reservation of an engine for one suspected content. While it lasts, a failure
// of the engine counts against that content only.
type Trial struct {
	Upstream    ident.Upstream
	Fingerprint uint64
	Until       time.Time // zero ends the trial
}

// Limits of the length of a trial. A trial lasts longer than the content had run before
// earlier engines failed, so that a content that makes engines fail late is detected too.
const (
	minTrialLength = 2 * time.Second
	maxTrialLength = 20 * time.Second
	trialFactor    = 1.5 // of the longest time that the content ran before a failure
)

// TrialLength returns how long the trial of content fp has to last. Afterwards other
// contents may use the engine again.
func (l *Tracker) TrialLength(fp uint64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	longest := time.Duration(0)
	if c, ok := l.contents[fp]; ok {
		for _, d := range c.failures {
			longest = max(longest, d.ran)
		}
	}
	return min(max(minTrialLength, time.Duration(trialFactor*float64(longest))), maxTrialLength)
}

// Reserve reserves engine u for content fp until a time, and reports whether it was
// available. All instances ask the same instance for reservations, so that two contents
// never get the same engine.
func (l *Tracker) Reserve(now time.Time, u ident.Upstream, fp uint64, until time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h, ok := l.trials[u]; ok && h.Fingerprint != fp && now.Before(h.Until) {
		return false
	}
	l.trials[u] = Trial{u, fp, until}
	return true
}

// BeginTrial records a trial here and adds it to the next report.
func (l *Tracker) BeginTrial(t Trial) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordTrial(t)
	l.unsent.Trials = append(l.unsent.Trials, t)
}

// EndTrial records the end of a trial here and adds it to the next report.
func (l *Tracker) EndTrial(u ident.Upstream, fp uint64) {
	l.BeginTrial(Trial{Upstream: u, Fingerprint: fp})
}

// recordTrial adds a trial, or removes it if its end is reported.
func (l *Tracker) recordTrial(t Trial) {
	h, ok := l.trials[t.Upstream]
	switch {
	case !t.Until.IsZero():
		l.trials[t.Upstream] = t
	case ok && h.Fingerprint == t.Fingerprint:
		delete(l.trials, t.Upstream)
	}
}

// trialOn returns the content that engine u is reserved for, and whether there is one.
func (l *Tracker) trialOn(now time.Time, u ident.Upstream) (fp uint64, ok bool) {
	h, ok := l.trials[u]
	return h.Fingerprint, ok && now.Before(h.Until)
}

// Package suspect detects requests whose content makes upstreams fail.
//
// When an engine fails, every request that ran on it becomes a suspect. After one
// failure, a request is kept off engines that run other suspects, so that a
// second failure has few possible causes. After two failures, it runs in a trial:
// on an engine that is reserved for it and runs no other suspect. If that engine
// fails too, the failure counts against this content only. The content is then
// banned: requests with its fingerprint are refused everywhere until the ban
// expires. A suspect is cleared when an answer to it completes. One content can
// therefore cause at most three failures, and other requests that ran beside it
// still complete.
//
// The package only decides; the instance sends its reports to the others.
package suspect

import (
	"maps"
	"slices"
	"sync"
	"time"

	"crocuslug/ident"
)

// Settings holds the limits of a Tracker. Zero values select the defaults.
type Settings struct {
	DuplicateWindow  time.Duration // reports of failures of one engine within this time are counted once
	FailureRetention time.Duration // how long a failure counts
	BanDuration      time.Duration // how long a banned content is refused
	MaxContents      int           // maximum number of contents recorded
	Disabled         bool          // treats every content as unrestricted; for comparison runs
}

// Defaults of Settings.
const (
	defaultDuplicateWindow  = 5 * time.Second
	defaultFailureRetention = 10 * time.Minute
	defaultBanDuration      = time.Hour
	defaultMaxContents      = 65536
)

// Number of engine failures that lead to each restriction.
const (
	failuresToIsolate = 2
	failuresToBan     = 3
)

// Restriction says where a request may run.
type Restriction int

// Restrictions, the weakest first.
const (
	Unrestricted Restriction = iota // on any engine
	Separated                       // on engines without other suspects, if there are any
	Isolated                        // only on an engine that runs no other suspect
	Banned                          // on no engine
)

// Failure is the failure of an engine, with the contents that ran on it.
type Failure struct {
	Upstream     ident.Upstream
	At           time.Time
	Fingerprints []uint64
	RunTimes     []time.Duration `json:"Ran"` // how long each content had run on the engine
}

// Report is what one instance reports to the others.
type Report struct {
	Failures []Failure `json:"Deaths,omitempty"`
	Cleared  []uint64  `json:"Acquitted,omitempty"`
	Trials   []Trial   `json:",omitempty"`
}

// Tracker records which contents are suspected or banned. It is safe for concurrent use.
type Tracker struct {
	cfg Settings

	mu         sync.Mutex
	contents   map[uint64]*content                      // by fingerprint
	placements map[ident.Upstream]map[uint64]*placement // contents that this instance runs, by engine and fingerprint
	trials     map[ident.Upstream]Trial
	unsent     Report // what the other instances have not been sent
	newBans    []Ban  // bans that the other instances have not been sent
}

// content is the record of one content.
type content struct {
	failures    []failure
	bannedUntil time.Time // end of the ban; zero if there is none
}

// failure is one engine failure that counts against a content.
type failure struct {
	upstream ident.Upstream
	at       time.Time
	ran      time.Duration // how long the content had run on the engine; 0 if unknown
}

// placement is a content on an engine.
type placement struct {
	count int // number of generations
	since time.Time
}

// New returns an empty tracker.
func New(cfg Settings) *Tracker {
	if cfg.DuplicateWindow == 0 {
		cfg.DuplicateWindow = defaultDuplicateWindow
	}
	if cfg.FailureRetention == 0 {
		cfg.FailureRetention = defaultFailureRetention
	}
	if cfg.BanDuration == 0 {
		cfg.BanDuration = defaultBanDuration
	}
	if cfg.MaxContents == 0 {
		cfg.MaxContents = defaultMaxContents
	}
	return &Tracker{
		cfg:        cfg,
		contents:   make(map[uint64]*content),
		placements: make(map[ident.Upstream]map[uint64]*placement),
		trials:     make(map[ident.Upstream]Trial),
	}
}

// EngineFailed records that engine u failed while this instance ran content fp on it.
func (l *Tracker) EngineFailed(now time.Time, u ident.Upstream, fp uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ran := time.Duration(0)
	if p := l.placements[u][fp]; p != nil {
		ran = now.Sub(p.since)
	}
	l.recordFailure(now, failure{u, now, ran}, fp)
}

// Crashed records that upstream u crashed at a time while this instance had run content fp on it for
// a duration. It is EngineFailed for requests that are not recorded by RequestPlaced.
func (l *Tracker) Crashed(at time.Time, u ident.Upstream, fp uint64, ran time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordFailure(at, failure{u, at, ran}, fp)
}

// recordFailure counts a failure seen by this instance and adds it to the next report. l.mu must be
// held.
func (l *Tracker) recordFailure(now time.Time, f failure, fp uint64) {
	u, ran := f.upstream, f.ran
	if l.cfg.Disabled || !l.addFailure(now, f, fp) {
		return
	}
	for i := range l.unsent.Failures {
		d := &l.unsent.Failures[i]
		if d.Upstream == u && now.Sub(d.At) < l.cfg.DuplicateWindow {
			d.Fingerprints = append(d.Fingerprints, fp)
			d.RunTimes = append(d.RunTimes, ran)
			return
		}
	}
	l.unsent.Failures = append(l.unsent.Failures, Failure{u, now, []uint64{fp}, []time.Duration{ran}})
}

// addFailure counts a failure against a content and reports whether it was new.
func (l *Tracker) addFailure(now time.Time, f failure, fp uint64) bool {
	if tried, ok := l.trialOn(f.at, f.upstream); ok && tried != fp {
		return false
	}
	c, ok := l.contents[fp]
	if !ok {
		if len(l.contents) >= l.cfg.MaxContents {
			l.expire(now)
		}
		if len(l.contents) >= l.cfg.MaxContents {
			return false
		}
		c = &content{}
		l.contents[fp] = c
	}
	for _, d := range c.failures {
		if l.sameFailure(d, f) {
			return false
		}
	}
	c.failures = append(c.failures, f)
	if len(c.failures) >= failuresToBan && !now.Before(c.bannedUntil) {
		c.bannedUntil = now.Add(l.cfg.BanDuration)
		l.newBans = append(l.newBans, Ban{fp, c.bannedUntil})
	}
	return true
}

// sameFailure reports whether two reports describe the same failure. A restarted engine can
// fail again soon, so if the content of the later report was placed on the engine after the
// earlier failure, the reports describe different ones.
func (l *Tracker) sameFailure(a, b failure) bool {
	if a.at.After(b.at) {
		a, b = b, a
	}
	restarted := b.ran > 0 && b.at.Add(-b.ran).After(a.at)
	return a.upstream == b.upstream && b.at.Sub(a.at) < l.cfg.DuplicateWindow && !restarted
}

// Completed records that an answer to content fp was completed, which clears the content of
// suspicion unless it was banned.
func (l *Tracker) Completed(fp uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.contents[fp]
	if !ok || !c.bannedUntil.IsZero() {
		return
	}
	delete(l.contents, fp)
	l.unsent.Cleared = append(l.unsent.Cleared, fp)
}

// TakeReport returns what has to be sent to the other instances, removes it here, and
// reports whether there was anything.
func (l *Tracker) TakeReport() (Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.unsent
	l.unsent = Report{}
	return r, len(r.Failures) > 0 || len(r.Cleared) > 0 || len(r.Trials) > 0
}

// Merge adds the report of another instance.
func (l *Tracker) Merge(now time.Time, r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cfg.Disabled {
		return
	}
	for _, t := range r.Trials {
		l.recordTrial(t)
	}
	for _, d := range r.Failures {
		if now.Sub(d.At) > l.cfg.FailureRetention {
			continue
		}
		for i, fp := range d.Fingerprints {
			one := failure{upstream: d.Upstream, at: d.At}
			if i < len(d.RunTimes) {
				one.ran = d.RunTimes[i]
			}
			l.addFailure(now, one, fp)
		}
	}
	for _, fp := range r.Cleared {
		if c, ok := l.contents[fp]; ok && c.bannedUntil.IsZero() {
			delete(l.contents, fp)
		}
	}
}

// Restriction returns where content fp may run. If it is banned, the end of the ban is
// returned too.
func (l *Tracker) Restriction(now time.Time, fp uint64) (Restriction, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restriction(now, fp)
}

func (l *Tracker) restriction(now time.Time, fp uint64) (Restriction, time.Time) {
	c, ok := l.contents[fp]
	if !ok || l.cfg.Disabled {
		return Unrestricted, time.Time{}
	}
	if now.Before(c.bannedUntil) {
		return Banned, c.bannedUntil
	}
	c.failures = slices.DeleteFunc(c.failures, func(d failure) bool { return now.Sub(d.at) > l.cfg.FailureRetention })
	switch n := len(c.failures); {
	case n == 0:
		return Unrestricted, time.Time{}
	case n < failuresToIsolate:
		return Separated, time.Time{}
	}
	return Isolated, time.Time{}
}

// ExcludedEngines returns the engines that content fp must not run on: those on which this
// instance runs other suspects, and those reserved for other contents.
func (l *Tracker) ExcludedEngines(now time.Time, fp uint64) []ident.Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	avoid := make(map[ident.Upstream]bool)
	for u, fps := range l.placements {
		for other := range fps {
			if _, suspected := l.contents[other]; suspected && other != fp {
				avoid[u] = true
			}
		}
	}
	for u := range l.trials {
		if tried, ok := l.trialOn(now, u); ok && tried != fp {
			avoid[u] = true
		}
	}
	return slices.Sorted(maps.Keys(avoid))
}

// RequestPlaced records that a request with content fp runs on engine u from now on.
func (l *Tracker) RequestPlaced(now time.Time, u ident.Upstream, fp uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fps := l.placements[u]
	if fps == nil {
		fps = make(map[uint64]*placement)
		l.placements[u] = fps
	}
	if fps[fp] == nil {
		fps[fp] = &placement{since: now}
	}
	fps[fp].count++
}

// RequestRemoved records that a request with content fp no longer runs on engine u.
func (l *Tracker) RequestRemoved(u ident.Upstream, fp uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fps := l.placements[u]
	p := fps[fp]
	if p == nil {
		return
	}
	if p.count--; p.count == 0 {
		delete(fps, fp)
	}
	if len(fps) == 0 {
		delete(l.placements, u)
	}
}

// Expire removes failures, bans and trials that have expired.
func (l *Tracker) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
}

func (l *Tracker) expire(now time.Time) {
	maps.DeleteFunc(l.trials, func(_ ident.Upstream, t Trial) bool { return !now.Before(t.Until) })
	for fp, c := range l.contents {
		if now.Before(c.bannedUntil) {
			continue
		}
		old := !slices.ContainsFunc(c.failures, func(d failure) bool { return now.Sub(d.at) <= l.cfg.FailureRetention })
		if old || !c.bannedUntil.IsZero() {
			delete(l.contents, fp)
		}
	}
}

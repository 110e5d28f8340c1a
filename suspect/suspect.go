// Package suspect finds requests that make engines fail.
//
// When an engine dies, every request that ran on it is a suspect. A request
// caught in one death is kept apart from other suspects, so that a second death
// points at few. One caught in two gets a trial: an engine without any other
// suspect. If that engine dies too, the death counts against it alone, and the
// content is proven and refused by its fingerprint wherever it is sent again, until
// the verdict expires. An answer that comes to its end acquits its content. So
// at most three engines are lost to one content, and requests that were merely
// near it still finish.
//
// The package decides only; the instance carries its reports to the others.
package suspect

import (
	"maps"
	"slices"
	"sync"
	"time"

	"crocuslug/ident"
)

// Settings bound a Ledger. Zero values mean the defaults.
type Settings struct {
	Window   time.Duration // deaths of one engine within it are one death
	Memory   time.Duration // how long a death counts
	Verdict  time.Duration // how long a proven content is refused
	MaxCases int           // contents remembered
	Disabled bool          // suspects nobody; for comparison
}

// Defaults of Settings.
const (
	defaultWindow   = 5 * time.Second
	defaultMemory   = 10 * time.Minute
	defaultVerdict  = time.Hour
	defaultMaxCases = 65536
)

// Deaths of engines that lead to each treatment.
const (
	deathsAlone  = 2
	deathsRefuse = 3
)

// Treatment says how a request may run.
type Treatment int

// Treatments, mildest first.
const (
	Free   Treatment = iota // anywhere
	Apart                   // away from other suspects if there is room
	Alone                   // only where no other suspect runs
	Refuse                  // nowhere
)

// Death is the death of an engine with contents that ran there.
type Death struct {
	Upstream     ident.Upstream
	At           time.Time
	Fingerprints []uint64
	Ran          []time.Duration // how long each of them had run there
}

// Report is what one instance tells the others.
type Report struct {
	Deaths    []Death  `json:",omitempty"`
	Acquitted []uint64 `json:",omitempty"`
	Trials    []Trial  `json:",omitempty"`
}

// Ledger keeps what is known of contents. Its methods may be called from any
// goroutine.
type Ledger struct {
	cfg Settings

	mu      sync.Mutex
	cases   map[uint64]*content
	places  map[ident.Upstream]map[uint64]*place // what runs here, by engine
	trials  map[ident.Upstream]Trial
	pending Report
	proven  []Verdict // not yet told
}

// content is what is known of one content.
type content struct {
	deaths  []death
	refused time.Time // end of the verdict; zero if there is none
}

type death struct {
	upstream ident.Upstream
	at       time.Time
	ran      time.Duration // how long the content had run there; 0 if not known
}

// place is a content on an engine.
type place struct {
	n     int // generations
	since time.Time
}

// New returns an empty ledger.
func New(cfg Settings) *Ledger {
	if cfg.Window == 0 {
		cfg.Window = defaultWindow
	}
	if cfg.Memory == 0 {
		cfg.Memory = defaultMemory
	}
	if cfg.Verdict == 0 {
		cfg.Verdict = defaultVerdict
	}
	if cfg.MaxCases == 0 {
		cfg.MaxCases = defaultMaxCases
	}
	return &Ledger{
		cfg:    cfg,
		cases:  make(map[uint64]*content),
		places: make(map[ident.Upstream]map[uint64]*place),
		trials: make(map[ident.Upstream]Trial),
	}
}

// Died notes that engine u died while content fp ran there on this instance.
func (l *Ledger) Died(now time.Time, u ident.Upstream, fp uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ran := time.Duration(0)
	if p := l.places[u][fp]; p != nil {
		ran = now.Sub(p.since)
	}
	if l.cfg.Disabled || !l.add(now, death{u, now, ran}, fp) {
		return
	}
	for i := range l.pending.Deaths {
		d := &l.pending.Deaths[i]
		if d.Upstream == u && now.Sub(d.At) < l.cfg.Window {
			d.Fingerprints = append(d.Fingerprints, fp)
			d.Ran = append(d.Ran, ran)
			return
		}
	}
	l.pending.Deaths = append(l.pending.Deaths, Death{u, now, []uint64{fp}, []time.Duration{ran}})
}

// add counts a death against a content and reports whether it was new.
func (l *Ledger) add(now time.Time, one death, fp uint64) bool {
	if tried, ok := l.on(one.at, one.upstream); ok && tried != fp {
		return false
	}
	c, ok := l.cases[fp]
	if !ok {
		if len(l.cases) >= l.cfg.MaxCases {
			l.expire(now)
		}
		if len(l.cases) >= l.cfg.MaxCases {
			return false
		}
		c = &content{}
		l.cases[fp] = c
	}
	for _, d := range c.deaths {
		if l.same(d, one) {
			return false
		}
	}
	c.deaths = append(c.deaths, one)
	if len(c.deaths) >= deathsRefuse && !now.Before(c.refused) {
		c.refused = now.Add(l.cfg.Verdict)
		l.proven = append(l.proven, Verdict{fp, c.refused})
	}
	return true
}

// same reports whether two reports are of one death. An engine that was started
// again can die again soon, so a content that was placed there after the first
// death saw another one.
func (l *Ledger) same(a, b death) bool {
	if a.at.After(b.at) {
		a, b = b, a
	}
	again := b.ran > 0 && b.at.Add(-b.ran).After(a.at)
	return a.upstream == b.upstream && b.at.Sub(a.at) < l.cfg.Window && !again
}

// Finished notes that an answer to content fp came to its end, which acquits it.
func (l *Ledger) Finished(fp uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.cases[fp]
	if !ok || !c.refused.IsZero() {
		return
	}
	delete(l.cases, fp)
	l.pending.Acquitted = append(l.pending.Acquitted, fp)
}

// Take returns what the other instances are to be told, and whether there is anything.
func (l *Ledger) Take() (Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.pending
	l.pending = Report{}
	return r, len(r.Deaths) > 0 || len(r.Acquitted) > 0 || len(r.Trials) > 0
}

// Merge takes in what another instance told.
func (l *Ledger) Merge(now time.Time, r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cfg.Disabled {
		return
	}
	for _, t := range r.Trials {
		l.note(t)
	}
	for _, d := range r.Deaths {
		if now.Sub(d.At) > l.cfg.Memory {
			continue
		}
		for i, fp := range d.Fingerprints {
			one := death{upstream: d.Upstream, at: d.At}
			if i < len(d.Ran) {
				one.ran = d.Ran[i]
			}
			l.add(now, one, fp)
		}
	}
	for _, fp := range r.Acquitted {
		if c, ok := l.cases[fp]; ok && c.refused.IsZero() {
			delete(l.cases, fp)
		}
	}
}

// Treat returns how content fp may run, and until when it is refused.
func (l *Ledger) Treat(now time.Time, fp uint64) (Treatment, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.treat(now, fp)
}

func (l *Ledger) treat(now time.Time, fp uint64) (Treatment, time.Time) {
	c, ok := l.cases[fp]
	if !ok || l.cfg.Disabled {
		return Free, time.Time{}
	}
	if now.Before(c.refused) {
		return Refuse, c.refused
	}
	c.deaths = slices.DeleteFunc(c.deaths, func(d death) bool { return now.Sub(d.at) > l.cfg.Memory })
	switch n := len(c.deaths); {
	case n == 0:
		return Free, time.Time{}
	case n < deathsAlone:
		return Apart, time.Time{}
	}
	return Alone, time.Time{}
}

// Avoid returns the engines that content fp must not run on: those on which
// other suspects run at this instance, and those set apart for others.
func (l *Ledger) Avoid(now time.Time, fp uint64) []ident.Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	avoid := make(map[ident.Upstream]bool)
	for u, fps := range l.places {
		for other := range fps {
			if _, suspected := l.cases[other]; suspected && other != fp {
				avoid[u] = true
			}
		}
	}
	for u := range l.trials {
		if tried, ok := l.on(now, u); ok && tried != fp {
			avoid[u] = true
		}
	}
	return slices.Sorted(maps.Keys(avoid))
}

// Placed notes that a request with content fp runs on engine u from now on.
func (l *Ledger) Placed(now time.Time, u ident.Upstream, fp uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fps := l.places[u]
	if fps == nil {
		fps = make(map[uint64]*place)
		l.places[u] = fps
	}
	if fps[fp] == nil {
		fps[fp] = &place{since: now}
	}
	fps[fp].n++
}

// Left notes that a request no longer runs on engine u.
func (l *Ledger) Left(u ident.Upstream, fp uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fps := l.places[u]
	p := fps[fp]
	if p == nil {
		return
	}
	if p.n--; p.n == 0 {
		delete(fps, fp)
	}
	if len(fps) == 0 {
		delete(l.places, u)
	}
}

// Expire forgets deaths and verdicts whose time is over.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
}

func (l *Ledger) expire(now time.Time) {
	maps.DeleteFunc(l.trials, func(_ ident.Upstream, t Trial) bool { return !now.Before(t.Until) })
	for fp, c := range l.cases {
		if now.Before(c.refused) {
			continue
		}
		old := !slices.ContainsFunc(c.deaths, func(d death) bool { return now.Sub(d.at) <= l.cfg.Memory })
		if old || !c.refused.IsZero() {
			delete(l.cases, fp)
		}
	}
}

// Package reach knows from which upstreams this instance is cut off, and which other instances reach
// them.
//
// Two upstreams of a failure domain to which no connection can be opened may be dead, or this instance
// may be cut off from them. Others tell which: the instance asks a few whether they reach just these
// upstreams. If none does, the upstreams are gone, and nothing changes. If one does, the instance is cut
// off from the failure domain, and opens its connections there through instances that reach it. What
// it finds out about upstreams by itself is doubtful until then and worth nothing afterwards.
//
// The decision needs two instances and no quorum. Nothing is asked while connections can be opened, and
// the questions grow rarer while nobody reaches the upstreams, so that a real outage makes no storm.
// During a cut one upstream of each failure domain is tried directly now and then; two successes in a
// row end it.
package reach

import (
	"slices"
	"sync"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/unit"
)

// Settings configures a Tracker. Zero fields take the defaults.
type Settings struct {
	AskInterval    time.Duration // between two questions about one failure domain, at first; 0 means 200ms
	MaxAskInterval time.Duration // between two questions while nobody reaches it; 0 means 2s
	TrialInterval  time.Duration // between two direct trials of a failure domain that is cut off; 0 means 500ms
	HelperLife     time.Duration // time for which an instance that reached upstreams counts as a helper; 0 means 3s
}

// Defaults of Settings.
const (
	defaultAskInterval    = 200 * time.Millisecond
	defaultMaxAskInterval = 2 * time.Second
	defaultTrialInterval  = 500 * time.Millisecond
	defaultHelperLife     = 3 * time.Second
)

const (
	minFailed   = 2 // upstreams of a failure domain that fail before others are asked, if it has as many
	maxAsked    = 3 // upstreams named in one question
	trialsToEnd = 2 // direct trials in a row that must succeed
	cutsForAll  = 2 // failure domains that are cut off from when on all of them count as cut off
	farPenalty  = 4 // relayed connections that a helper in the own failure domain may have more
)

// Tracker is what one instance knows. Its methods are safe for concurrent use.
type Tracker struct {
	cfg Settings

	mu      sync.Mutex
	domains map[ident.Domain]*domain
	reached map[ident.Upstream]time.Time // when this instance last opened a connection itself
	helpers map[ident.Instance]helper
}

// domain is the state of the upstreams of one failure domain.
type domain struct {
	upstreams []ident.Upstream
	failed    []failure     // upstreams to which no connection could be opened since one last could be; at most maxAsked
	askAt     time.Time     // earliest time of the next question
	askWait   time.Duration // time between that question and the one after it
	asks      int           // questions since a connection could last be opened
	cut       bool
	since     time.Time // when it was cut off
	trialAt   time.Time // time of the next direct trial
	trials    int       // direct trials in a row that succeeded
}

// failure is an upstream to which no connection could be opened, and when that was first so.
type failure struct {
	id ident.Upstream
	at time.Time
}

// fails reports whether an upstream is one of those to which no connection could be opened.
func (d *domain) fails(id ident.Upstream) bool {
	return slices.ContainsFunc(d.failed, func(f failure) bool { return f.id == id })
}

// helper is an instance that reaches upstreams.
type helper struct {
	at   time.Time // when it said so
	open int       // connections that it passes on
	near bool      // in the failure domain of this instance
}

// New returns a Tracker of an instance that is not cut off.
func New(cfg Settings) *Tracker {
	unit.SetDefault(&cfg.AskInterval, defaultAskInterval)
	unit.SetDefault(&cfg.MaxAskInterval, defaultMaxAskInterval)
	unit.SetDefault(&cfg.TrialInterval, defaultTrialInterval)
	unit.SetDefault(&cfg.HelperLife, defaultHelperLife)
	return &Tracker{
		cfg:     cfg,
		domains: make(map[ident.Domain]*domain),
		reached: make(map[ident.Upstream]time.Time),
		helpers: make(map[ident.Instance]helper),
	}
}

// SetUpstreams sets the registered upstreams.
func (t *Tracker) SetUpstreams(list []directory.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := make(map[ident.Upstream]bool, len(list))
	for _, d := range t.domains {
		d.upstreams = d.upstreams[:0]
	}
	for _, u := range list {
		known[u.ID] = true
		d := t.domain(u.Domain)
		d.upstreams = append(d.upstreams, u.ID)
	}
	for _, d := range t.domains {
		d.failed = slices.DeleteFunc(d.failed, func(f failure) bool { return !known[f.id] })
	}
	for id := range t.reached {
		if !known[id] {
			delete(t.reached, id)
		}
	}
}

// domain returns the state of a failure domain and creates it if needed. t.mu must be held.
func (t *Tracker) domain(name ident.Domain) *domain {
	d, ok := t.domains[name]
	if !ok {
		d = &domain{}
		t.domains[name] = d
	}
	return d
}

// Dialed records whether this instance itself could open a connection to an upstream. It reports
// whether that has ended a cut.
func (t *Tracker) Dialed(id ident.Upstream, name ident.Domain, ok bool, now time.Time) (ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.domain(name)
	if !ok {
		d.trials = 0
		if !d.fails(id) && len(d.failed) < maxAsked {
			d.failed = append(d.failed, failure{id, now})
		}
		return false
	}
	t.reached[id] = now
	d.failed, d.askWait, d.asks = nil, 0, 0
	if !d.cut {
		return false
	}
	d.trials++
	if d.trials < trialsToEnd {
		return false
	}
	d.cut = false
	return true
}

// suspect reports whether this instance may be cut off from the upstreams of d.
func (d *domain) suspect() bool {
	return len(d.failed) > 0 && len(d.failed) >= min(minFailed, len(d.upstreams))
}

// Cut reports whether this instance is cut off from the upstreams of a failure domain.
func (t *Tracker) Cut(name ident.Domain) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	d, ok := t.domains[name]
	return ok && d.cut
}

// Suspect reports whether this instance is cut off from the upstreams of a failure domain, or asks others
// whether it is, so that what it finds out about them must not be told.
func (t *Tracker) Suspect(name ident.Domain) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	d, ok := t.domains[name]
	return ok && (d.cut || d.suspect())
}

// Doubtful reports whether this instance is cut off from the upstreams of a failure domain, and whether
// it may be because no connection there could be opened since one could not. Then it returns another
// upstream to try, "" if there is none.
func (t *Tracker) Doubtful(name ident.Domain, random func() uint64) (cut, doubtful bool, try ident.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d, ok := t.domains[name]
	if !ok || d.cut || len(d.failed) == 0 {
		return ok && d.cut, ok && d.cut, ""
	}
	if n := len(d.upstreams); n > 0 {
		first := int(random() % uint64(n))
		for i := range n {
			if id := d.upstreams[(first+i)%n]; !d.fails(id) {
				return false, true, id
			}
		}
	}
	return false, true, ""
}

// Reached reports whether this instance opened a connection to an upstream itself within a time.
func (t *Tracker) Reached(id ident.Upstream, within time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.reached[id]
	return ok && now.Sub(at) <= within
}

// Question asks another instance whether it reaches upstreams.
type Question struct {
	Upstreams []Failed
}

// Failed is an upstream to which the instance that asks can open no connection.
type Failed struct {
	Upstream ident.Upstream
	// For is the time since it failed first, so that only what is newer tells that others reach it.
	For unit.Duration
}

// Ask returns the question about the upstreams of a failure domain to ask other instances now, if there
// is one, and counts it as asked. before is the number of questions that led to nothing; with each of
// them more instances should be asked, since most may be cut off.
func (t *Tracker) Ask(name ident.Domain, now time.Time) (q Question, before int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.domain(name)
	if d.cut || !d.suspect() || now.Before(d.askAt) {
		return Question{}, 0
	}
	d.asks++
	d.askWait = min(max(2*d.askWait, t.cfg.AskInterval), t.cfg.MaxAskInterval)
	d.askAt = now.Add(d.askWait)
	for _, f := range d.failed {
		q.Upstreams = append(q.Upstreams, Failed{f.id, unit.Duration(now.Sub(f.at))})
	}
	return q, d.asks - 1
}

// Answer is what another instance says to a question.
type Answer struct {
	Reached []ident.Upstream `json:",omitempty"` // upstreams that it reaches itself
	Open    int              `json:",omitempty"` // connections that it passes on for others
}

// Answered records the answer of another instance to a question about some upstreams of a failure
// domain. It returns the failure domains from which this instance counts as cut off because of it.
func (t *Tracker) Answered(from ident.Instance, near bool, name ident.Domain, q Question, a Answer, now time.Time) []ident.Domain {
	t.mu.Lock()
	defer t.mu.Unlock()
	reached := 0
	for _, f := range q.Upstreams {
		if slices.Contains(a.Reached, f.Upstream) {
			reached++
		}
	}
	const most = 2 // it reaches one of so many or more, since some may be gone
	if reached == 0 || most*reached < len(q.Upstreams) {
		delete(t.helpers, from)
		return nil
	}
	t.helpers[from] = helper{now, a.Open, near}
	d := t.domain(name)
	if d.cut || !d.suspect() {
		return nil
	}
	changed := []ident.Domain{name}
	t.setCut(d, now)
	cuts := 0
	for _, other := range t.domains {
		if other.cut {
			cuts++
		}
	}
	for name, other := range t.domains {
		if cuts >= cutsForAll && !other.cut {
			t.setCut(other, now)
			changed = append(changed, name)
		}
	}
	return changed
}

// setCut records that this instance is cut off from the upstreams of d. t.mu must be held.
func (t *Tracker) setCut(d *domain, now time.Time) {
	d.cut, d.since, d.trials = true, now, 0
	d.trialAt = now.Add(t.cfg.TrialInterval)
}

// Helpers returns the instances through which a connection may be opened, in the order in which to try
// them: the less loaded one of two drawn at random, then the others. random returns 64 random bits.
func (t *Tracker) Helpers(random func() uint64, now time.Time) []ident.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ident.Instance
	for id, h := range t.helpers {
		if now.Sub(h.at) > t.cfg.HelperLife {
			delete(t.helpers, id)
			continue
		}
		out = append(out, id)
	}
	slices.Sort(out)
	for i := len(out) - 1; i > 0; i-- {
		j := int(random() % uint64(i+1))
		out[i], out[j] = out[j], out[i]
	}
	if len(out) > 1 && t.helpers[out[1]].cost() < t.helpers[out[0]].cost() {
		out[0], out[1] = out[1], out[0]
	}
	return out
}

// cost is the load of a helper by which two of them are compared.
func (h helper) cost() int {
	if h.near {
		return h.open
	}
	return h.open + farPenalty
}

// Helped records whether an instance passed a connection on, and how many it passes on. It reports
// whether the instance no longer counts as a helper since it did not, which happens once for each answer
// that made it one, however many requests wait for it.
func (t *Tracker) Helped(id ident.Instance, ok bool, open int, now time.Time) (removed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, known := t.helpers[id]
	switch {
	case !ok:
		delete(t.helpers, id)
	case known:
		t.helpers[id] = helper{now, open, h.near}
	}
	return known && !ok
}

// Trials returns an upstream of each failure domain that is to be tried directly now. random returns 64
// random bits.
func (t *Tracker) Trials(random func() uint64, now time.Time) []ident.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ident.Upstream
	for _, d := range t.domains {
		if !d.cut || now.Before(d.trialAt) || len(d.upstreams) == 0 {
			continue
		}
		d.trialAt = now.Add(t.cfg.TrialInterval)
		out = append(out, d.upstreams[random()%uint64(len(d.upstreams))])
	}
	return out
}

// CutDomains returns the failure domains from whose upstreams this instance is cut off, sorted, and
// since when each is.
func (t *Tracker) CutDomains() (names []ident.Domain, since map[ident.Domain]time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	since = make(map[ident.Domain]time.Time)
	for name, d := range t.domains {
		if d.cut {
			names = append(names, name)
			since[name] = d.since
		}
	}
	slices.Sort(names)
	return names, since
}

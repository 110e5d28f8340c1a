// Package health ejects upstreams that fail or are slow and re-admits them with
// care.
//
// An upstream that refuses connections is dead and is skipped at once. One that
// fails repeatedly, fails a large share of its requests or answers much later
// than the median of its peers is ejected, but only while few are out: when many
// look bad, the cause is more likely common to all, and the rest could not carry
// the load. An upstream that is out is tried with one request at a time, after
// a back-off that doubles with each failed trial.
package health

import (
	"slices"
	"strings"
	"time"

	"crocuslug/ident"
	"crocuslug/unit"
)

// Settings of a Tracker. The zero value takes the defaults.
type Settings struct {
	Consecutive   int           // failures in a row that eject; 0 means 5
	ErrorShare    float64       // share of failures that ejects; 0 means 0.5
	MinRequests   int           // requests needed to judge a share or a latency; 0 means 20
	Window        unit.Duration // time in which counts of requests halve; 0 means 10s
	LatencyFactor float64       // multiple of the peers' median that ejects; 0 means 4
	LatencyMargin unit.Duration // excess over the median that ejects at least; 0 means 100ms
	BackOff       unit.Duration // time out before the first trial; 0 means 1s
	MaxBackOff    unit.Duration // greatest time between trials; 0 means 1m
	TrialTimeout  unit.Duration // time after which a trial counts as failed; 0 means 5s
	MaxOut        float64       // share of upstreams that may be out by ejection; 0 means 0.3
}

// Defaults of Settings.
const (
	defaultConsecutive   = 5
	defaultErrorShare    = 0.5
	defaultMinRequests   = 20
	defaultWindow        = 10 * time.Second
	defaultLatencyFactor = 4
	defaultLatencyMargin = 100 * time.Millisecond
	defaultBackOff       = time.Second
	defaultMaxBackOff    = time.Minute
	defaultTrialTimeout  = 5 * time.Second
	defaultMaxOut        = 0.3
)

func (cfg Settings) withDefaults() Settings {
	if cfg.Consecutive <= 0 {
		cfg.Consecutive = defaultConsecutive
	}
	if cfg.ErrorShare <= 0 {
		cfg.ErrorShare = defaultErrorShare
	}
	if cfg.MinRequests <= 0 {
		cfg.MinRequests = defaultMinRequests
	}
	if cfg.LatencyFactor <= 0 {
		cfg.LatencyFactor = defaultLatencyFactor
	}
	if cfg.MaxOut <= 0 {
		cfg.MaxOut = defaultMaxOut
	}
	setDuration(&cfg.Window, defaultWindow)
	setDuration(&cfg.LatencyMargin, defaultLatencyMargin)
	setDuration(&cfg.BackOff, defaultBackOff)
	setDuration(&cfg.MaxBackOff, defaultMaxBackOff)
	setDuration(&cfg.TrialTimeout, defaultTrialTimeout)
	return cfg
}

func setDuration(d *unit.Duration, v time.Duration) {
	if *d <= 0 {
		*d = unit.Duration(v)
	}
}

// Kind tells how a request to an upstream ended.
type Kind int

// Kinds of outcomes.
const (
	OK      Kind = iota // answered
	Failed              // failed after the connection was made, or timed out
	Refused             // the connection was refused or could not be made
)

// Outcome is the end of one request, or of one trial.
type Outcome struct {
	Upstream ident.Upstream
	Kind     Kind
	Latency  time.Duration // time to the first byte of the answer; used if OK
	Trial    bool          // the request was sent because of a Change to Trial
}

// State tells whether an upstream takes work.
type State int

// States of upstreams.
const (
	In    State = iota // takes work
	Out                // takes none
	Trial              // takes none but one request, whose Outcome is a trial's
)

// String returns the state in lower case.
func (s State) String() string {
	switch s {
	case Out:
		return "out"
	case Trial:
		return "trial"
	}
	return "in"
}

// Change tells that an upstream has a new state.
type Change struct {
	Upstream ident.Upstream
	State    State
}

// Tracker follows the health of upstreams. It is not safe for concurrent use:
// the goroutine that owns control state feeds it and passes the changes on.
type Tracker struct {
	cfg      Settings
	peers    map[ident.Upstream]*peer
	names    []ident.Upstream         // sorted
	bad      map[ident.Upstream]*peer // those that are not fine, on trial or told to be out; few of many
	compared time.Time                // latencies
}

// New returns a tracker without upstreams.
func New(cfg Settings) *Tracker {
	return &Tracker{cfg: cfg.withDefaults(), peers: make(map[ident.Upstream]*peer), bad: make(map[ident.Upstream]*peer)}
}

// SetUpstreams replaces the list of upstreams. New ones are in.
func (t *Tracker) SetUpstreams(names []ident.Upstream, now time.Time) []Change {
	t.names = slices.Clone(names)
	slices.Sort(t.names)
	t.names = slices.Compact(t.names)
	peers := make(map[ident.Upstream]*peer, len(t.names))
	for _, u := range t.names {
		p, ok := t.peers[u]
		if !ok {
			p = &peer{name: u, since: now}
		}
		peers[u] = p
	}
	t.peers = peers
	for u := range t.bad {
		if _, ok := peers[u]; !ok {
			delete(t.bad, u)
		}
	}
	return t.settle(nil)
}

// Observe takes an outcome and returns the changes that follow from it.
func (t *Tracker) Observe(o Outcome, now time.Time) []Change {
	p, ok := t.peers[o.Upstream]
	if !ok {
		return nil
	}
	if o.Trial && (p.trial || p.state == dead) {
		t.endTrial(p, o.Kind, now)
		return t.settle(nil)
	}
	p.count(o, t.cfg.Window.Std(), now)
	switch {
	case o.Kind == Refused && p.state != dead:
		t.exclude(p, dead, now)
	case p.state == fine && t.failing(p):
		t.eject(p, now)
	default:
		return nil
	}
	return t.settle(nil)
}

// Out reports whether an upstream is out, as the last change told.
func (t *Tracker) Out(u ident.Upstream) bool {
	p, ok := t.peers[u]
	return ok && p.out
}

// Dead reports whether an upstream is taken to be dead, which is in only while
// all are dead. A request to it may be told as a trial.
func (t *Tracker) Dead(u ident.Upstream) bool {
	p, ok := t.peers[u]
	return ok && p.state == dead
}

// compareEvery is the time between two comparisons of latencies, which are means
// over many answers.
const compareEvery = time.Second

// troubled returns the upstreams that need a look, by name.
func (t *Tracker) troubled() []*peer {
	if len(t.bad) == 0 {
		return nil
	}
	list := make([]*peer, 0, len(t.bad))
	for _, p := range t.bad {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *peer) int { return strings.Compare(string(a.name), string(b.name)) })
	return list
}

// Tick compares latencies, starts the trials that are due and returns all
// changes. It is called several times a second.
func (t *Tracker) Tick(now time.Time) []Change {
	if now.Sub(t.compared) >= compareEvery {
		t.compared = now
		t.compare(now)
	}
	var cs []Change
	for _, p := range t.troubled() {
		if p.trial && now.Sub(p.tried) >= t.cfg.TrialTimeout.Std() {
			t.endTrial(p, Failed, now)
		}
		if p.state != fine && !p.trial && !now.Before(p.until) {
			p.trial = true
			p.tried = now
			cs = append(cs, Change{p.name, Trial})
		}
	}
	return t.settle(cs)
}

// endTrial takes in the end of a trial. If all upstreams were dead, one that
// answers is a sign that what struck them all is over, so the others are tried
// soon.
func (t *Tracker) endTrial(p *peer, k Kind, now time.Time) {
	p.trial = false
	if deads, _ := t.outs(); k == OK && deads == len(t.peers) {
		for _, other := range t.peers {
			other.until, other.backOff = now, 0
		}
	}
	switch {
	case k == Refused:
		t.exclude(p, dead, now)
	case p.state == fine:
		return
	case k == OK:
		p.admit(now)
	default:
		t.exclude(p, p.state, now)
	}
}

func (t *Tracker) failing(p *peer) bool {
	if p.row >= t.cfg.Consecutive {
		return true
	}
	return p.requests >= float64(t.cfg.MinRequests) && p.failures >= t.cfg.ErrorShare*p.requests
}

// eject takes p out if not too many are out.
func (t *Tracker) eject(p *peer, now time.Time) {
	deads, ejecteds := t.outs()
	if deads+ejecteds < t.limit() {
		t.exclude(p, ejected, now)
	}
}

// exclude takes p out until its next trial.
func (t *Tracker) exclude(p *peer, s state, now time.Time) {
	if p.state == fine && now.Sub(p.since) > t.cfg.MaxBackOff.Std() {
		p.backOff = 0
	}
	p.backOff = min(max(2*p.backOff, t.cfg.BackOff.Std()), t.cfg.MaxBackOff.Std())
	p.state = s
	t.bad[p.name] = p
	p.since = now
	p.until = now.Add(p.backOff)
}

// limit returns how many upstreams may be out for ejection to take place. Of
// two or three it is one.
func (t *Tracker) limit() int {
	if len(t.names) < 2 {
		return 0
	}
	return max(1, int(t.cfg.MaxOut*float64(len(t.names))))
}

func (t *Tracker) outs() (deads, ejecteds int) {
	for _, p := range t.bad {
		switch p.state {
		case dead:
			deads++
		case ejected:
			ejecteds++
		}
	}
	return deads, ejecteds
}

// settle takes ejected upstreams back while too many are out, and appends to cs
// the changes of what is in and out. If all are dead, all are in.
func (t *Tracker) settle(cs []Change) []Change {
	deads, ejecteds := t.outs()
	for ejecteds > 0 && deads+ejecteds > t.limit() {
		p := t.earliest()
		p.admit(p.since)
		ejecteds--
	}
	all := deads == len(t.names)
	for _, p := range t.troubled() {
		if out := p.state != fine && !all; out != p.out {
			p.out = out
			cs = append(cs, Change{p.name, stateOf(out)})
		}
		if p.state == fine && !p.trial {
			delete(t.bad, p.name)
		}
	}
	return cs
}

func stateOf(out bool) State {
	if out {
		return Out
	}
	return In
}

// earliest returns the upstream that has been ejected longest.
func (t *Tracker) earliest() *peer {
	var first *peer
	for _, p := range t.troubled() {
		if p.state == ejected && (first == nil || p.since.Before(first.since)) {
			first = p
		}
	}
	return first
}

// compare ejects the slowest upstream whose latency is an outlier.
func (t *Tracker) compare(now time.Time) {
	const minPeers = 3
	var latencies []float64
	var slowest *peer
	for _, u := range t.names {
		p := t.peers[u]
		if p.state != fine || p.answers < t.cfg.MinRequests {
			continue
		}
		latencies = append(latencies, p.latency)
		if slowest == nil || p.latency > slowest.latency {
			slowest = p
		}
	}
	if len(latencies) < minPeers {
		return
	}
	slices.Sort(latencies)
	median := latencies[(len(latencies)-1)/2]
	excess := slowest.latency - median
	if slowest.latency > t.cfg.LatencyFactor*median && excess > t.cfg.LatencyMargin.Std().Seconds() {
		t.eject(slowest, now)
	}
}

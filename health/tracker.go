// Package health takes upstreams that fail or are slow out of rotation and re-admits them
// after successful trials.
//
// An upstream that refuses connections is dead and is taken out at once. One that fails
// several times in a row, fails a large share of its requests or answers much later than
// the median of all upstreams is ejected, but only while few are out. If many look bad, the
// cause is probably common to all, and the remaining ones could not carry the load. An
// upstream that is out is tried with one request at a time, after a back-off that doubles
// with each failed trial, and each time that the upstream fails again soon. An upstream that
// is only silent may have paused, so silence does not lengthen the first back-off.
package health

import (
	"slices"
	"strings"
	"time"

	"crocuslug/ident"
	"crocuslug/unit"
)

// Settings configures a Tracker. Zero fields take the defaults.
type Settings struct {
	Consecutive   int           // consecutive failures that cause ejection; 0 means 5
	ErrorShare    float64       // share of failed requests that causes ejection; 0 means 0.5
	MinRequests   int           // number of requests needed to judge the share of failures or the latency; 0 means 20
	Window        unit.Duration // half-life of the counts of requests; 0 means 10s
	LatencyFactor float64       // multiple of the median latency that causes ejection; 0 means 4
	LatencyMargin unit.Duration // least excess over the median latency that causes ejection; 0 means 100ms
	BackOff       unit.Duration // time out before the first trial; 0 means 1s
	MaxBackOff    unit.Duration // longest time between trials; 0 means 1m
	TrialTimeout  unit.Duration // time after which a trial counts as failed; 0 means 5s
	MaxOut        float64       // share of upstreams that may be out when one is ejected; 0 means 0.3
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

// Kind is how a request to an upstream ended.
type Kind int

// Kinds of outcomes.
const (
	OK      Kind = iota // answered
	Failed              // failed after the connection was made, or timed out
	Refused             // no connection could be made
	Silent              // failed because nothing arrived in time
)

// Outcome describes the end of one request or trial.
type Outcome struct {
	Upstream ident.Upstream
	Kind     Kind
	Latency  time.Duration // time to the first byte of the answer; used only for OK
	Trial    bool          // the request was sent as a trial after a Change to Trial
}

// State is whether an upstream is in rotation.
type State int

// States of upstreams.
const (
	In    State = iota // receives requests
	Out                // receives no requests
	Trial              // receives a single request as a trial
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

// Change is the change of an upstream to a new state.
type Change struct {
	Upstream ident.Upstream
	State    State
}

// Tracker tracks the health of upstreams. It is not safe for concurrent use; its owner
// serializes the calls and applies the changes.
type Tracker struct {
	cfg        Settings
	upstreams  map[ident.Upstream]*upstream
	names      []ident.Upstream             // sorted
	unhealthy  map[ident.Upstream]*upstream // upstreams that are not healthy, on trial, or reported as out; usually few
	comparedAt time.Time                    // time of the last comparison of latencies
}

// New returns a Tracker without upstreams.
func New(cfg Settings) *Tracker {
	return &Tracker{cfg: cfg.withDefaults(), upstreams: make(map[ident.Upstream]*upstream), unhealthy: make(map[ident.Upstream]*upstream)}
}

// SetUpstreams replaces the list of upstreams and returns the resulting changes. New upstreams
// are in rotation.
func (t *Tracker) SetUpstreams(names []ident.Upstream, now time.Time) []Change {
	t.names = slices.Clone(names)
	slices.Sort(t.names)
	t.names = slices.Compact(t.names)
	upstreams := make(map[ident.Upstream]*upstream, len(t.names))
	for _, u := range t.names {
		p, ok := t.upstreams[u]
		if !ok {
			p = &upstream{name: u, since: now}
		}
		upstreams[u] = p
	}
	t.upstreams = upstreams
	for u := range t.unhealthy {
		if _, ok := upstreams[u]; !ok {
			delete(t.unhealthy, u)
		}
	}
	return t.reconcile(nil)
}

// Observe records an outcome and returns the resulting changes.
func (t *Tracker) Observe(o Outcome, now time.Time) []Change {
	p, ok := t.upstreams[o.Upstream]
	if !ok {
		return nil
	}
	if o.Trial && (p.onTrial || p.state == dead) {
		t.endTrial(p, o.Kind, now)
		return t.reconcile(nil)
	}
	p.count(o, t.cfg.Window.Std(), now)
	switch {
	case o.Kind == Refused && p.state != dead:
		t.takeOut(p, dead, now)
	case p.state == healthy && t.failing(p):
		t.eject(p, now)
	default:
		return nil
	}
	return t.reconcile(nil)
}

// Out reports whether an upstream is out of rotation according to the last change.
func (t *Tracker) Out(u ident.Upstream) bool {
	p, ok := t.upstreams[u]
	return ok && p.reportedOut
}

// Dead reports whether an upstream is considered dead. A dead upstream is in rotation only
// while all are dead. The outcome of a request to it may be reported as that of a trial.
func (t *Tracker) Dead(u ident.Upstream) bool {
	p, ok := t.upstreams[u]
	return ok && p.state == dead
}

// compareInterval is the time between two comparisons of latencies, which are means over many
// answers and change slowly.
const compareInterval = time.Second

// sortedUnhealthy returns the upstreams in t.unhealthy, sorted by name.
func (t *Tracker) sortedUnhealthy() []*upstream {
	if len(t.unhealthy) == 0 {
		return nil
	}
	list := make([]*upstream, 0, len(t.unhealthy))
	for _, p := range t.unhealthy {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *upstream) int { return strings.Compare(string(a.name), string(b.name)) })
	return list
}

// Tick compares latencies, starts the trials that are due and returns all changes. It must be
// called several times a second.
func (t *Tracker) Tick(now time.Time) []Change {
	if now.Sub(t.comparedAt) >= compareInterval {
		t.comparedAt = now
		t.ejectSlowest(now)
	}
	var cs []Change
	for _, p := range t.sortedUnhealthy() {
		if p.onTrial && now.Sub(p.trialStart) >= t.cfg.TrialTimeout.Std() {
			t.endTrial(p, Failed, now)
		}
		if p.state != healthy && !p.onTrial && !now.Before(p.nextTrial) {
			p.onTrial = true
			p.trialStart = now
			cs = append(cs, Change{p.name, Trial})
		}
	}
	return t.reconcile(cs)
}

// endTrial records the end of a trial. If all upstreams were dead and this one answers, the
// common cause is probably over, so the others are tried at once.
func (t *Tracker) endTrial(p *upstream, k Kind, now time.Time) {
	p.onTrial = false
	if deadCount, _ := t.countOut(); k == OK && deadCount == len(t.upstreams) {
		for _, other := range t.upstreams {
			other.nextTrial, other.backOff = now, 0
		}
	}
	switch {
	case k == Refused:
		t.takeOut(p, dead, now)
	case p.state == healthy:
		return
	case k == OK:
		p.readmit(now)
	default:
		t.takeOut(p, p.state, now)
	}
}

// failing reports whether p fails often enough to be ejected.
func (t *Tracker) failing(p *upstream) bool {
	if p.consecutiveFailures >= t.cfg.Consecutive {
		return true
	}
	return p.requests >= float64(t.cfg.MinRequests) && p.failures >= t.cfg.ErrorShare*p.requests
}

// eject takes p out unless too many upstreams are out already.
func (t *Tracker) eject(p *upstream, now time.Time) {
	deadCount, ejectedCount := t.countOut()
	if deadCount+ejectedCount < t.maxOut() {
		if p.consecutiveFailures > 0 && p.consecutiveSilent == p.consecutiveFailures {
			p.backOff = 0
		}
		t.takeOut(p, ejected, now)
	}
}

// takeOut takes p out until its next trial.
func (t *Tracker) takeOut(p *upstream, s state, now time.Time) {
	if p.state == healthy && now.Sub(p.since) > t.cfg.MaxBackOff.Std() {
		p.backOff = 0
	}
	p.backOff = min(max(2*p.backOff, t.cfg.BackOff.Std()), t.cfg.MaxBackOff.Std())
	p.state = s
	t.unhealthy[p.name] = p
	p.since = now
	p.nextTrial = now.Add(p.backOff)
}

// maxOut returns the number of upstreams that may be out, above which none is ejected. It is
// at least one if there are two or more upstreams.
func (t *Tracker) maxOut() int {
	if len(t.names) < 2 {
		return 0
	}
	return max(1, int(t.cfg.MaxOut*float64(len(t.names))))
}

// countOut returns the number of dead and of ejected upstreams.
func (t *Tracker) countOut() (deadCount, ejectedCount int) {
	for _, p := range t.unhealthy {
		switch p.state {
		case dead:
			deadCount++
		case ejected:
			ejectedCount++
		}
	}
	return deadCount, ejectedCount
}

// reconcile re-admits ejected upstreams while too many are out, and appends the resulting
// changes to cs. If all upstreams are dead, all are in rotation.
func (t *Tracker) reconcile(cs []Change) []Change {
	deadCount, ejectedCount := t.countOut()
	for ejectedCount > 0 && deadCount+ejectedCount > t.maxOut() {
		p := t.longestEjected()
		p.readmit(p.since)
		ejectedCount--
	}
	allDead := deadCount == len(t.names)
	for _, p := range t.sortedUnhealthy() {
		if out := p.state != healthy && !allDead; out != p.reportedOut {
			p.reportedOut = out
			cs = append(cs, Change{p.name, stateOf(out)})
		}
		if p.state == healthy && !p.onTrial {
			delete(t.unhealthy, p.name)
		}
	}
	return cs
}

// stateOf returns Out or In.
func stateOf(out bool) State {
	if out {
		return Out
	}
	return In
}

// longestEjected returns the upstream that has been ejected the longest, or nil.
func (t *Tracker) longestEjected() *upstream {
	var first *upstream
	for _, p := range t.sortedUnhealthy() {
		if p.state == ejected && (first == nil || p.since.Before(first.since)) {
			first = p
		}
	}
	return first
}

// ejectSlowest ejects the slowest upstream if its latency is an outlier.
func (t *Tracker) ejectSlowest(now time.Time) {
	const minPeers = 3
	var latencies []float64
	var slowest *upstream
	for _, u := range t.names {
		p := t.upstreams[u]
		if p.state != healthy || p.answers < t.cfg.MinRequests {
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

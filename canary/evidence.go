package canary

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"crocuslug/ident"
	"crocuslug/store"
	"crocuslug/unit"
)

// Bounds of the evidence that is kept and told.
const (
	maxTold      = 32               // other instances in a report
	maxInstances = 2048             // runs of instances of which the evidence is kept for an order
	maxRoutes    = 16               // routes of a service that are counted apart, otherRoutes among them
	maxName      = 128              // bytes of a name that another instance tells
	maxCount     = 1 << 30          // of answers and attempts that an instance may tell
	maxAge       = 24 * time.Hour   // of an order that an instance may tell
	maxLatency   = 10 * time.Minute // mean that an instance may tell
)

// otherRoutes is the name under which the routes beyond maxRoutes are counted together.
const otherRoutes = ""

// Evidence is what an instance knows of the answers under an order, as instances tell each other.
type Evidence struct {
	Service    ident.Service
	To         ident.Build
	Version    store.Version    // of the order
	Age        unit.Duration    `json:",omitempty"` // time since the order was given, as far as the sender knows
	RolledBack bool             `json:",omitempty"` // the build was found bad
	Instances  []instanceReport `json:",omitempty"` // the sender first, then others of which it has heard
}

// instanceReport holds the counters of one run of an instance. They only grow.
type instanceReport struct {
	Instance ident.Instance
	Started  int64         `json:",omitempty"` // Unix time in milliseconds; tells the runs of an instance apart
	Sent     int64         `json:",omitempty"` // attempts on all builds
	Routes   []routeReport `json:",omitempty"`
}

// routeReport holds the counters of one route.
type routeReport struct {
	Route  string
	New    counts `json:",omitzero"`
	Former counts `json:",omitzero"`
}

// counts are the answers of one side: all, failures, slow ones, and the sum of the latencies of those that did not
// fail in microseconds, which is 0 for the new build. They are an array because names would double the size of a report.
type counts [4]int64

// Indexes of counts.
const (
	answers = iota
	failed
	slow
	latencySum
)

func (c counts) bad() int64 { return c[failed] + c[slow] }

// mean returns the mean latency of the answers that did not fail, and how many these are.
func (c counts) mean() (time.Duration, int64) {
	n := c[answers] - c[failed]
	if n <= 0 {
		return 0, 0
	}
	return time.Duration(c[latencySum]/n) * time.Microsecond, n
}

func (c counts) add(d counts) counts {
	for i := range c {
		c[i] += d[i]
	}
	return c
}

func (c counts) sub(d counts) counts {
	for i := range c {
		c[i] -= d[i]
	}
	return c
}

// max returns the larger value of each counter.
func (c counts) max(d counts) counts {
	for i := range c {
		c[i] = max(c[i], d[i])
	}
	return c
}

func (c counts) valid() bool {
	for _, v := range c {
		if v < 0 {
			return false
		}
	}
	return c[answers] <= maxCount && c[failed] <= c[answers] && c[slow] <= c[answers]-c[failed] &&
		c[latencySum] <= c[answers]*maxLatency.Microseconds()
}

// UnmarshalJSON decodes e. Odd counters cost the counters and an odd order costs the evidence, but neither costs the
// digest that carries it, nor do odd counters cost a verdict.
func (e *Evidence) UnmarshalJSON(b []byte) error {
	type plain Evidence
	var p plain
	if json.Unmarshal(b, &p) == nil {
		*e = Evidence(p)
		return nil
	}
	var head struct {
		Service    ident.Service
		To         ident.Build
		Version    store.Version
		RolledBack bool
	}
	*e = Evidence{}
	if json.Unmarshal(b, &head) == nil {
		*e = Evidence{Service: head.Service, To: head.To, Version: head.Version, RolledBack: head.RolledBack}
	}
	return nil
}

func (e *Evidence) valid() bool {
	return e.Service != "" && len(e.Service) <= maxName && e.To != "" && len(e.To) <= maxName && e.Version > 0
}

func (r *instanceReport) valid() bool {
	return r.Instance != "" && len(r.Instance) <= maxName && r.Sent >= 0 && r.Sent <= maxCount
}

// sides are the counters of the two sides of a delivery.
type sides struct{ New, Former counts }

func (s sides) sub(o sides) sides { return sides{s.New.sub(o.New), s.Former.sub(o.Former)} }

// runID identifies a run of an instance.
type runID struct {
	instance ident.Instance
	started  int64
}

// run is what is known of one run of an instance.
type run struct {
	id      runID
	sent    int64
	routes  map[string]sides
	changed time.Time
	told    int // reports that held it since it changed
}

// totals are the sums over all runs.
type totals struct {
	sent   int64
	routes map[string]sides
	all    sides
}

// run returns the run of an id and creates it if needed, or nil if too many are known.
func (d *delivery) run(id runID) *run {
	r, ok := d.runs[id]
	if !ok && len(d.runs) < maxInstances {
		r = &run{id: id, routes: make(map[string]sides)}
		d.runs[id] = r
	}
	return r
}

// setSent raises the attempts of a run.
func (d *delivery) setSent(r *run, sent int64, now time.Time) {
	if sent <= r.sent {
		return
	}
	d.known.sent += sent - r.sent
	r.sent = sent
	r.changed, r.told = now, 0
}

// admits reports whether a route is counted by its name. One place is kept for otherRoutes.
func (d *delivery) admits(route string) bool {
	_, known := d.known.routes[route]
	return known || route == otherRoutes || len(route) <= maxName && len(d.known.routes) < maxRoutes-1
}

// setRoute raises the counters of a route of a run.
func (d *delivery) setRoute(r *run, route string, s sides, now time.Time) {
	old, ok := r.routes[route]
	if !ok && !d.admits(route) {
		return
	}
	s = sides{old.New.max(s.New), old.Former.max(s.Former)}
	if s == old {
		return
	}
	r.routes[route] = s
	r.changed, r.told = now, 0
	delta := s.sub(old)
	sum := d.known.routes[route]
	d.known.routes[route] = sides{sum.New.add(delta.New), sum.Former.add(delta.Former)}
	d.known.all = sides{d.known.all.New.add(delta.New), d.known.all.Former.add(delta.Former)}
	d.changed = d.changed || delta.New.bad() > 0
}

// merge adds what another instance has told. Counters of self come back from others and are no news.
func (d *delivery) merge(list []instanceReport, self runID, now time.Time) {
	for _, told := range list[:min(len(list), maxTold+1)] {
		id := runID{told.Instance, told.Started}
		if !told.valid() || id == self {
			continue
		}
		r := d.run(id)
		if r == nil {
			continue
		}
		d.setSent(r, told.Sent, now)
		for _, t := range told.Routes[:min(len(told.Routes), maxRoutes)] {
			if t.New.valid() && t.Former.valid() {
				d.setRoute(r, t.Route, sides{t.New, t.Former}, now)
			}
		}
	}
	d.settleLatencies(now)
}

// report returns the counters of self and of some others: those that were told least since they changed, and of
// these the ones that changed last.
func (d *delivery) report() []instanceReport {
	others := make([]*run, 0, len(d.runs))
	for _, r := range d.runs {
		if r != d.own {
			others = append(others, r)
		}
	}
	slices.SortFunc(others, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.told, b.told), b.changed.Compare(a.changed),
			cmp.Compare(a.id.instance, b.id.instance), cmp.Compare(a.id.started, b.id.started))
	})
	var out []instanceReport
	for _, r := range append([]*run{d.own}, others[:min(len(others), maxTold)]...) {
		if r.sent == 0 && len(r.routes) == 0 {
			continue
		}
		r.told++
		t := instanceReport{Instance: r.id.instance, Started: r.id.started, Sent: r.sent}
		for name, s := range r.routes {
			t.Routes = append(t.Routes, routeReport{name, s.New, s.Former})
		}
		slices.SortFunc(t.Routes, func(a, b routeReport) int { return cmp.Compare(a.Route, b.Route) })
		out = append(out, t)
	}
	return out
}

// Constants of the comparison of latencies.
const (
	slowFactor  = 3                     // times the mean of the former side from which an answer is slow
	slowFloor   = 20 * time.Millisecond // above that mean; answers of fast services vary by this much on a busy instance
	meanAnswers = 10                    // answers of the former side that make a mean
	maxPending  = 64                    // latencies of a route that wait for that mean
)

// pending is a latency that waits for the mean of its route.
type pending struct {
	former  bool
	latency time.Duration
}

// observe adds an answer to the counters of this instance.
func (d *delivery) observe(route string, former, bad bool, latency time.Duration, now time.Time) {
	if !d.admits(route) {
		route = otherRoutes
	}
	latency = min(max(0, latency), maxLatency)
	s := d.own.routes[route]
	side := &s.New
	if former {
		side = &s.Former
	}
	side[answers]++
	switch {
	case bad:
		side[failed]++
	case former:
		side[latencySum] += latency.Microseconds()
	}
	d.setRoute(d.own, route, s, now)
	if !bad && len(d.pending[route]) < maxPending {
		d.pending[route] = append(d.pending[route], pending{former, latency})
	}
	d.settleLatencies(now)
}

// settleLatencies compares the latencies of this instance on the routes whose mean is known by now.
func (d *delivery) settleLatencies(now time.Time) {
	for route, list := range d.pending {
		mean, n := d.known.routes[route].Former.mean()
		if n < meanAnswers {
			continue
		}
		s := d.own.routes[route]
		for _, p := range list {
			switch {
			case p.latency <= max(slowFactor*mean, mean+slowFloor):
			case p.former:
				s.Former[slow]++
			default:
				s.New[slow]++
			}
		}
		delete(d.pending, route)
		d.setRoute(d.own, route, s, now)
	}
}

package canary

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"crocuslug/ident"
	"crocuslug/store"
)

// Constants of the simulated site.
const (
	tick        = 10 * time.Millisecond
	digestEvery = 250 * time.Millisecond
	transit     = 20 * time.Millisecond
	storeDelay  = 50 * time.Millisecond
	startTime   = 300 * time.Millisecond // from the start of an instance until it has read the store
	syncTime    = time.Second            // from a start or a cut until an instance is in sync or knows that it is not
	domains     = 4
	former      = ident.Build("v1")
)

// fault makes answers of a build bad from a time to a time.
type fault struct {
	service  ident.Service
	build    ident.Build
	route    string  // "" for all
	fraction float64 // of the answers
	factor   float64 // of the latency; 0 for a failure
	from, to time.Duration
	underAll bool // only while the new build gets more than half of the new work
}

// traffic is the load of one route.
type traffic struct {
	service ident.Service
	route   string
	rate    float64       // requests a second of all instances together
	latency time.Duration // mean to the first piece
	lasts   [2]time.Duration
}

// burst multiplies the load.
type burst struct {
	factor   float64
	from, to time.Duration
	slow     float64 // factor of the latency meanwhile, for all builds
}

// member is a simulated instance.
type member struct {
	id      ident.Instance
	domain  int
	tracker *Tracker
	started time.Time
	read    bool
}

// event is something that happens at a time.
type event struct {
	at time.Time
	do func()
}

// entry is one of the simulated store.
type entry struct {
	status  Status
	version store.Version
}

// tally counts what a build under delivery got.
type tally struct {
	requests, sent int // all of the service, and those to the build, from the order to the deadline
	bad            int
	fiftieth, last time.Time // time of the 50th bad answer, and of the last request to the build
}

// site simulates instances, upstreams and the store in virtual time.
type site struct {
	start, now  time.Time
	rnd         *rand.Rand
	members     []*member
	events      []event
	traffic     []traffic
	faults      []fault
	bursts      []burst
	cut         map[int][2]time.Duration // domains
	storeDown   [2]time.Duration
	orders      map[ident.Service]Order
	given       map[ident.Service]time.Time
	entries     map[ident.Service]entry
	version     store.Version
	former      map[ident.Service]int // requests in progress on the former build
	recent      map[ident.Service][2]float64
	tallies     map[ident.Service]*tally
	ended       map[ident.Service]time.Time
	final       map[ident.Service]State
	lastTraffic time.Duration
	maxReport   int
	refusals    int // writes whose condition failed
	stranded    int // requests in progress on the former build at Done
	quiet       bool
}

func newSite(n int, seed uint64) *site {
	start := time.Unix(1000, 0)
	s := &site{
		start: start, now: start, rnd: rand.New(rand.NewPCG(seed, 1)), cut: map[int][2]time.Duration{},
		orders: map[ident.Service]Order{}, given: map[ident.Service]time.Time{}, entries: map[ident.Service]entry{}, version: 100,
		former: map[ident.Service]int{}, recent: map[ident.Service][2]float64{}, tallies: map[ident.Service]*tally{},
		ended: map[ident.Service]time.Time{}, final: map[ident.Service]State{},
	}
	for i := range n {
		s.members = append(s.members, &member{id: ident.Instance(fmt.Sprintf("10.%d.0.%d:7000", i%domains, i/domains)), domain: i % domains})
	}
	for _, m := range s.members {
		s.begin(m, true)
	}
	return s
}

// begin starts an instance. One that settled knows its peers from long before.
func (s *site) begin(m *member, settled bool) {
	m.started, m.read = s.now, false
	if settled {
		m.started, m.read = s.now.Add(-time.Minute), true
	}
	tr := New(Settings{Share: 0.1, Slack: 50, RollbackWithin: 5 * time.Second}, m.id, m.started)
	m.tracker = tr
	ids := make([]ident.Instance, 0, len(s.members))
	for _, o := range s.members {
		ids = append(ids, o.id)
	}
	if settled {
		tr.SetInSync(true)
		tr.Report(s.now.Add(-30 * time.Second))
		tr.SetInstances(ids)
		return
	}
	s.after(startTime, func() {
		if m.tracker == tr && !s.isCut(m) && !s.storeAway() {
			s.readStore(m)
		}
	})
	s.after(syncTime, func() {
		if m.tracker == tr {
			tr.SetInstances(ids)
			tr.SetInSync(!s.isCut(m))
		}
	})
}

// readStore is the first scan of an instance.
func (s *site) readStore(m *member) {
	m.read = true
	for name, o := range s.orders {
		m.tracker.SetOrder(o, s.now)
		if e, ok := s.entries[name]; ok {
			m.tracker.SetStatus(e.status, s.now)
		}
	}
}

func (s *site) after(d time.Duration, do func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.events, at, func(e event, at time.Time) int { return at.Compare(e.at) })
	s.events = slices.Insert(s.events, i, event{at, do}) // the latest first
}

func (s *site) elapsed() time.Duration { return s.now.Sub(s.start) }

func within(t time.Duration, span [2]time.Duration) bool { return t >= span[0] && t < span[1] }

func (s *site) isCut(m *member) bool { return within(s.elapsed(), s.cut[m.domain]) }

func (s *site) storeAway() bool { return within(s.elapsed(), s.storeDown) }

// everybody does something at each instance that reaches the store.
func (s *site) everybody(do func(m *member)) {
	for _, m := range s.members {
		if m.read && !s.isCut(m) {
			do(m)
		}
	}
}

// order gives an order.
func (s *site) order(name ident.Service, to ident.Build, finish time.Duration) {
	s.version++
	o := Order{Service: name, To: to, FinishBy: finish, Version: s.version}
	s.orders[name], s.given[name] = o, s.now
	s.tallies[name] = &tally{}
	delete(s.final, name)
	s.after(storeDelay, func() { s.everybody(func(m *member) { m.tracker.SetOrder(o, s.now) }) })
}

func (s *site) withdraw(name ident.Service) {
	delete(s.orders, name)
	s.after(storeDelay, func() { s.everybody(func(m *member) { m.tracker.RemoveOrder(name, s.now) }) })
}

// write carries a status to the store if its condition holds, and tells the instances.
func (s *site) write(m *member, st Status) {
	if s.storeAway() || s.isCut(m) {
		return
	}
	s.after(storeDelay, func() {
		if s.storeAway() {
			return
		}
		if e := s.entries[st.Service]; e.version != st.Version {
			s.refusals++
			m.tracker.SetStatus(e.status, s.now)
			return
		}
		s.version++
		st.Version = s.version
		s.entries[st.Service] = entry{st, s.version}
		if st.State != Running {
			s.final[st.Service], s.ended[st.Service] = st.State, s.now
			if st.State == Done {
				s.stranded = s.former[st.Service]
			}
		}
		s.after(storeDelay, func() { s.everybody(func(m *member) { m.tracker.SetStatus(st, s.now) }) })
	})
}

// run plays the site until a time.
func (s *site) run(until time.Duration) {
	for s.elapsed() < until {
		s.now = s.now.Add(tick)
		for n := len(s.events); n > 0 && !s.events[n-1].at.After(s.now); n = len(s.events) {
			e := s.events[n-1]
			s.events = s.events[:n-1]
			e.do()
		}
		if s.lastTraffic == 0 || s.elapsed() < s.lastTraffic {
			s.arrivals()
		}
		for i, m := range s.members {
			if phase := time.Duration(i) * tick; (s.elapsed()-phase)%digestEvery == 0 {
				s.digest(m)
			}
		}
	}
}

// digest does what an instance does each 250 ms.
func (s *site) digest(m *member) {
	if span, ok := s.cut[m.domain]; ok {
		m.tracker.SetInSync(!within(s.elapsed(), [2]time.Duration{span[0] + syncTime, span[1] + syncTime}) && s.now.Sub(m.started) >= syncTime)
	}
	for _, st := range m.tracker.Writes(s.now, func(name ident.Service, _ ident.Build) int { return s.former[name] }) {
		s.write(m, st)
	}
	report := m.tracker.Report(s.now)
	if s.quiet || len(report) == 0 {
		return
	}
	if s.rnd.IntN(50) == 0 {
		b, err := json.Marshal(report)
		if err != nil {
			panic(err)
		}
		s.maxReport = max(s.maxReport, len(b))
	}
	for own := range 2 {
		for range 4 {
			to := s.members[s.rnd.IntN(len(s.members))]
			for (to.domain == m.domain) != (own == 0) || to == m {
				to = s.members[s.rnd.IntN(len(s.members))]
			}
			if own == 1 && (s.isCut(m) || s.isCut(to)) {
				continue
			}
			s.after(transit, func() { to.tracker.Merge(report, s.now) })
		}
	}
}

// arrivals lets the requests of one tick arrive.
func (s *site) arrivals() {
	for _, tr := range s.traffic {
		rate, slow := tr.rate, 1.0
		for _, b := range s.bursts {
			if within(s.elapsed(), [2]time.Duration{b.from, b.to}) {
				rate *= b.factor
				slow = max(slow, b.slow)
			}
		}
		for want := rate * tick.Seconds(); want > 0; want-- {
			if want >= 1 || s.rnd.Float64() < want {
				s.request(tr, s.members[s.rnd.IntN(len(s.members))], slow, 2)
			}
		}
	}
}

// request sends an attempt of new work, and another one if it fails.
func (s *site) request(tr traffic, m *member, slow float64, attempts int) {
	choice, to := m.tracker.Choose(tr.service, s.now)
	build := former
	if choice == NewBuild || choice == AnyBuild && s.final[tr.service] == Done {
		build = s.orders[tr.service].To
		if to != "" {
			build = to
		}
	}
	m.tracker.Sent(tr.service, build, s.now)
	s.count(tr.service, build)
	latency := time.Duration(float64(tr.latency) * slow * (0.4 + 0.6*s.rnd.ExpFloat64()))
	bad := false
	for _, f := range s.faults {
		if f.build != build || f.service != "" && f.service != tr.service || f.route != "" && f.route != tr.route || !within(s.elapsed(), [2]time.Duration{f.from, f.to}) ||
			f.underAll && s.recent[tr.service][1] < s.recent[tr.service][0]/2 || s.rnd.Float64() >= f.fraction {
			continue
		}
		if f.factor > 0 {
			latency = time.Duration(float64(latency) * f.factor)
		} else {
			bad = true
		}
	}
	lasts := tr.lasts[0] + time.Duration(s.rnd.Float64()*float64(tr.lasts[1]-tr.lasts[0]))
	if build == former {
		s.former[tr.service]++
		s.after(max(latency, lasts), func() { s.former[tr.service]-- })
	}
	s.after(latency, func() {
		m.tracker.Observe(tr.service, tr.route, build, bad, latency, s.now)
		t := s.tallies[tr.service]
		slowNow := latency > slowFactor*tr.latency
		if o, ok := s.orders[tr.service]; ok && build == o.To && (bad || slowNow && s.badBuild(tr.service, build)) && t != nil {
			t.bad++
			if t.bad == 50 {
				t.fiftieth = s.now
			}
		}
		if bad && attempts > 1 {
			s.request(tr, m, slow, attempts-1)
		}
	})
}

func (s *site) badBuild(name ident.Service, b ident.Build) bool {
	return slices.ContainsFunc(s.faults, func(f fault) bool { return f.build == b && (f.service == "" || f.service == name) })
}

// count counts an attempt.
func (s *site) count(name ident.Service, b ident.Build) {
	r := s.recent[name]
	const decay = 0.98
	r[0], r[1] = r[0]*decay+1, r[1]*decay
	o, ok := s.orders[name]
	if ok && b == o.To {
		r[1]++
	}
	s.recent[name] = r
	t := s.tallies[name]
	if t == nil || !ok || s.now.After(s.given[name].Add(o.FinishBy)) {
		return
	}
	t.requests++
	if b == o.To {
		t.sent++
		t.last = s.now
	}
}

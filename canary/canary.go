// Package canary decides how the traffic of a service is moved to a new software version (build) of its upstreams, and
// whether the build is kept or rolled back.
//
// An operator orders the move (a delivery). Each instance decides for itself, from its own attempts and from what
// instances tell each other of the answers. While the delivery is in its phase Canary, an instance sends at most a small
// share of its own attempts to the new build, so that the sum over all instances stays within that share, whoever is cut
// off, started again or badly informed. Then all new work goes to the new build, unless its answers are worse than
// those of the former builds. The move is done when nothing is in progress on the former builds, and at the latest a
// moment before the deadline. See docs/design/canary.md.
package canary

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"crocuslug/ident"
	"crocuslug/rendezvous"
	"crocuslug/store"
	"crocuslug/unit"
)

// Constants of a Tracker.
const (
	defaultRollbackWithin = 5 * time.Second
	defaultFinishBy       = 12 * time.Second
	// An instance that has lost touch returns to Canary after this part of Settings.RollbackWithin, since it may miss
	// a verdict. A shorter loss says little.
	lostPart     = 0.2
	heardTime    = 3 * time.Second  // for which an order that others tell of counts without being read here
	knownTime    = time.Minute      // for which an instance that left counts among those that may start with credit
	toldAfterEnd = 10 * time.Second // for which others are told of a verdict that the store has
	maxHeard     = 64               // services of which orders are known only from others
)

// Tracker holds the deliveries in progress. Its methods may be called from several goroutines.
type Tracker struct {
	cfg  Settings
	self runID

	started time.Time

	mu       sync.Mutex
	now      time.Time // latest time of a call
	services map[ident.Service]*service
	live     []ident.Instance
	known    map[ident.Instance]time.Time // instances that are or were live, and when last
	inSync   bool
	// Times since which the knowledge is current or not; zero if that has changed since the latest call with a time.
	syncSince, lostSince time.Time
}

// service is what is known of the orders of a service.
type service struct {
	delivery *delivery // of the newest order that was read; nil if there is none
	heard    *delivery // of a newer order of which only other instances have told; nil if there is none
	heardAt  time.Time
	status   Status
	refused  map[ident.Build]store.Version // builds that were rolled back, with the version of the order or the status
}

// New returns a Tracker of the instance self, which was started at the given time.
func New(cfg Settings, self ident.Instance, started time.Time) *Tracker {
	unit.SetDefault(&cfg.RollbackWithin, defaultRollbackWithin)
	return &Tracker{
		cfg: cfg, self: runID{self, started.UnixMilli()}, started: started,
		services: make(map[ident.Service]*service), known: map[ident.Instance]time.Time{self: started},
		live: []ident.Instance{self},
	}
}

func (t *Tracker) off() bool { return t.cfg.Share <= 0 }

// service returns the state of a service and creates it if needed. t.mu must be held.
func (t *Tracker) service(name ident.Service) *service {
	s, ok := t.services[name]
	if !ok {
		s = &service{refused: make(map[ident.Build]store.Version)}
		t.services[name] = s
	}
	return s
}

// key names the order among instances.
func (d *delivery) key() string {
	return fmt.Sprintf("%s/%s/%d", d.order.Service, d.order.To, d.order.Version)
}

// SetOrder records an order, which replaces an earlier one of the same service.
func (t *Tracker) SetOrder(o Order, now time.Time) {
	if t.off() || o.Service == "" || o.To == "" {
		return
	}
	if o.FinishBy <= 0 {
		o.FinishBy = defaultFinishBy
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	s := t.service(o.Service)
	if d := s.delivery; d != nil && o.Version <= d.order.Version {
		if d.is(o.To, o.Version) {
			d.older(o.Age, now)
		}
		return
	}
	d := newDelivery(o, t.self, now)
	if h := s.heard; h != nil && h.order.Version <= o.Version {
		if h.is(o.To, o.Version) {
			h.order, h.seen = o, now
			h.older(o.Age, now)
			d = h
		}
		s.heard = nil
	}
	s.delivery = d
	if s.refused[o.To] < o.Version {
		delete(s.refused, o.To)
	}
	s.applyStatus(now)
	if t.mayStartEarly(d, now) {
		d.early = 1
	}
}

// mayStartEarly reports whether this instance starts the delivery with one request of credit. It must have known its
// peers since before the order: one that has started again could have had that credit before, and one that knows few
// instances would take itself for one of those chosen. t.mu must be held.
func (t *Tracker) mayStartEarly(d *delivery, now time.Time) bool {
	if now.Sub(d.given) > earlyTime || d.given.Sub(t.started) < earlyKnown {
		return false
	}
	if !t.inSync || t.syncSince.IsZero() || now.Sub(t.syncSince) < earlyKnown {
		return false
	}
	known := make([]ident.Instance, 0, len(t.known))
	for id := range t.known {
		known = append(known, id)
	}
	rank := slices.Index(rendezvous.Order("early/"+d.key(), known), t.self.instance)
	return rank < t.cfg.earlyInstances()
}

// RemoveOrder records that an operator has withdrawn the order of a service.
func (t *Tracker) RemoveOrder(s ident.Service, now time.Time) {
	if t.off() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if st, ok := t.services[s]; ok && st.delivery != nil {
		st.delivery.withdrawn = true
	}
}

// SetStatus records the status entry of a service. A Status without a State means that there is none.
func (t *Tracker) SetStatus(st Status, now time.Time) {
	if t.off() || st.Service == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	s := t.service(st.Service)
	switch {
	case st.State == "":
		s.status = Status{}
	case st.Version >= s.status.Version:
		s.status = st
		s.applyStatus(now)
	}
}

// applyStatus ends what the status entry says is ended.
func (s *service) applyStatus(now time.Time) {
	st, d := s.status, s.delivery
	if st.State != Done && st.State != RolledBack {
		return
	}
	if d != nil && d.order.To == st.To {
		if st.Version <= d.order.Version {
			return // of an earlier order for the build
		}
		d.end(st.State, now)
		d.written = true
	}
	if st.State == RolledBack {
		s.refused[st.To] = st.Version
	} else {
		delete(s.refused, st.To)
	}
}

// SetInstances sets the live instances, with this one.
func (t *Tracker) SetInstances(live []ident.Instance) {
	if t.off() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.live = slices.Clone(live)
	for _, id := range live {
		t.known[id] = t.now
	}
	for id, at := range t.known {
		if t.now.Sub(at) > knownTime && id != t.self.instance {
			delete(t.known, id)
		}
	}
}

// SetInSync sets whether the knowledge of the store and of peers is current.
func (t *Tracker) SetInSync(inSync bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if inSync != t.inSync {
		t.inSync, t.syncSince, t.lostSince = inSync, time.Time{}, time.Time{}
	}
}

// Choose returns which upstreams the next attempt of new work may be sent to, and the new build.
func (t *Tracker) Choose(s ident.Service, now time.Time) (Choice, ident.Build) {
	if t.off() {
		return AnyBuild, ""
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	st, ok := t.services[s]
	if !ok {
		return AnyBuild, ""
	}
	if st.heard != nil {
		return FormerBuilds, st.heard.order.To
	}
	d := st.delivery
	if d == nil {
		return st.chooseWithoutOrder()
	}
	switch d.phase() {
	case finished:
		return AnyBuild, ""
	case rolledBack, withdrawn:
		return FormerBuilds, d.order.To
	}
	if d.choose(t.cfg, now) {
		return NewBuild, d.order.To
	}
	return FormerBuilds, d.order.To
}

// chooseWithoutOrder excludes a build whose order was withdrawn before this instance knew it.
func (s *service) chooseWithoutOrder() (Choice, ident.Build) {
	if s.status.State == Running {
		return FormerBuilds, s.status.To
	}
	var newest ident.Build
	for b, v := range s.refused {
		if newest == "" || v > s.refused[newest] {
			newest = b
		}
	}
	if newest == "" {
		return AnyBuild, ""
	}
	return FormerBuilds, newest
}

// Allowed reports whether an attempt that must stay at a build may be sent to it.
func (t *Tracker) Allowed(s ident.Service, b ident.Build, now time.Time) bool {
	if t.off() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	st, ok := t.services[s]
	if !ok {
		return true
	}
	_, refused := st.refused[b]
	return !refused
}

// Sent records that an attempt was sent to an upstream of a build.
func (t *Tracker) Sent(s ident.Service, b ident.Build, now time.Time) {
	if t.off() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if d := t.activeDelivery(s); d != nil {
		d.send(b == d.order.To, now)
	}
}

// activeDelivery returns the delivery in progress of a service, or nil. t.mu must be held.
func (t *Tracker) activeDelivery(s ident.Service) *delivery {
	if st, ok := t.services[s]; ok && st.delivery != nil && st.delivery.active() {
		return st.delivery
	}
	return nil
}

// Observe records an answer, with its latency to the first piece or to the answer.
func (t *Tracker) Observe(s ident.Service, route string, b ident.Build, bad bool, latency time.Duration, now time.Time) {
	if t.off() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if d := t.activeDelivery(s); d != nil {
		d.observe(route, b != d.order.To, bad, latency, now)
	}
	t.advance(now)
}

// Report returns what the other instances are told.
func (t *Tracker) Report(now time.Time) []Evidence {
	if t.off() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	var out []Evidence
	for name, s := range t.services {
		d := s.delivery
		if d == nil || d.withdrawn && d.verdict == "" || d.verdict == Done {
			continue
		}
		if d.verdict != "" && d.written && now.Sub(d.ended) > toldAfterEnd {
			continue
		}
		e := Evidence{
			Service: name, To: d.order.To, Version: d.order.Version, RolledBack: d.verdict == RolledBack,
			Age: unit.Duration(now.Sub(d.given).Truncate(time.Millisecond)),
		}
		if d.verdict == "" {
			e.Instances = d.report()
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Evidence) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// Merge adds what another instance has told.
func (t *Tracker) Merge(list []Evidence, now time.Time) {
	if t.off() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range list {
		if !e.valid() {
			continue
		}
		if d := t.deliveryOf(e, now); d != nil {
			t.mergeInto(d, e, now)
		}
	}
	t.advance(now)
}

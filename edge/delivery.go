package edge

import (
	"sync"
	"time"

	"crocuslug/canary"
	"crocuslug/dispatch"
	"crocuslug/ident"
	"crocuslug/store"
)

// deliveryDecisions are the methods of canary.Tracker that an instance uses. Tests replace them.
type deliveryDecisions struct {
	setOrder     func(o canary.Order, now time.Time)
	removeOrder  func(s ident.Service, now time.Time)
	setStatus    func(s canary.Status, now time.Time)
	setInstances func(live []ident.Instance)
	setInSync    func(inSync bool)
	choose       func(s ident.Service, now time.Time) (canary.Choice, ident.Build)
	allowed      func(s ident.Service, b ident.Build, now time.Time) bool
	sent         func(s ident.Service, b ident.Build, now time.Time)
	observe      func(s ident.Service, route string, b ident.Build, bad bool, latency time.Duration, now time.Time)
	report       func(now time.Time) []canary.Evidence
	merge        func(list []canary.Evidence, now time.Time)
	writes       func(now time.Time, formerInProgress func(s ident.Service, to ident.Build) int) []canary.Status
	views        func(now time.Time) []canary.View
}

func decisionsOf(t *canary.Tracker) deliveryDecisions {
	return deliveryDecisions{
		setOrder: t.SetOrder, removeOrder: t.RemoveOrder, setStatus: t.SetStatus, setInstances: t.SetInstances, setInSync: t.SetInSync,
		choose: t.Choose, allowed: t.Allowed, sent: t.Sent, observe: t.Observe,
		report: t.Report, merge: t.Merge, writes: t.Writes, views: t.Views,
	}
}

// deliveries is what an instance knows of the orders in the store and of their statuses.
type deliveries struct {
	deliveryDecisions
	on bool // settings and ports ask for deliveries

	mu      sync.Mutex // held while an entry is applied, so that the entries of a key are applied in order
	known   map[string]deliveryEntry
	ended   map[ident.Service]endedDelivery
	writing map[ident.Service]bool        // statuses that are being written
	failing map[ident.Service]bool        // the last write of a status failed, which was logged
	phases  map[ident.Service]canary.View // as logged last
}

// deliveryEntry is an order or a status as known, or that there is none.
type deliveryEntry struct {
	store.Entry
	given time.Time    // of an order
	order canary.Order // zero if there is none that can be decoded
}

// endedDelivery is a delivery whose former upstreams stop.
type endedDelivery struct {
	to     ident.Build
	former map[ident.Build]bool // other builds that had upstreams when the end became known and have some still
}

func (e *Edge) newDeliveries() *deliveries {
	cfg := e.cfg.Delivery
	tracker := canary.New(canary.Settings{Share: cfg.Share, Slack: cfg.Slack, RollbackWithin: cfg.RollbackWithin.Std()}, e.self, e.timer.Now())
	return &deliveries{
		deliveryDecisions: decisionsOf(tracker),
		on:                cfg.Share > 0 && e.ports.OrdersPrefix != "" && e.ports.StatusesPrefix != "",
		known:             make(map[string]deliveryEntry),
		ended:             make(map[ident.Service]endedDelivery),
		writing:           make(map[ident.Service]bool),
		failing:           make(map[ident.Service]bool),
		phases:            make(map[ident.Service]canary.View),
	}
}

// dispatchDelivery returns the functions by which requests honour deliveries.
func (e *Edge) dispatchDelivery() dispatch.Delivery {
	d := e.deliveries
	if !d.on {
		return dispatch.Delivery{}
	}
	return dispatch.Delivery{
		InProgress: e.ordered,
		Choose: func(s ident.Service, now time.Time) (canary.Choice, ident.Build) {
			return d.choose(s, now)
		},
		Ended: e.deliveryEnded,
		Allowed: func(s ident.Service, b ident.Build, now time.Time) bool {
			return d.allowed(s, b, now)
		},
		Sent: func(s ident.Service, b ident.Build, now time.Time) { d.sent(s, b, now) },
		Observe: func(s ident.Service, route string, b ident.Build, bad bool, latency time.Duration, now time.Time) {
			d.observe(s, route, b, bad, latency, now)
		},
	}
}

// ordered reports whether there is an order for a service.
func (e *Edge) ordered(s ident.Service) bool {
	d := e.deliveries
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known[e.ports.OrdersPrefix+string(s)].order.To != ""
}

// deliveryEnded returns the build that a service was moved to, while upstreams of its former builds are listed.
func (e *Edge) deliveryEnded(s ident.Service) (ident.Build, bool) {
	d := e.deliveries
	d.mu.Lock()
	defer d.mu.Unlock()
	ended, ok := d.ended[s]
	if order := d.known[e.ports.OrdersPrefix+string(s)].order; order.To != "" && order.To != ended.to {
		return "", false // a later order
	}
	return ended.to, ok && len(ended.former) > 0
}

// forgetFormerBuilds forgets the former builds of ended deliveries that have no upstream any more.
func (e *Edge) forgetFormerBuilds() {
	d := e.deliveries
	d.mu.Lock()
	defer d.mu.Unlock()
	for s, ended := range d.ended {
		builds := e.registeredBuilds(s)
		for b := range ended.former {
			if !builds[b] {
				delete(ended.former, b)
			}
		}
	}
}

// registeredBuilds returns the builds of the registered upstreams of a service.
func (e *Edge) registeredBuilds(s ident.Service) map[ident.Build]bool {
	out := make(map[ident.Build]bool)
	for _, u := range e.registry.All() {
		if u.Service == s {
			out[u.Build] = true
		}
	}
	return out
}

// tickDeliveries tells the tracker what changes with time, logs its phases and writes the statuses that are due.
func (e *Edge) tickDeliveries(now time.Time) {
	d := e.deliveries
	if !d.on {
		return
	}
	d.setInSync(e.inSync(now))
	e.logPhases(now)
	for _, s := range d.writes(now, e.formerInProgress) {
		e.startStatusWrite(s, now)
	}
}

// logPhases logs the deliveries whose phase has changed since the last call.
func (e *Edge) logPhases(now time.Time) {
	d := e.deliveries
	for _, v := range d.views(now) {
		d.mu.Lock()
		before := d.phases[v.Service]
		d.phases[v.Service] = v
		d.mu.Unlock()
		if before.Phase == v.Phase && before.To == v.To {
			continue
		}
		e.log.Info().Str("Service", string(v.Service)).Str("Build", string(v.To)).Str("Phase", v.Phase).Str("Before", before.Phase).Float64("Share", v.Share).
			Int("New", v.New).Int("Former", v.Former).Int("Bad", v.Bad).Bool("InSync", e.inSync(now)).Msg("phase of delivery changed")
	}
}

// formerInProgress returns the number of requests in progress at upstreams of other builds of a service, of this
// instance and its peers.
func (e *Edge) formerInProgress(s ident.Service, to ident.Build) int {
	former := make(map[ident.Upstream]bool)
	for _, u := range e.registry.All() {
		if u.Service == s && u.Build != to {
			former[u.ID] = true
		}
	}
	sum := 0
	for id, n := range e.fleet.InFlight() {
		if former[id] {
			sum += n.Requests
		}
	}
	now := e.timer.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		if now.Sub(p.lastDigest) > peerExpiry {
			continue
		}
		for id, n := range p.inFlight {
			if former[id] {
				sum += n.Requests
			}
		}
	}
	return sum
}

// writeDeliveryMetrics writes the metrics of deliveries.
func (e *Edge) writeDeliveryMetrics(line func(name string, v any), now time.Time) {
	if !e.deliveries.on {
		return
	}
	for _, v := range e.deliveries.views(now) {
		prefix := "Delivery." + string(v.Service) + "."
		line(prefix+"Share", v.Share)
		line(prefix+"New", v.New)
		line(prefix+"Former", v.Former)
		line(prefix+"Bad", v.Bad)
		line(prefix+"Phase", v.Phase)
	}
}

package daemon

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"crocuslug/ident"
	"crocuslug/membership"
	"crocuslug/owner"
	"crocuslug/prefix"
	"crocuslug/rendezvous"
	"crocuslug/result"
	"crocuslug/routing"
)

// Methods by which failure domains run generations for each other.
const (
	methodCapacity = "Spill.Room"
	methodReserve  = "Spill.Reserve"
	methodRelease  = "Spill.Release"
)

// capacityInterval is the interval at which an instance reports its free slots to one other
// failure domain, in rotation. Several instances of a failure domain may report to the same
// instance, so its figures are more recent than the rotation of one sender suggests.
const capacityInterval = time.Second

// capacityMaxAge is the age up to which a reported capacity counts.
const capacityMaxAge = 3 * time.Second

// reservationCheckInterval is how often expired reservations are looked for.
const reservationCheckInterval = time.Second

// reservationLifetime is how long an engine stays reserved for a generation that does not start
// on it.
const reservationLifetime = 5 * time.Second

// spilledInLifetime is how long this instance counts a generation of another failure domain.
// After that the engine's own load reports include it.
const spilledInLifetime = 30 * time.Second

// reserveTimeout limits the call that reserves an engine in another failure domain.
const reserveTimeout = 500 * time.Millisecond

// capacityMessage reports how many generations of other failure domains could start in Domain.
type capacityMessage struct {
	Domain ident.Domain
	Free   int
}

// reserveRequest asks for an engine for a generation. Visited lists the failure domains that
// the generation was passed through, so that it is never passed on in a circle.
type reserveRequest struct {
	Generation   ident.Generation
	Request      ident.Request
	Model        routing.Model
	Blocks       []prefix.Block
	PromptTokens int
	Resumed      bool
	Visited      []ident.Domain
}

// reserveResponse answers a reserveRequest. Upstream is empty if no engine is free.
type reserveResponse struct {
	Upstream ident.Upstream
}

// releaseRequest releases the engine that was reserved for a generation.
type releaseRequest struct {
	Generation ident.Generation
}

// remoteCapacities holds the latest capacity report of each other failure domain.
type remoteCapacities struct {
	mu       sync.Mutex
	byDomain map[ident.Domain]capacityReport
}

type capacityReport struct {
	instance ident.Instance
	free     int
	at       time.Time
}

// handleSpill registers the handlers for calls of other failure domains.
func (d *Daemon) handleSpill() {
	d.remoteCapacity.byDomain = make(map[ident.Domain]capacityReport)
	d.link.Handle(methodCapacity, func(_ context.Context, from ident.Instance, params json.RawMessage) (any, error) {
		var r capacityMessage
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, result.New(result.Malformed, err.Error())
		}
		d.receiveCapacity(from, r)
		return nil, nil
	})
	d.link.Handle(methodReserve, func(_ context.Context, from ident.Instance, params json.RawMessage) (any, error) {
		var r reserveRequest
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, result.New(result.Malformed, err.Error())
		}
		return reserveResponse{d.reserveForDomain(r)}, nil
	})
	d.link.Handle(methodRelease, func(_ context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
		var r releaseRequest
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, result.New(result.Malformed, err.Error())
		}
		if g, ok := d.spilledIn.take(r.Generation); ok {
			now := d.opt.Timer.Now()
			d.engineChooser.Done(g.upstream, now)
			d.generationQueue.Grant(now)
		}
		return nil, nil
	})
}

func (d *Daemon) receiveCapacity(from ident.Instance, r capacityMessage) {
	now := d.opt.Timer.Now()
	d.remoteCapacity.mu.Lock()
	d.remoteCapacity.byDomain[r.Domain] = capacityReport{from, r.Free, now}
	d.remoteCapacity.mu.Unlock()
	d.engineChooser.ReportCapacity(routing.DomainCapacity{Domain: r.Domain, Free: r.Free, At: now})
	if r.Free > 0 {
		d.generationQueue.Grant(now)
	}
}

// capacityElsewhere reports whether another failure domain reported free slots recently.
func (d *Daemon) capacityElsewhere(now time.Time) bool {
	d.remoteCapacity.mu.Lock()
	defer d.remoteCapacity.mu.Unlock()
	for _, n := range d.remoteCapacity.byDomain {
		if n.free > 0 && now.Sub(n.at) < capacityMaxAge {
			return true
		}
	}
	return false
}

// capacityReporter returns the instance that last reported the capacity of domain.
func (d *Daemon) capacityReporter(domain ident.Domain) (ident.Instance, bool) {
	d.remoteCapacity.mu.Lock()
	defer d.remoteCapacity.mu.Unlock()
	n, ok := d.remoteCapacity.byDomain[domain]
	return n.instance, ok
}

// noteNoCapacity records that a failure domain has no free slots, until it reports free slots
// again.
func (d *Daemon) noteNoCapacity(domain ident.Domain) {
	now := d.opt.Timer.Now()
	d.remoteCapacity.mu.Lock()
	n := d.remoteCapacity.byDomain[domain]
	n.free = 0
	d.remoteCapacity.byDomain[domain] = n
	d.remoteCapacity.mu.Unlock()
	d.engineChooser.ReportCapacity(routing.DomainCapacity{Domain: domain, At: now})
}

// slotsForOthers returns the free slots that this instance offers to other failure domains: its
// equal part of its failure domain's free slots. It offers none while it is leaving, while
// generations wait here, and while admission is paused.
func (d *Daemon) slotsForOthers(now time.Time) int {
	if n, _ := d.generationQueue.Admission.Len(); n > 0 || d.leaving.Load() || now.UnixNano() < d.admissionPausedUntil.Load() {
		return 0
	}
	return int(d.slotsForAll(now)) / max(1, len(d.live()))
}

// reportCapacity sends the free slots offered here to one instance of another failure domain.
// The failure domains take turns.
func (d *Daemon) reportCapacity(now time.Time) {
	domains := make(map[ident.Domain][]ident.Instance)
	for _, m := range d.members.View().Members {
		if m.Domain != d.cfg.Domain && m.State == membership.Live {
			domains[m.Domain] = append(domains[m.Domain], m.Instance)
		}
	}
	if len(domains) == 0 {
		return
	}
	d.capacityTurn++
	names := slices.Sorted(maps.Keys(domains))
	ids := domains[names[d.capacityTurn%len(names)]]
	to := rendezvous.Order(string(d.id), ids)[0]
	r := capacityMessage{d.cfg.Domain, d.slotsForOthers(now)}
	d.tasks.Go(func() {
		// A lost report is followed by the next one.
		_ = d.link.Notify(d.ctx, to, methodCapacity, r)
	})
}

// reserveForDomain reserves an engine for a generation of another failure domain. It does not
// wait and does not pass the request on. It returns "" if no engine is free.
func (d *Daemon) reserveForDomain(r reserveRequest) ident.Upstream {
	now := d.opt.Timer.Now()
	if d.slotsForOthers(now) <= 0 {
		return ""
	}
	dec := d.engineChooser.Choose(routing.Request{
		ID:           r.Request,
		Model:        r.Model,
		Blocks:       r.Blocks,
		PromptTokens: r.PromptTokens,
		Resumed:      r.Resumed,
		Visited:      r.Visited,
	}, now)
	if dec.Kind != routing.Send {
		return ""
	}
	if old, ok := d.spilledIn.take(r.Generation); ok {
		d.engineChooser.Done(old.upstream, now)
	}
	d.spilledIn.put(r.Generation, reservation{upstream: dec.Upstream, at: now})
	d.metrics.count("SpilledIn", 1)
	return dec.Upstream
}

// spillTo reserves an engine for w in another failure domain and reports whether it succeeded.
func (d *Daemon) spillTo(ctx context.Context, w *pendingGeneration, domain ident.Domain) bool {
	return d.reserveInDomain(ctx, domain, reserveRequest{
		Generation:   w.spec.Generation,
		Request:      w.spec.Request,
		Model:        modelOf(w.spec),
		Blocks:       w.blocks,
		PromptTokens: w.promptTokens,
	})
}

// reserveInDomain has an instance of domain reserve an engine, and reports whether it did.
func (d *Daemon) reserveInDomain(ctx context.Context, domain ident.Domain, r reserveRequest) bool {
	r.Visited = []ident.Domain{d.cfg.Domain}
	to, ok := d.capacityReporter(domain)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var out reserveResponse
	err := d.link.Call(ctx, to, methodReserve, r, &out)
	if err != nil {
		// The call may have reserved an engine even so, which is then released.
		d.releaseRemote(r.Generation, reservation{instance: to})
	}
	if err != nil || out.Upstream == "" {
		d.noteNoCapacity(domain)
		return false
	}
	if _, ok := d.upstreamAddress(out.Upstream); !ok {
		d.releaseRemote(r.Generation, reservation{instance: to})
		d.noteNoCapacity(domain)
		return false
	}
	d.reservedEngines.put(r.Generation, reservation{upstream: out.Upstream, instance: to, at: d.opt.Timer.Now()})
	d.metrics.count("SpilledOut", 1)
	return true
}

// reserveForResume reserves an engine in another failure domain for an interrupted generation.
// It does not wait: the generation asks for an engine again soon and then uses the reserved one.
func (d *Daemon) reserveForResume(q owner.EngineQuery, domain ident.Domain) {
	r := reserveRequest{
		Generation:   q.Spec.Generation,
		Request:      q.Spec.Request,
		Model:        modelOf(q.Spec),
		PromptTokens: promptTokens(q.Spec) + q.ExistingTokens,
		Resumed:      true,
	}
	d.tasks.Go(func() { d.reserveInDomain(d.ctx, domain, r) })
}

// releaseRemote releases an engine of another failure domain. It does not block.
func (d *Daemon) releaseRemote(id ident.Generation, r reservation) {
	d.tasks.Go(func() {
		// If the message is lost, the reservation expires at the receiver.
		_ = d.link.Notify(d.ctx, r.instance, methodRelease, releaseRequest{id})
	})
}

// releaseReservation releases a reserved engine that was not used.
func (d *Daemon) releaseReservation(id ident.Generation, r reservation) {
	if r.instance != "" {
		d.releaseRemote(id, r)
		return
	}
	d.engineChooser.Done(r.upstream, d.opt.Timer.Now())
}

// expireReservations releases expired reservations.
func (d *Daemon) expireReservations(now time.Time) {
	for id, r := range d.reservedEngines.expire(now, reservationLifetime) {
		d.releaseReservation(id, r)
	}
	for _, r := range d.spilledIn.expire(now, spilledInLifetime) {
		d.engineChooser.Done(r.upstream, now)
	}
}

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

// Methods between failure domains.
const (
	methodRoom    = "Spill.Room"
	methodReserve = "Spill.Reserve"
	methodRelease = "Spill.Release"
)

// roomTick is the interval of telling one other failure domain of free slots, of
// which each takes its turn. An instance hears from all instances of another
// failure domain that chose it, so the news is fresher than the turns are.
const roomTick = time.Second

// roomFresh is the age up to which what another failure domain told counts.
const roomFresh = 3 * time.Second

// reservationTick is the interval of looking for reservations left over.
const reservationTick = time.Second

// reservationLimit is how long an engine is kept for a generation that does not take it.
const reservationLimit = 5 * time.Second

// guestLimit is how long this instance counts a generation of another failure
// domain. After that the engine's own load reports show it.
const guestLimit = 30 * time.Second

// reserveLimit bounds the call that reserves an engine in another failure domain.
const reserveLimit = 500 * time.Millisecond

// room tells how many generations of another failure domain could start.
type room struct {
	Domain ident.Domain
	Free   int
}

// reserve asks for an engine for a generation. The failure domains that were
// visited go along, so that it is never passed on in a circle.
type reserve struct {
	Generation   ident.Generation
	Request      ident.Request
	Model        routing.Model
	Blocks       []prefix.Block
	PromptTokens int
	Resumed      bool
	Visited      []ident.Domain
}

// reserved answers a reserve. Upstream is empty if there is no room.
type reserved struct {
	Upstream ident.Upstream
}

// release gives an engine back.
type release struct {
	Generation ident.Generation
}

// neighbours are the instances that tell the room of other failure domains.
type neighbours struct {
	mu    sync.Mutex
	rooms map[ident.Domain]neighbour
}

type neighbour struct {
	instance ident.Instance
	free     int
	at       time.Time
}

// handleSpill takes the calls of other failure domains.
func (d *Daemon) handleSpill() {
	d.neighbours.rooms = make(map[ident.Domain]neighbour)
	d.link.Handle(methodRoom, func(_ context.Context, from ident.Instance, params json.RawMessage) (any, error) {
		var r room
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, result.New(result.Malformed, err.Error())
		}
		d.takeRoom(from, r)
		return nil, nil
	})
	d.link.Handle(methodReserve, func(_ context.Context, from ident.Instance, params json.RawMessage) (any, error) {
		var r reserve
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, result.New(result.Malformed, err.Error())
		}
		return reserved{d.takeGuest(r)}, nil
	})
	d.link.Handle(methodRelease, func(_ context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
		var r release
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, result.New(result.Malformed, err.Error())
		}
		if g, ok := d.guests.take(r.Generation); ok {
			now := d.opt.Timer.Now()
			d.chooser.Done(g.upstream, now)
			d.line.Grant(now)
		}
		return nil, nil
	})
}

func (d *Daemon) takeRoom(from ident.Instance, r room) {
	now := d.opt.Timer.Now()
	d.neighbours.mu.Lock()
	d.neighbours.rooms[r.Domain] = neighbour{from, r.Free, now}
	d.neighbours.mu.Unlock()
	d.chooser.ReportCapacity(routing.DomainCapacity{Domain: r.Domain, Free: r.Free, At: now})
	if r.Free > 0 {
		d.line.Grant(now)
	}
}

// roomElsewhere reports whether another failure domain told of free slots.
func (d *Daemon) roomElsewhere(now time.Time) bool {
	d.neighbours.mu.Lock()
	defer d.neighbours.mu.Unlock()
	for _, n := range d.neighbours.rooms {
		if n.free > 0 && now.Sub(n.at) < roomFresh {
			return true
		}
	}
	return false
}

func (d *Daemon) neighbour(domain ident.Domain) (ident.Instance, bool) {
	d.neighbours.mu.Lock()
	defer d.neighbours.mu.Unlock()
	n, ok := d.neighbours.rooms[domain]
	return n.instance, ok
}

// noRoom notes that a failure domain had none, until it tells of room again.
func (d *Daemon) noRoom(domain ident.Domain) {
	now := d.opt.Timer.Now()
	d.neighbours.mu.Lock()
	n := d.neighbours.rooms[domain]
	n.free = 0
	d.neighbours.rooms[domain] = n
	d.neighbours.mu.Unlock()
	d.chooser.ReportCapacity(routing.DomainCapacity{Domain: domain, At: now})
}

// spare returns the free slots that this instance offers to other failure
// domains: its part of those that nobody here waits for.
func (d *Daemon) spare(now time.Time) int {
	if n, _ := d.line.Admission.Len(); n > 0 || d.leaving.Load() || now.UnixNano() < d.heldBack.Load() {
		return 0
	}
	return int(d.unreserved(now)) / max(1, len(d.live()))
}

// tellRoom tells one instance of each other failure domain of the room here.
func (d *Daemon) tellRoom(now time.Time) {
	domains := make(map[ident.Domain][]ident.Instance)
	for _, m := range d.members.View().Members {
		if m.Domain != d.cfg.Domain && m.State == membership.Live {
			domains[m.Domain] = append(domains[m.Domain], m.Instance)
		}
	}
	if len(domains) == 0 {
		return
	}
	d.roomTurn++
	names := slices.Sorted(maps.Keys(domains))
	ids := domains[names[d.roomTurn%len(names)]]
	to := rendezvous.Order(string(d.id), ids)[0]
	r := room{d.cfg.Domain, d.spare(now)}
	d.tasks.Go(func() {
		// A report that is lost is followed by the next one.
		_ = d.link.Notify(d.ctx, to, methodRoom, r)
	})
}

// takeGuest reserves an engine for a generation of another failure domain. It
// does not wait and passes nothing on.
func (d *Daemon) takeGuest(r reserve) ident.Upstream {
	now := d.opt.Timer.Now()
	if d.spare(now) <= 0 {
		return ""
	}
	dec := d.chooser.Choose(routing.Request{
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
	if old, ok := d.guests.take(r.Generation); ok {
		d.chooser.Done(old.upstream, now)
	}
	d.guests.put(r.Generation, reservation{upstream: dec.Upstream, at: now})
	d.metrics.count("SpilledIn", 1)
	return dec.Upstream
}

// spillTo reserves an engine for w in another failure domain.
func (d *Daemon) spillTo(ctx context.Context, w *work, domain ident.Domain) bool {
	return d.reserveAt(ctx, domain, reserve{
		Generation:   w.spec.Generation,
		Request:      w.spec.Request,
		Model:        modelOf(w.spec),
		Blocks:       w.blocks,
		PromptTokens: w.prompt,
	})
}

func (d *Daemon) reserveAt(ctx context.Context, domain ident.Domain, r reserve) bool {
	r.Visited = []ident.Domain{d.cfg.Domain}
	to, ok := d.neighbour(domain)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reserveLimit)
	defer cancel()
	var out reserved
	err := d.link.Call(ctx, to, methodReserve, r, &out)
	if err != nil {
		// The call may have arrived, so what it reserved is given back.
		d.releaseAway(r.Generation, reservation{instance: to})
	}
	if err != nil || out.Upstream == "" {
		d.noRoom(domain)
		return false
	}
	if _, ok := d.upstreamAddress(out.Upstream); !ok {
		d.releaseAway(r.Generation, reservation{instance: to})
		d.noRoom(domain)
		return false
	}
	d.reserved.put(r.Generation, reservation{upstream: out.Upstream, instance: to, at: d.opt.Timer.Now()})
	d.metrics.count("SpilledOut", 1)
	return true
}

// rescueFrom reserves an engine in another failure domain for a lost answer,
// which asks again soon.
func (d *Daemon) rescueFrom(q owner.EngineQuery, domain ident.Domain) {
	r := reserve{
		Generation:   q.Spec.Generation,
		Request:      q.Spec.Request,
		Model:        modelOf(q.Spec),
		PromptTokens: promptTokens(q.Spec) + q.ExistingTokens,
		Resumed:      true,
	}
	d.tasks.Go(func() { d.reserveAt(d.ctx, domain, r) })
}

// releaseAway gives an engine of another failure domain back. It does not block.
func (d *Daemon) releaseAway(id ident.Generation, r reservation) {
	d.tasks.Go(func() {
		// If it does not arrive, the time limit there ends the reservation.
		_ = d.link.Notify(d.ctx, r.instance, methodRelease, release{id})
	})
}

// unreserve gives back an engine that was not taken.
func (d *Daemon) unreserve(id ident.Generation, r reservation) {
	if r.instance != "" {
		d.releaseAway(id, r)
		return
	}
	d.chooser.Done(r.upstream, d.opt.Timer.Now())
}

// expireReservations ends what is left over.
func (d *Daemon) expireReservations(now time.Time) {
	for id, r := range d.reserved.expire(now, reservationLimit) {
		d.unreserve(id, r)
	}
	for _, r := range d.guests.expire(now, guestLimit) {
		d.chooser.Done(r.upstream, now)
	}
}

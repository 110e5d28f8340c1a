package daemon

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"crocuslug/admission"
	"crocuslug/affinity"
	"crocuslug/estimate"
	"crocuslug/generation"
	"crocuslug/ident"
	"crocuslug/line"
	"crocuslug/owner"
	"crocuslug/result"
	"crocuslug/retry"
	"crocuslug/routing"
	"crocuslug/throttle"
)

// buildLoad wires the choice of upstreams and admission.
func (d *Daemon) buildLoad() {
	d.metrics = newMeters()
	rng := newLockedRand(d.seed)
	d.chooser = routing.New(d.opt.Routing, d.cfg.Domain, rng.Uint64, affinity.New(affinity.Settings{}))
	d.plain = routing.New(routing.Settings{}, d.cfg.Domain, rng.Uint64, affinity.New(affinity.Settings{}))
	d.estimator = estimate.New(d.opt.Estimate)
	d.buildQuota()
	d.throttle = throttle.New(throttle.Settings{}, d.shares.Rate, rng.Uint64)
	d.retries = retry.New(retry.Settings{RetryRatio: d.cfg.Load.RetryShare}, rng.Uint64)
	d.reserved = newReservations()
	d.away = newReservations()
	d.guests = newReservations()
	queue := d.opt.Admission
	queue.Seed = d.seed
	if queue.MaxItems == 0 {
		queue.MaxItems = d.cfg.Load.QueueLength
	}
	d.line = line.New(queue, d.limits)
	d.line.Capacity, d.line.TryPlace = d.free, d.place
	d.services = line.New(admission.Settings{Seed: d.seed, MaxItems: d.cfg.Load.QueueLength}, d.limits)
	d.services.Capacity, d.services.TryPlace = d.plainFree, d.plainPlace
	d.buildHealth()
	d.buildPolls(rng)
}

// startLoad begins what goes on beside requests.
func (d *Daemon) startLoad() {
	d.every(expireTick, d.line.Expire)
	d.every(expireTick, d.services.Expire)
	d.every(healthTick, d.checkHealth)
	d.every(signalTick, func(time.Time) { d.readNotices(d.members.View()) })
	if d.opt.Naive {
		return
	}
	d.every(pollTick, d.poll)
	d.every(quotaTick, d.exchangeShares)
	d.every(roomTick, d.tellRoom)
	d.every(reservationTick, d.expireReservations)
}

// busyRetry is when to come back after a refusal without a better estimate.
const busyRetry = time.Second

func noUpstream(model string) *result.Error {
	return result.Newf(result.NoUpstream, "no engine in reach has model %q at hand", model).After(busyRetry)
}

// holdBack is how long new work waits after a lost answer found no engine.
const holdBack = 300 * time.Millisecond

// chooseEngine picks an engine for a generation: the reserved one when it
// starts, and any that is left when its stream was lost. It is called with the
// generation locked and does not block.
func (d *Daemon) chooseEngine(q owner.EngineQuery) (ident.Upstream, *result.Error) {
	id := q.Spec.Generation
	if d.opt.Naive {
		return d.nextEngine(q)
	}
	if r, ok := d.reserved.take(id); ok {
		if !slices.Contains(q.Exclude, r.upstream) {
			return d.start(id, q.Spec, r), nil
		}
		d.unreserve(id, r)
	}
	now := d.opt.Timer.Now()
	s, err := d.screen(q.Spec, q.Exclude)
	if err != nil {
		return "", err
	}
	dec := d.rescue(q, slices.Concat(q.Exclude, s.avoid), s.only, now)
	if dec.Kind == routing.NoUpstream && len(s.avoid) > 0 && !s.strict {
		dec = d.rescue(q, q.Exclude, "", now)
	}
	if dec.Kind == routing.NoUpstream && len(q.Exclude) > 0 && !s.strict {
		dec = d.rescue(q, nil, "", now)
	}
	switch dec.Kind {
	case routing.Send:
		return d.start(id, q.Spec, reservation{upstream: dec.Upstream}), nil
	case routing.SpillTo:
		d.rescueFrom(q, dec.Domain)
	}
	d.heldBack.Store(now.Add(holdBack).UnixNano())
	return "", noUpstream(q.Spec.Model)
}

// start notes that a generation runs on the engine that was found.
func (d *Daemon) start(id ident.Generation, spec generation.Spec, r reservation) ident.Upstream {
	if r.instance != "" {
		d.away.put(id, r)
	}
	d.placed(r.upstream, spec.Fingerprint)
	return r.upstream
}

// rescue chooses an engine for an answer that was admitted already.
func (d *Daemon) rescue(q owner.EngineQuery, exclude []ident.Upstream, only ident.Upstream, now time.Time) routing.Decision {
	return d.chooser.Choose(routing.Request{
		ID:           q.Spec.Request,
		Model:        modelOf(q.Spec),
		PromptTokens: promptTokens(q.Spec) + q.ExistingTokens,
		Exclude:      exclude,
		Only:         only,
		Resumed:      true,
	}, now)
}

// bytesPerToken estimates the tokens of a prompt from its bytes.
const bytesPerToken = 4

func promptTokens(spec generation.Spec) int {
	return len(spec.Body) / bytesPerToken
}

// releaseEngine ends what chooseEngine counted. It must not block.
func (d *Daemon) releaseEngine(u ident.Upstream, spec generation.Spec, cause generation.LossCause) {
	d.suspects.RequestRemoved(u, spec.Fingerprint)
	now := d.opt.Timer.Now()
	if r, ok := d.away.take(spec.Generation); ok {
		d.releaseAway(spec.Generation, r)
	} else if cause == 0 || cause == generation.EngineFull {
		d.chooser.Done(u, now)
	} else {
		d.chooser.Failed(u, now)
	}
	d.observeCause(u, cause)
	if cause == generation.EngineDraining {
		d.loop.Post(func() { d.signalled(u) })
	}
}

func (d *Daemon) progress(_ ident.Upstream, _ generation.Spec, tokens int, first time.Duration) {
	d.metrics.tokens.Inc(int64(tokens))
	if first > 0 {
		d.metrics.first.Update(first.Microseconds())
	}
}

// opened takes in the load that an engine told when it answered, which does not
// count a stream that was started by that call. It reports whether the engine is
// full while another is not.
func (d *Daemon) opened(u ident.Upstream, load string, started bool) bool {
	if d.opt.Naive {
		return false
	}
	running, waiting, slots, ok := parseLoad(load)
	if !ok {
		return false
	}
	full := started && running >= slots
	if started {
		running++
	}
	now := d.opt.Timer.Now()
	d.chooser.ReportLoad(routing.Report{Upstream: u, At: now, Running: running, Waiting: waiting, Slots: slots})
	return full && d.chooser.FreeSlots(now) > 0
}

// parseLoad reads running/waiting/slots.
func parseLoad(load string) (running, waiting, slots int, ok bool) {
	parts := strings.Split(load, "/")
	const fields = 3
	if len(parts) != fields {
		return 0, 0, 0, false
	}
	var n [fields]int
	for i, p := range parts {
		v, err := strconv.Atoi(p)
		if err != nil {
			return 0, 0, 0, false
		}
		n[i] = v
	}
	return n[0], n[1], n[2], true
}

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

// buildLoad wires the choice of upstreams, admission, rate limits, health and polls.
func (d *Daemon) buildLoad() {
	d.metrics = newMeters()
	rng := newLockedRand(d.seed)
	d.engineChooser = routing.New(d.opt.Routing, d.cfg.Domain, rng.Uint64, affinity.New(affinity.Settings{}))
	d.serviceChooser = routing.New(routing.Settings{}, d.cfg.Domain, rng.Uint64, affinity.New(affinity.Settings{}))
	d.estimator = estimate.New(d.opt.Estimate)
	d.buildQuota()
	d.throttle = throttle.New(throttle.Settings{}, d.shares.Rate, rng.Uint64)
	d.retries = retry.New(retry.Settings{RetryRatio: d.cfg.Load.RetryShare}, rng.Uint64)
	d.reservedEngines = newReservations()
	d.spilledOut = newReservations()
	d.spilledIn = newReservations()
	queue := d.opt.Admission
	queue.Seed = d.seed
	if queue.MaxItems == 0 {
		queue.MaxItems = d.cfg.Load.QueueLength
	}
	d.generationQueue = line.New(queue, d.limits)
	d.generationQueue.Capacity, d.generationQueue.TryPlace = d.generationCapacity, d.placeGeneration
	d.serviceQueue = line.New(admission.Settings{Seed: d.seed, MaxItems: d.cfg.Load.QueueLength}, d.limits)
	d.serviceQueue.Capacity, d.serviceQueue.TryPlace = d.serviceCapacity, d.placeServiceCall
	d.buildHealth()
	d.buildPolls(rng)
}

// startLoad starts the periodic tasks for load and health.
func (d *Daemon) startLoad() {
	d.every(queueExpireInterval, d.generationQueue.Expire)
	d.every(queueExpireInterval, d.serviceQueue.Expire)
	d.every(healthInterval, d.checkHealth)
	d.every(signalCheckInterval, func(time.Time) { d.applyLeavingNotices(d.members.View()) })
	if d.opt.RoundRobin {
		return
	}
	d.every(pollCheckInterval, d.poll)
	d.every(quotaInterval, d.exchangeShares)
	d.every(capacityInterval, d.reportCapacity)
	d.every(reservationCheckInterval, d.expireReservations)
}

// busyRetry is the time to retry given with refusals for which there is no better estimate.
const busyRetry = time.Second

func noUpstream(model string) *result.Error {
	return result.Newf(result.NoUpstream, "no available engine serves model %q", model).After(busyRetry)
}

// admissionPause is how long no new generation is admitted after an interrupted one found no
// engine.
const admissionPause = 300 * time.Millisecond

// chooseEngine chooses an engine for a generation: the reserved one when it starts, and any
// available one when it resumes after its stream was lost. It is called with the generation
// locked and does not block.
func (d *Daemon) chooseEngine(q owner.EngineQuery) (ident.Upstream, *result.Error) {
	id := q.Spec.Generation
	if d.opt.RoundRobin {
		return d.nextRoundRobin(q)
	}
	if r, ok := d.reservedEngines.take(id); ok {
		if !slices.Contains(q.Exclude, r.upstream) {
			return d.startOn(id, q.Spec, r), nil
		}
		d.releaseReservation(id, r)
	}
	now := d.opt.Timer.Now()
	s, err := d.constrainEngines(q.Spec, q.Exclude)
	if err != nil {
		return "", err
	}
	dec := d.chooseForResume(q, slices.Concat(q.Exclude, s.avoid), s.only, now)
	if dec.Kind == routing.NoUpstream && len(s.avoid) > 0 && !s.strict {
		dec = d.chooseForResume(q, q.Exclude, "", now)
	}
	if dec.Kind == routing.NoUpstream && len(q.Exclude) > 0 && !s.strict {
		dec = d.chooseForResume(q, nil, "", now)
	}
	switch dec.Kind {
	case routing.Send:
		return d.startOn(id, q.Spec, reservation{upstream: dec.Upstream}), nil
	case routing.SpillTo:
		d.reserveForResume(q, dec.Domain)
	}
	d.admissionPausedUntil.Store(now.Add(admissionPause).UnixNano())
	return "", noUpstream(q.Spec.Model)
}

// startOn records that a generation runs on the engine of r and returns that engine.
func (d *Daemon) startOn(id ident.Generation, spec generation.Spec, r reservation) ident.Upstream {
	if r.instance != "" {
		d.spilledOut.put(id, r)
	}
	d.generationPlaced(r.upstream, spec.Fingerprint)
	return r.upstream
}

// chooseForResume chooses an engine for a generation that was admitted already and lost its
// stream.
func (d *Daemon) chooseForResume(q owner.EngineQuery, exclude []ident.Upstream, only ident.Upstream, now time.Time) routing.Decision {
	return d.engineChooser.Choose(routing.Request{
		ID:           q.Spec.Request,
		Model:        modelOf(q.Spec),
		PromptTokens: promptTokens(q.Spec) + q.ExistingTokens,
		Exclude:      exclude,
		Only:         only,
		Resumed:      true,
	}, now)
}

// bytesPerToken is the assumed number of prompt bytes per token.
const bytesPerToken = 4

func promptTokens(spec generation.Spec) int {
	return len(spec.Body) / bytesPerToken
}

// releaseEngine reverses the accounting of chooseEngine when a stream ends. Cause is 0 if
// nothing failed. It must not block.
func (d *Daemon) releaseEngine(u ident.Upstream, spec generation.Spec, cause generation.LossCause) {
	d.suspects.RequestRemoved(u, spec.Fingerprint)
	now := d.opt.Timer.Now()
	if r, ok := d.spilledOut.take(spec.Generation); ok {
		d.releaseRemote(spec.Generation, r)
	} else {
		d.countRelease(u, cause, now)
	}
	d.observeStreamEnd(u, cause)
	if cause == generation.EngineDraining {
		d.loop.Post(func() { d.announceSignal(u) })
	}
}

// countRelease tells the chooser that a request at engine u ended. A pause of the engine ends
// many of them, and counts as one failure.
func (d *Daemon) countRelease(u ident.Upstream, cause generation.LossCause, now time.Time) {
	switch cause {
	case 0, generation.EngineFull:
		d.engineChooser.Done(u, now)
	case generation.TokenTimeout, generation.ResponseTimeout:
		d.engineChooser.Done(u, now)
		d.engineChooser.Suspect(u, now)
	default:
		d.engineChooser.Failed(u, now)
	}
}

// tokensReceived counts tokens and records the time to the first token if first is not 0.
func (d *Daemon) tokensReceived(_ ident.Upstream, _ generation.Spec, tokens int, first time.Duration) {
	d.metrics.tokens.Inc(int64(tokens))
	if first > 0 {
		d.metrics.firstTokenLatency.Update(first.Microseconds())
	}
}

// streamOpened records the load that an engine reported in its response. If that call started
// the stream, the report does not include it yet. It returns whether the engine is full while
// another has a free slot.
func (d *Daemon) streamOpened(u ident.Upstream, load string, started bool) bool {
	if d.opt.RoundRobin {
		return false
	}
	running, waiting, slots, ok := parseLoad(load)
	if !ok {
		return false
	}
	noFreeSlot := started && running >= slots
	report := routing.Report{Upstream: u, At: d.opt.Timer.Now(), Running: running, Waiting: waiting, Slots: slots}
	if started {
		report.Running++
	}
	err := d.engineChooser.ReportLoad(report)
	d.noteReport(u, err)
	if err != nil {
		return false
	}
	return noFreeSlot && d.engineChooser.FreeSlots(report.At) > 0
}

// parseLoad parses a load of the form running/waiting/slots.
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

package daemon

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"crocuslug/generation"
	"crocuslug/ident"
	"crocuslug/rendezvous"
	"crocuslug/result"
	"crocuslug/suspect"
)

// methodReserveTrial asks an instance to reserve an engine for the trial of a suspect. For a
// given engine all instances ask the same one.
const methodReserveTrial = "Suspects.SetApart"

// Limits of reserving an engine for a trial.
const (
	// trialRequestTimeout limits all requests for one trial together.
	trialRequestTimeout = 500 * time.Millisecond
	// trialStartTimeout is how long an engine stays reserved for a suspect that has not started.
	trialStartTimeout = 5 * time.Second
	// trialReportDelay is the time between reservation and start, in which the other
	// instances learn of the trial.
	trialReportDelay = 60 * time.Millisecond
)

// trials holds the engines that are reserved for suspects of this instance.
type trials struct {
	mu            sync.Mutex
	byFingerprint map[uint64]*trial
	tried         map[uint64][]ident.Upstream // engines reserved for a content before, the latest last
}

type trial struct {
	upstream   ident.Upstream // "" while an engine is requested
	startAfter time.Time      // earliest start of the suspect
	until      time.Time
	started    bool
}

func newTrials() *trials {
	return &trials{byFingerprint: make(map[uint64]*trial), tried: make(map[uint64][]ident.Upstream)}
}

// engine returns the engine on which the suspect fp may start now, and true. If the trial of fp
// is over, because its time has passed or its engine is in exclude, engine ends it and returns
// its engine and false. Otherwise it returns "" and false.
func (t *trials) engine(now time.Time, fp uint64, exclude []ident.Upstream) (ident.Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, ok := t.byFingerprint[fp]
	if !ok || current.upstream == "" || now.Before(current.startAfter) {
		return "", false
	}
	if !now.Before(current.until) || slices.Contains(exclude, current.upstream) {
		delete(t.byFingerprint, fp)
		return current.upstream, false
	}
	return current.upstream, true
}

// beginRequest records that an engine is requested for fp. It returns false if an engine is
// already requested or reserved.
func (t *trials) beginRequest(now time.Time, fp uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current, ok := t.byFingerprint[fp]; ok && now.Before(current.until) {
		return false
	}
	t.byFingerprint[fp] = &trial{until: now.Add(trialRequestTimeout)}
	return true
}

// reserve records that engine u is reserved for fp until a time. The suspect may start after
// trialReportDelay.
func (t *trials) reserve(now time.Time, fp uint64, u ident.Upstream, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byFingerprint[fp] = &trial{upstream: u, startAfter: now.Add(trialReportDelay), until: until}
	earlier := slices.DeleteFunc(t.tried[fp], func(v ident.Upstream) bool { return v == u })
	t.tried[fp] = append(earlier, u)
}

// leastRecentlyTried returns engines in order of their last trial with fp, those without one
// first. An engine that is down is thus not requested again before all others.
func (t *trials) leastRecentlyTried(fp uint64, engines []ident.Upstream) []ident.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ident.Upstream
	for _, u := range engines {
		if !slices.Contains(t.tried[fp], u) {
			out = append(out, u)
		}
	}
	for _, u := range t.tried[fp] {
		if slices.Contains(engines, u) {
			out = append(out, u)
		}
	}
	return out
}

// forgetUnless drops the tried engines of contents that are no longer suspected.
func (t *trials) forgetUnless(suspected func(fp uint64) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.tried, func(fp uint64, _ []ident.Upstream) bool { return !suspected(fp) })
}

// start records that fp starts to run on u and reports whether that starts its trial.
func (t *trials) start(fp uint64, u ident.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, ok := t.byFingerprint[fp]
	if !ok || current.upstream != u || current.started {
		return false
	}
	current.started = true
	return true
}

func (t *trials) end(fp uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byFingerprint, fp)
}

// requestTrial reserves an engine for the trial of a suspect, in the background.
func (d *Daemon) requestTrial(now time.Time, spec generation.Spec, exclude []ident.Upstream) {
	fp := spec.Fingerprint
	if !d.trials.beginRequest(now, fp) {
		return
	}
	candidates := d.trialEngines(spec, slices.Concat(exclude, d.suspects.ExcludedEngines(now, fp)))
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, trialRequestTimeout)
		defer cancel()
		for _, u := range candidates {
			until := d.opt.Timer.Now().Add(trialStartTimeout + d.suspects.TrialLength(fp))
			candidate := suspect.Trial{Upstream: u, Fingerprint: fp, Until: until}
			if !d.reserveTrialEngine(ctx, candidate) {
				continue
			}
			d.suspects.BeginTrial(candidate)
			d.trials.reserve(d.opt.Timer.Now(), fp, u, until)
			return
		}
		d.trials.end(fp)
	}()
}

// trialEngines returns the engines of the failure domain on which a suspect could run,
// healthy ones first. The order differs between generations.
func (d *Daemon) trialEngines(spec generation.Spec, exclude []ident.Upstream) []ident.Upstream {
	var names []ident.Instance
	for _, u := range d.doc.Load().Upstreams {
		if u.Domain == d.cfg.Domain && !u.Leaving && slices.Contains(u.Models, spec.Model) && !slices.Contains(exclude, u.Name) {
			names = append(names, ident.Instance(u.Name))
		}
	}
	now := d.opt.Timer.Now()
	var healthy, others []ident.Upstream
	for _, n := range rendezvous.Order(string(spec.Generation), names) {
		if u := ident.Upstream(n); d.engineChooser.Healthy(u, now) {
			healthy = append(healthy, u)
		} else {
			others = append(others, u)
		}
	}
	return append(d.trials.leastRecentlyTried(spec.Fingerprint, healthy), d.trials.leastRecentlyTried(spec.Fingerprint, others)...)
}

// reserveTrialEngine asks the instance responsible for an engine to reserve it, and reports
// whether it did.
func (d *Daemon) reserveTrialEngine(ctx context.Context, t suspect.Trial) bool {
	responsible := d.id
	if order := rendezvous.Order("trial/"+string(t.Upstream), d.live()); len(order) > 0 {
		responsible = order[0]
	}
	if responsible == d.id {
		return d.suspects.Reserve(d.opt.Timer.Now(), t.Upstream, t.Fingerprint, t.Until)
	}
	var ok bool
	err := d.link.Call(ctx, responsible, methodReserveTrial, t, &ok)
	return err == nil && ok
}

// handleReserveTrial answers methodReserveTrial.
func (d *Daemon) handleReserveTrial(_ context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
	var t suspect.Trial
	if err := json.Unmarshal(params, &t); err != nil {
		return nil, result.New(result.Malformed, err.Error())
	}
	return d.suspects.Reserve(d.opt.Timer.Now(), t.Upstream, t.Fingerprint, t.Until), nil
}

// generationPlaced records that a generation runs on an engine. If this starts a trial, the
// trial ends after its length.
func (d *Daemon) generationPlaced(u ident.Upstream, fp uint64) {
	now := d.opt.Timer.Now()
	d.suspects.RequestPlaced(now, u, fp)
	if !d.trials.start(fp, u) {
		return
	}
	d.opt.Timer.After(d.suspects.TrialLength(fp), func(time.Time) { d.endTrial(u, fp) })
}

func (d *Daemon) endTrial(u ident.Upstream, fp uint64) {
	d.trials.end(fp)
	d.suspects.EndTrial(u, fp)
}

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

// methodSetApart asks an instance to set an engine apart for a suspect. For each
// engine it is the same instance that all others ask.
const methodSetApart = "Suspects.SetApart"

// Bounds of setting an engine apart.
const (
	trialAsk  = 500 * time.Millisecond // for all questions
	trialWait = 5 * time.Second        // for which an engine is kept for a suspect that has not begun
	trialTell = 60 * time.Millisecond  // for the others to hear of it before it begins
)

// trials are the engines that are set apart for suspects of this instance.
type trials struct {
	mu        sync.Mutex
	byContent map[uint64]*trial
	tried     map[uint64][]ident.Upstream // engines that a content had, the last one last
}

type trial struct {
	upstream ident.Upstream // "" while instances are asked
	from     time.Time      // when it may begin
	until    time.Time
	begun    bool
}

func newTrials() *trials {
	return &trials{byContent: make(map[uint64]*trial), tried: make(map[uint64][]ident.Upstream)}
}

// engine returns the engine that is set apart for fp. With false it returns the
// one whose trial is over because of exclude or the time, or "".
func (t *trials) engine(now time.Time, fp uint64, exclude []ident.Upstream) (ident.Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	one, ok := t.byContent[fp]
	if !ok || one.upstream == "" || now.Before(one.from) {
		return "", false
	}
	if !now.Before(one.until) || slices.Contains(exclude, one.upstream) {
		delete(t.byContent, fp)
		return one.upstream, false
	}
	return one.upstream, true
}

// asking notes that instances are asked for fp, unless they are already.
func (t *trials) asking(now time.Time, fp uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if one, ok := t.byContent[fp]; ok && now.Before(one.until) {
		return false
	}
	t.byContent[fp] = &trial{until: now.Add(trialAsk)}
	return true
}

func (t *trials) granted(now time.Time, fp uint64, u ident.Upstream, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byContent[fp] = &trial{upstream: u, from: now.Add(trialTell), until: until}
	had := slices.DeleteFunc(t.tried[fp], func(v ident.Upstream) bool { return v == u })
	t.tried[fp] = append(had, u)
}

// inTurn returns engines in an order in which those that fp had come last, the
// latest at the end. An engine that is down is thus not asked for again before
// all others.
func (t *trials) inTurn(fp uint64, engines []ident.Upstream) []ident.Upstream {
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

// forget drops what is known of contents that are no suspects any more.
func (t *trials) forget(suspected func(fp uint64) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.tried, func(fp uint64, _ []ident.Upstream) bool { return !suspected(fp) })
}

// begin notes that fp begins to run on u and reports whether that is its trial.
func (t *trials) begin(fp uint64, u ident.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	one, ok := t.byContent[fp]
	if !ok || one.upstream != u || one.begun {
		return false
	}
	one.begun = true
	return true
}

func (t *trials) end(fp uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byContent, fp)
}

// askTrial has an engine set apart for a suspect, in the background.
func (d *Daemon) askTrial(now time.Time, spec generation.Spec, exclude []ident.Upstream) {
	fp := spec.Fingerprint
	if !d.trials.asking(now, fp) {
		return
	}
	candidates := d.trialEngines(spec, slices.Concat(exclude, d.suspects.ExcludedEngines(now, fp)))
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, trialAsk)
		defer cancel()
		for _, u := range candidates {
			until := d.opt.Timer.Now().Add(trialWait + d.suspects.TrialLength(fp))
			one := suspect.Trial{Upstream: u, Fingerprint: fp, Until: until}
			if !d.setApart(ctx, one) {
				continue
			}
			d.suspects.BeginTrial(one)
			d.trials.granted(d.opt.Timer.Now(), fp, u, until)
			return
		}
		d.trials.end(fp)
	}()
}

// trialEngines returns the engines of the failure domain that a suspect could
// have, in an order of its own.
func (d *Daemon) trialEngines(spec generation.Spec, exclude []ident.Upstream) []ident.Upstream {
	var names []ident.Instance
	for _, u := range d.doc.Load().Upstreams {
		if u.Domain == d.cfg.Domain && !u.Leaving && slices.Contains(u.Models, spec.Model) && !slices.Contains(exclude, u.Name) {
			names = append(names, ident.Instance(u.Name))
		}
	}
	now := d.opt.Timer.Now()
	var sound, doubtful []ident.Upstream
	for _, n := range rendezvous.Order(string(spec.Generation), names) {
		if u := ident.Upstream(n); d.chooser.Healthy(u, now) {
			sound = append(sound, u)
		} else {
			doubtful = append(doubtful, u)
		}
	}
	return append(d.trials.inTurn(spec.Fingerprint, sound), d.trials.inTurn(spec.Fingerprint, doubtful)...)
}

// setApart asks the instance that decides about an engine.
func (d *Daemon) setApart(ctx context.Context, t suspect.Trial) bool {
	keeper := d.id
	if order := rendezvous.Order("trial/"+string(t.Upstream), d.live()); len(order) > 0 {
		keeper = order[0]
	}
	if keeper == d.id {
		return d.suspects.Reserve(d.opt.Timer.Now(), t.Upstream, t.Fingerprint, t.Until)
	}
	var ok bool
	err := d.link.Call(ctx, keeper, methodSetApart, t, &ok)
	return err == nil && ok
}

// answerSetApart answers methodSetApart.
func (d *Daemon) answerSetApart(_ context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
	var t suspect.Trial
	if err := json.Unmarshal(params, &t); err != nil {
		return nil, result.New(result.Malformed, err.Error())
	}
	return d.suspects.Reserve(d.opt.Timer.Now(), t.Upstream, t.Fingerprint, t.Until), nil
}

// placed notes that a generation runs on an engine, and ends a trial that it
// begins when its time is over.
func (d *Daemon) placed(u ident.Upstream, fp uint64) {
	now := d.opt.Timer.Now()
	d.suspects.RequestPlaced(now, u, fp)
	if !d.trials.begin(fp, u) {
		return
	}
	d.opt.Timer.After(d.suspects.TrialLength(fp), func(time.Time) { d.endTrial(u, fp) })
}

func (d *Daemon) endTrial(u ident.Upstream, fp uint64) {
	d.trials.end(fp)
	d.suspects.EndTrial(u, fp)
}

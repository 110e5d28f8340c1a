package daemon

import (
	"context"
	"slices"
	"time"

	"crocuslug/affinity"
	"crocuslug/generation"
	"crocuslug/ident"
	"crocuslug/owner"
	"crocuslug/result"
	"crocuslug/routing"
)

// buildLoad wires the choice of upstreams and admission.
func (d *Daemon) buildLoad() {
	d.metrics = newMeters()
	rng := newLockedRand(d.seed)
	d.chooser = routing.New(d.opt.Routing, d.cfg.Domain, rng.Uint64, affinity.New(affinity.Settings{}))
}

// busyRetry is when to come back after a refusal without a better estimate.
const busyRetry = time.Second

// chooseEngine picks an engine for a generation.
func (d *Daemon) chooseEngine(q owner.EngineQuery) (ident.Upstream, *result.Error) {
	avoid, alone, err := d.screen(q)
	if err != nil {
		return "", err
	}
	dec := d.choose(q, slices.Concat(q.Exclude, avoid))
	if dec.Kind != routing.Send && len(avoid) > 0 && !alone {
		dec = d.choose(q, q.Exclude)
	}
	switch dec.Kind {
	case routing.Send:
		d.suspects.Placed(dec.Upstream, q.Spec.Fingerprint)
		return dec.Upstream, nil
	case routing.NoUpstream:
		return "", result.Newf(result.NoUpstream, "no engine in reach has model %q at hand", q.Spec.Model).After(busyRetry)
	}
	return "", result.New(result.Overloaded, "all engines are full").After(busyRetry)
}

func (d *Daemon) choose(q owner.EngineQuery, exclude []ident.Upstream) routing.Decision {
	return d.chooser.Choose(routing.Request{
		ID:           q.Spec.Request,
		Model:        routing.Model{Name: q.Spec.Model, Version: q.Spec.Version, Adapter: q.Spec.Adapter},
		PromptTokens: promptTokens(q.Spec) + q.Held,
		Exclude:      exclude,
		Resumed:      q.Resumed,
	}, d.opt.Timer.Now())
}

// bytesPerToken estimates the tokens of a prompt from its bytes.
const bytesPerToken = 4

func promptTokens(spec generation.Spec) int {
	return len(spec.Body) / bytesPerToken
}

func (d *Daemon) releaseEngine(u ident.Upstream, spec generation.Spec, cause generation.Cause) {
	d.suspects.Left(u, spec.Fingerprint)
	now := d.opt.Timer.Now()
	if cause == 0 {
		d.chooser.Done(u, now)
		return
	}
	d.chooser.Failed(u, now)
}

func (d *Daemon) progress(_ ident.Upstream, _ generation.Spec, tokens int, first time.Duration) {
	d.metrics.tokens.Inc(int64(tokens))
	if first > 0 {
		d.metrics.first.Update(first.Microseconds())
	}
}

// admit lets a generation start.
func (d *Daemon) admit(context.Context, generation.Spec) (func(tokens int), *result.Error) {
	return nil, nil
}

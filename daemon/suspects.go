package daemon

import (
	"context"
	"encoding/json"
	"time"

	"crocuslug/generation"
	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/suspect"
)

// methodSuspects carries a suspect.Report to another instance.
const methodSuspects = "Suspects.Report"

// suspectInterval is the interval in which reports go to the other instances.
const suspectInterval = 20 * time.Millisecond

// buildSuspects wires the finding of requests that make engines fail.
func (d *Daemon) buildSuspects() {
	d.suspects = suspect.New(d.opt.Suspect)
	d.link.Handle(methodSuspects, func(_ context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
		var r suspect.Report
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, result.New(result.Malformed, err.Error())
		}
		d.suspects.Merge(d.opt.Timer.Now(), r)
		return nil, nil
	})
}

// blame counts the death of an engine against what ran there.
func (d *Daemon) blame(u ident.Upstream, spec generation.Spec) {
	d.suspects.Died(d.opt.Timer.Now(), u, spec.Fingerprint)
	d.log.Warn().Str("Upstream", string(u)).Str("Request", string(spec.Request)).
		Str("Generation", string(spec.Generation)).
		Str("Workspace", string(spec.Workspace)).Msg("engine lost")
}

// tellSuspects sends what is new to the other live instances.
func (d *Daemon) tellSuspects(time.Time) {
	r, ok := d.suspects.Take()
	if !ok {
		return
	}
	for _, id := range d.everyone() {
		go func() {
			// A peer that is out of reach hears of later deaths; its own count.
			_ = d.link.Notify(d.ctx, id, methodSuspects, r)
		}()
	}
}

// screen returns the engines that a generation must not run on, or refuses it.
func (d *Daemon) screen(spec generation.Spec) (avoid []ident.Upstream, alone bool, err *result.Error) {
	now := d.opt.Timer.Now()
	t, until := d.suspects.Treat(now, spec.Fingerprint)
	switch t {
	case suspect.Refuse:
		return nil, false, result.New(result.RequestCrashes, "engines failed whenever they ran this content").
			Ran(result.RunUnknown).After(until.Sub(now))
	case suspect.Alone, suspect.Apart:
		return d.suspects.Avoid(spec.Fingerprint), t == suspect.Alone, nil
	}
	return nil, false, nil
}

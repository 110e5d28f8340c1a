package daemon

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"crocuslug/generation"
	"crocuslug/ident"
	"crocuslug/membership"
	"crocuslug/result"
	"crocuslug/suspect"
)

// methodSuspects carries a suspect.Report to another instance.
const methodSuspects = "Suspects.Report"

// suspectReportInterval is the interval between reports to the other instances.
const suspectReportInterval = 20 * time.Millisecond

// buildSuspects wires the detection of requests that make engines fail.
func (d *Daemon) buildSuspects() {
	d.suspects = suspect.New(d.opt.Suspect)
	d.trials = newTrials()
	d.link.Handle(methodReserveTrial, d.handleReserveTrial)
	d.link.Handle(methodSuspects, func(_ context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
		var r suspect.Report
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, result.New(result.Malformed, err.Error())
		}
		d.suspects.Merge(d.opt.Timer.Now(), r)
		return nil, nil
	})
}

// engineLost records the failure of an engine for the content that ran there.
func (d *Daemon) engineLost(u ident.Upstream, spec generation.Spec) {
	d.suspects.EngineFailed(d.opt.Timer.Now(), u, spec.Fingerprint)
	d.log.Warn().Str("Upstream", string(u)).Str("Request", string(spec.Request)).
		Str("Generation", string(spec.Generation)).
		Str("Workspace", string(spec.Workspace)).Msg("engine lost")
}

// reportSuspects sends new reports to the live instances of the failure domain, and new bans to
// all instances as notices of the membership.
func (d *Daemon) reportSuspects(time.Time) {
	for _, v := range d.suspects.TakeNewBans() {
		d.members.Announce(membership.Notice{
			Key:     refusedPrefix + strconv.FormatUint(v.Fingerprint, hexadecimal),
			Version: uint64(v.Until.UnixNano()),
		})
	}
	r, ok := d.suspects.TakeReport()
	if !ok {
		return
	}
	for _, id := range d.live() {
		if id == d.id {
			continue
		}
		d.tasks.Go(func() {
			// An unreachable peer misses this report. It receives later ones, and it also
			// counts the engine failures that it sees itself.
			_ = d.link.Notify(d.ctx, id, methodSuspects, r)
		})
	}
}

// refusedPrefix is the prefix of the keys of notices about refused contents. The fingerprint
// follows it, and the version of the notice is the end of the ban in Unix nanoseconds.
const refusedPrefix = "refused/"

// hexadecimal is the base of fingerprints in notices.
const hexadecimal = 16

// applyBans passes the refused contents to the tracker of suspects. It runs on the control
// goroutine of members.
func (d *Daemon) applyBans(v *membership.View) {
	for _, n := range v.Notices {
		text, ok := strings.CutPrefix(n.Key, refusedPrefix)
		if !ok {
			continue
		}
		if fp, err := strconv.ParseUint(text, hexadecimal, 64); err == nil {
			d.suspects.AddBan(suspect.Ban{Fingerprint: fp, Until: time.Unix(0, int64(n.Version))})
		}
	}
}

// engineConstraint limits the engines on which a generation may run.
type engineConstraint struct {
	avoid  []ident.Upstream
	strict bool           // engines in avoid are not used even if there is no other
	only   ident.Upstream // the only engine that may be used, or "" if there is no such limit
}

// constrainEngines returns the constraint for a generation, or refuses the generation. For a
// content that has to run alone, an engine is reserved in the background. Until then an
// interrupted generation waits and a new one is refused with a time to retry.
func (d *Daemon) constrainEngines(spec generation.Spec, exclude []ident.Upstream) (engineConstraint, *result.Error) {
	now := d.opt.Timer.Now()
	fp := spec.Fingerprint
	t, until := d.suspects.Restriction(now, fp)
	switch t {
	case suspect.Banned:
		return engineConstraint{}, result.New(result.RequestCrashes, "engines failed whenever they ran this content").
			Ran(result.RunUnknown).After(until.Sub(now))
	case suspect.Separated:
		return engineConstraint{avoid: d.suspects.ExcludedEngines(now, fp)}, nil
	case suspect.Isolated:
		u, ok := d.trials.engine(now, fp, exclude)
		if !ok {
			if u != "" {
				d.suspects.EndTrial(u, fp)
			}
			d.requestTrial(now, spec, exclude)
			return engineConstraint{}, result.New(result.Overloaded, "the request has to run alone on an engine, and none is reserved for it yet").After(busyRetry)
		}
		return engineConstraint{avoid: d.suspects.ExcludedEngines(now, fp), strict: true, only: u}, nil
	}
	return engineConstraint{avoid: d.suspects.ExcludedEngines(now, fp)}, nil
}

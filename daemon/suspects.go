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

// suspectInterval is the interval in which reports go to the other instances.
const suspectInterval = 20 * time.Millisecond

// buildSuspects wires the finding of requests that make engines fail.
func (d *Daemon) buildSuspects() {
	d.suspects = suspect.New(d.opt.Suspect)
	d.trials = newTrials()
	d.link.Handle(methodSetApart, d.answerSetApart)
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
	d.suspects.EngineFailed(d.opt.Timer.Now(), u, spec.Fingerprint)
	d.log.Warn().Str("Upstream", string(u)).Str("Request", string(spec.Request)).
		Str("Generation", string(spec.Generation)).
		Str("Workspace", string(spec.Workspace)).Msg("engine lost")
}

// tellSuspects sends what is new to the live instances of the failure domain,
// and verdicts to all by the notices of the membership.
func (d *Daemon) tellSuspects(time.Time) {
	for _, v := range d.suspects.TakeNewBans() {
		d.members.Announce(membership.Notice{
			Key:     refusedKey + strconv.FormatUint(v.Fingerprint, hexadecimal),
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
			// A peer that is out of reach hears of later deaths; its own count.
			_ = d.link.Notify(d.ctx, id, methodSuspects, r)
		})
	}
}

// refusedKey begins the keys of the notices of contents that are refused; the
// fingerprint follows, and the version is the end of the verdict.
const refusedKey = "refused/"

// hexadecimal is the base of fingerprints in notices.
const hexadecimal = 16

// readVerdicts takes in which contents are refused. It runs on the control
// goroutine of members.
func (d *Daemon) readVerdicts(v *membership.View) {
	for _, n := range v.Notices {
		text, ok := strings.CutPrefix(n.Key, refusedKey)
		if !ok {
			continue
		}
		if fp, err := strconv.ParseUint(text, hexadecimal, 64); err == nil {
			d.suspects.AddBan(suspect.Ban{Fingerprint: fp, Until: time.Unix(0, int64(n.Version))})
		}
	}
}

// screening says on which engines a generation may run.
type screening struct {
	avoid  []ident.Upstream
	strict bool           // the engines to avoid must not be taken even if no other is left
	only   ident.Upstream // the one engine that it may run on, or ""
}

// screen returns where a generation may run, or refuses it. A content that has
// to run alone gets an engine set apart in the background; until it has one the
// generation waits if it is under way, and is told to come back if it is new.
func (d *Daemon) screen(spec generation.Spec, exclude []ident.Upstream) (screening, *result.Error) {
	now := d.opt.Timer.Now()
	fp := spec.Fingerprint
	t, until := d.suspects.Restriction(now, fp)
	switch t {
	case suspect.Banned:
		return screening{}, result.New(result.RequestCrashes, "engines failed whenever they ran this content").
			Ran(result.RunUnknown).After(until.Sub(now))
	case suspect.Separated:
		return screening{avoid: d.suspects.ExcludedEngines(now, fp)}, nil
	case suspect.Isolated:
		u, ok := d.trials.engine(now, fp, exclude)
		if !ok {
			if u != "" {
				d.suspects.EndTrial(u, fp)
			}
			d.askTrial(now, spec, exclude)
			return screening{}, result.New(result.Overloaded, "the request has to run alone and no engine is set apart yet").After(busyRetry)
		}
		return screening{avoid: d.suspects.ExcludedEngines(now, fp), strict: true, only: u}, nil
	}
	return screening{avoid: d.suspects.ExcludedEngines(now, fp)}, nil
}

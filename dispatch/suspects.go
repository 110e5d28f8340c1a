package dispatch

import (
	"context"
	"time"

	"crocuslug/directory"
	"crocuslug/fleet"
	"crocuslug/result"
	"crocuslug/suspect"
)

// Limits of the detection of contents that make engines fail.
const (
	maxCrashes      = 3                      // engines that one request may crash
	crashCheckDelay = 250 * time.Millisecond // by then the loss of a whole failure domain is recognized
	minRunTime      = 100 * time.Millisecond // an engine that crashes on a request has run it for at least this long
)

// checkContent refuses a request whose content is known to make engines fail, or that has
// crashed as many engines as one request may.
func (d *Dispatcher) checkContent(a *attempts, now time.Time) *result.Error {
	if t, until := d.suspects.Restriction(now, a.w.Fingerprint); t == suspect.Banned {
		e := d.refuse(a, result.RequestCrashes, "engines crash with this content")
		if a.runs == 0 {
			e = e.After(until.Sub(now))
		}
		return e
	}
	if a.crashes >= maxCrashes {
		return d.refuse(a, result.RequestCrashes, "the request has crashed as many engines as allowed")
	}
	return nil
}

// recordCrash records that a run was broken off, possibly because its engine crashed. It does
// not count against the content if other upstreams of the failure domain died as well, if
// several failure domains failed at once (which an isolated instance observes), if the run
// had not really begun, or if the engine still answers a probe.
func (d *Dispatcher) recordCrash(a *attempts, u directory.Upstream, began, now time.Time) {
	if now.Sub(began) < minRunTime || d.fleet.DomainFailed(u.Domain, now) || d.fleet.FailedDomains(now) > 1 {
		return
	}
	a.crashes++
	fp := a.w.Fingerprint
	d.timer.After(crashCheckDelay, func(later time.Time) {
		go func() {
			if d.protocol.ProbePath == "" || d.fleet.DomainFailed(u.Domain, later) || d.fleet.FailedDomains(later) > 1 || d.probe(context.Background(), u, later) {
				return
			}
			end := d.timer.Now()
			d.fleet.ReportEnd(u.ID, fleet.Dead, 0, end)
			if d.fleet.DomainFailed(u.Domain, end) || d.fleet.FailedDomains(end) > 1 {
				return
			}
			d.suspects.EngineFailed(end, u.ID, fp)
			d.log.Warn().Str("Request", string(a.w.ID)).Str("Upstream", string(u.ID)).Uint64("Content", fp).Msg("engine died alone while it ran the request")
		}()
	})
}

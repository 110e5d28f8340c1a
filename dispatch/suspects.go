package dispatch

import (
	"context"
	"time"

	"crocuslug/directory"
	"crocuslug/fleet"
	"crocuslug/result"
	"crocuslug/suspect"
)

// Bounds around contents that make engines fail.
const (
	mostCrashes  = 3                      // engines that one request may lose
	autopsyAfter = 250 * time.Millisecond // by then a loss of a whole failure domain is known as one
	leastRun     = 100 * time.Millisecond // an engine that dies of a request has read some of its prompt
)

// screen refuses a request whose content is proven to make engines fail, or that
// has itself lost as many engines as one request may.
func (d *Dispatcher) screen(a *attempts, now time.Time) *result.Error {
	if t, until := d.suspects.Restriction(now, a.w.Fingerprint); t == suspect.Banned {
		e := d.refuse(a, result.RequestCrashes, "engines fail with this content")
		if a.runs == 0 {
			e = e.After(until.Sub(now))
		}
		return e
	}
	if a.crashes >= mostCrashes {
		return d.refuse(a, result.RequestCrashes, "the request has lost as many engines as it may")
	}
	return nil
}

// crashed takes in that a run was broken off, by which its engine may have
// died. A death together with others of its failure domain says nothing of the
// content, nor do breaks in several failure domains at once, which an instance
// finds that is cut off itself, nor one before the run had begun. An engine that
// answers has not died.
func (d *Dispatcher) crashed(a *attempts, u directory.Upstream, began, now time.Time) {
	if now.Sub(began) < leastRun || d.fleet.DomainFailed(u.Domain, now) || d.fleet.FailedDomains(now) > 1 {
		return
	}
	a.crashes++
	fp := a.w.Fingerprint
	d.timer.After(autopsyAfter, func(later time.Time) {
		go func() {
			if d.ports.ProbePath == "" || d.fleet.DomainFailed(u.Domain, later) || d.fleet.FailedDomains(later) > 1 || d.probe(context.Background(), u, later) {
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

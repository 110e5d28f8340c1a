package dispatch

import (
	"context"
	"errors"
	"syscall"
	"time"

	"crocuslug/directory"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/suspect"
	"crocuslug/work"
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

// recordCrash records that the connection of a run was lost, possibly because its engine
// crashed. The run counts as a crash only if a later probe is refused; silence never does. It
// does not count against the content if the run had not really begun, if other upstreams of
// the failure domain died as well, or if several failure domains failed at once (which an
// isolated instance observes).
func (d *Dispatcher) recordCrash(a *attempts, u directory.Upstream, v sendFailure, began, now time.Time) {
	if v.cause != broken || now.Sub(began) < minRunTime || d.domainsFailed(u.Domain, now) {
		return
	}
	crashed := make(chan bool, 1)
	a.crashChecks = append(a.crashChecks, crashed)
	d.timer.After(crashCheckDelay, func(later time.Time) {
		go func() { crashed <- d.checkCrash(a.w, u, later) }()
	})
}

// checkCrash reports whether u is gone after it lost a run of w, and counts the crash against
// the content of w.
func (d *Dispatcher) checkCrash(w *work.Work, u directory.Upstream, now time.Time) bool {
	if d.protocol.ProbePath == "" || d.domainsFailed(u.Domain, now) {
		return false
	}
	if err := d.probe(context.Background(), u, now); !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	end := d.timer.Now()
	d.fleet.ReportEnd(u.ID, fleet.Dead, 0, end)
	if d.domainsFailed(u.Domain, end) {
		return false
	}
	d.suspects.EngineFailed(end, u.ID, w.Fingerprint)
	d.log.Warn().Str("Request", string(w.ID)).Str("Upstream", string(u.ID)).Uint64("Content", w.Fingerprint).Msg("engine died alone while it ran the request")
	return true
}

// domainsFailed reports whether a failure domain, or several of them, lost upstreams at once.
func (d *Dispatcher) domainsFailed(domain ident.Domain, now time.Time) bool {
	return d.fleet.DomainFailed(domain, now) || d.fleet.FailedDomains(now) > 1
}

// awaitCrashChecks counts the crashes of a request if there may be as many as allowed. It
// returns false if ctx ends before the checks do.
func (d *Dispatcher) awaitCrashChecks(ctx context.Context, a *attempts) bool {
	if a.crashes+len(a.crashChecks) < maxCrashes {
		return true
	}
	for _, crashed := range a.crashChecks {
		select {
		case yes := <-crashed:
			if yes {
				a.crashes++
			}
		case <-ctx.Done():
			return false
		}
	}
	a.crashChecks = nil
	return true
}

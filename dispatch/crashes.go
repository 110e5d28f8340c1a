package dispatch

import (
	"context"
	"errors"
	"syscall"
	"time"

	"crocuslug/directory"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/poison"
	"crocuslug/result"
	"crocuslug/work"
)

// Limits of the detection of requests that make engines crash.
const (
	maxCrashes      = 3                      // engines that one request may crash
	crashCheckDelay = 250 * time.Millisecond // by then the loss of a whole failure domain is recognized
	maxDoubt        = time.Second            // by then other instances have said whether this one is cut off
	minRunTime      = 100 * time.Millisecond // an engine that crashes on a request has run it for at least this long
	// provenTime is the time after the begin of its answer from when a run is not to blame for a crash.
	provenTime = time.Second
)

// runOf returns what a request puts on an engine.
func runOf(w *work.Work) poison.Run {
	return poison.Run{Content: poison.Part(w.Fingerprint), Parts: w.Shared}
}

// checkContent refuses a request that is known to make engines crash, or that has crashed as
// many engines as one request may.
func (d *Dispatcher) checkContent(a *attempts, now time.Time) *result.Error {
	if left, refused := d.poison.Refused(runOf(a.w), now); refused {
		e := d.refuse(a, result.RequestCrashes, "engines crash with this prompt")
		if a.runs == 0 {
			e = e.After(left)
		}
		return e
	}
	if a.crashes >= maxCrashes {
		return d.refuse(a, result.RequestCrashes, "the request has crashed as many engines as allowed")
	}
	return nil
}

// recordCrash examines why the connection of a run was lost, possibly because its engine
// crashed. It did only if a probe is refused; silence is no crash. Then the run is evidence
// against its prompt, unless it had already proven sound. It counts against the request if it
// had really begun, if no other upstreams of the failure domain died as well, and if not
// several failure domains failed at once (which an isolated instance observes).
func (d *Dispatcher) recordCrash(a *attempts, u directory.Upstream, v sendFailure, began, now time.Time) {
	ended := v.cause == broken || v.cause == probeFailed || v.cause == unreachable || v.cause == incorrect
	if !ended || d.protocol.ProbePath == "" {
		return
	}
	crashed := make(chan bool, 1)
	counts := v.cause == broken && now.Sub(began) >= minRunTime && !d.domainsFailed(u.Domain, now)
	if counts {
		a.crashChecks = append(a.crashChecks, crashed)
	}
	w, proven := a.w, a.proven(now)
	var check func(later time.Time)
	gone := false
	check = func(later time.Time) {
		gone = gone || d.refusesProbe(u, later)
		cut, doubtful := d.cutOff(u.Domain)
		if gone && doubtful && !cut && later.Sub(now) < maxDoubt {
			d.timer.After(crashCheckDelay, func(later time.Time) { go check(later) })
			return
		}
		gone = gone && !cut
		if gone && !proven {
			d.recordEvidence(w, u, now)
		} else {
			d.log.Info().Str("Request", string(w.ID)).Str("Upstream", string(u.ID)).Bool("Gone", gone).Bool("Proven", proven).Bool("CutOff", cut).Msg("lost run is no evidence of a crash")
		}
		crashed <- gone && counts && d.diedAlone(w, u, later)
	}
	go func() {
		gone = d.refusesProbe(u, now)
		d.timer.After(now.Add(crashCheckDelay).Sub(d.timer.Now()), func(later time.Time) { go check(later) })
	}()
}

// proven reports whether the answer of the current attempt has been written for so long that
// the request is not to blame if its engine crashes.
func (a *attempts) proven(now time.Time) bool {
	return !a.answering.IsZero() && now.Sub(a.answering) >= provenTime
}

// refusesProbe reports whether the address of u refuses connections.
func (d *Dispatcher) refusesProbe(u directory.Upstream, now time.Time) bool {
	return errors.Is(d.probe(context.Background(), u, now), syscall.ECONNREFUSED)
}

// recordEvidence records that u crashed at a time while it ran w.
func (d *Dispatcher) recordEvidence(w *work.Work, u directory.Upstream, at time.Time) {
	d.poison.EngineCrashed(poison.Engine{ID: u.ID, Born: u.Born}, runOf(w), at, d.timer.Now())
	d.meters.Count("EngineCrashes", 1)
	d.log.Warn().Str("Request", string(w.ID)).Str("Upstream", string(u.ID)).Uint64("Content", w.Fingerprint).Str("Parts", partNames(w.Parts)).Msg("engine crashed while it ran the request")
}

// diedAlone reports whether u, which is gone, died while its failure domain and the others did
// not lose further upstreams. Then the crash counts against w alone.
func (d *Dispatcher) diedAlone(w *work.Work, u directory.Upstream, now time.Time) bool {
	if d.domainsFailed(u.Domain, now) {
		return false
	}
	end := d.timer.Now()
	d.fleet.ReportEnd(u.ID, fleet.Dead, 0, end)
	if d.domainsFailed(u.Domain, end) {
		return false
	}
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

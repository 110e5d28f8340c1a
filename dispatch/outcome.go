package dispatch

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"crocuslug/directory"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/work"
)

// sendFailure describes an attempt that ended without an answer to pass on.
type sendFailure struct {
	outcome    fleet.Outcome
	mayHaveRun bool // the upstream may have run the request
	cause      cause
	reason     string
}

// cause is the name under which a failed attempt is counted in the metrics.
type cause string

// Causes of failed attempts.
const (
	probeFailed cause = "NoProbe"     // the silent engine did not answer a probe
	unreachable cause = "Unreachable" // no connection to the silent engine could be made for a probe
	timedOut    cause = "TimedOut"    // no answer within the time limit
	notSent     cause = "NotSent"     // no connection was made
	withdrawn   cause = "Withdrawn"   // not sent, because of what the upstream said meanwhile
	broken      cause = "Broken"      // the connection ended before the answer
	silent      cause = "Silent"      // no piece within the longest pause
	replaced    cause = "Replaced"    // another upstream now has the address
	notRun      cause = "NotRun"      // refused by the upstream without running it
	unsigned    cause = "Unsigned"    // the answer carries no signature of an upstream
	incorrect   cause = "Incorrect"   // the stream did not consist of the expected pieces
	status      cause = "Status"      // the upstream answered with a failure
	ambiguous   cause = "Ambiguous"   // the status promises that the request was not run, but the upstream does not state it
)

// timeLimitPassed is the failure of an attempt whose upstream has not answered in time.
var timeLimitPassed = sendFailure{outcome: fleet.Failed, mayHaveRun: true, cause: timedOut, reason: "no answer within its time limit"}

// promisesNotRun reports whether callers take a status for the promise that the request was not run
// and never will be.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// statesNotRun reports whether an answer of u, to a request that names u, states that u did not run it.
func (d *Dispatcher) statesNotRun(u ident.Upstream, ans *exchange.Answer) bool {
	if d.protocol.NotRun(ans.Status, ans.Header) {
		return true
	}
	if !d.protocol.Replaced(ans.Status, ans.Header) {
		return false
	}
	other := d.protocol.UpstreamID(ans.Header)
	return other != "" && other != u
}

// classify reports whether an attempt to send w to u failed, and how. The answer is used only if err
// is nil. What a caller would take for the promise that a request was not run fails if the request
// must not be repeated and u does not state it.
func (d *Dispatcher) classify(ctx context.Context, w *work.Work, u ident.Upstream, ans *exchange.Answer, err error) (sendFailure, bool) {
	switch {
	case err != nil && context.Cause(ctx) == errUnreachable:
		return sendFailure{outcome: fleet.Dead, mayHaveRun: true, cause: unreachable, reason: errUnreachable.Error()}, true
	case err != nil && context.Cause(ctx) == errProbeFailed:
		return sendFailure{outcome: fleet.Failed, mayHaveRun: true, cause: probeFailed, reason: errProbeFailed.Error()}, true
	case err != nil && context.Cause(ctx) == context.DeadlineExceeded:
		return sendFailure{outcome: fleet.Failed, mayHaveRun: !exchange.NotSent.Has(err), cause: timedOut, reason: "no answer within its time limit"}, true
	case exchange.Broken.Has(err) && errors.Is(err, os.ErrDeadlineExceeded):
		return timeLimitPassed, true
	case errors.Is(err, errLeft) || errors.Is(err, errResting) || errors.Is(err, errNoBuild):
		return sendFailure{outcome: fleet.Abandoned, cause: withdrawn, reason: err.Error()}, true
	case exchange.NotSent.Has(err):
		return sendFailure{outcome: fleet.Dead, cause: notSent, reason: err.Error()}, true
	case err != nil:
		return sendFailure{outcome: fleet.Failed, mayHaveRun: true, cause: broken, reason: err.Error()}, true
	case d.protocol.Replaced(ans.Status, ans.Header):
		return sendFailure{outcome: fleet.Replaced, mayHaveRun: !d.statesNotRun(u, ans), cause: replaced, reason: "another upstream has the address"}, true
	case d.protocol.NotRun(ans.Status, ans.Header):
		return sendFailure{outcome: fleet.Served, cause: notRun, reason: "refused by the upstream with status " + http.StatusText(ans.Status)}, true
	case !w.Route.Repeatable() && promisesNotRun(ans.Status):
		reason := "status " + strconv.Itoa(ans.Status) + " without the statement that the request was not run"
		return sendFailure{outcome: fleet.Served, mayHaveRun: true, cause: ambiguous, reason: reason}, true
	case !d.protocol.Signed(ans.Header) && ans.Status < http.StatusMultipleChoices:
		return sendFailure{outcome: fleet.Failed, mayHaveRun: true, cause: unsigned, reason: "the answer carries no signature of an upstream"}, true
	}
	return sendFailure{}, false
}

// recordAnswer updates the state after an attempt with a complete answer. The request is not to
// blame for crashes if sound is true or the answer has been written for long enough.
func (d *Dispatcher) recordAnswer(a *attempts, u directory.Upstream, sound bool, took time.Duration, now time.Time) {
	d.reportEnd(a.claim, u.ID, fleet.Served, took, now)
	if sound || a.proven(now) {
		d.poison.Answered(runOf(a.w), now)
	}
}

// recordFailure updates the state after a failed attempt and logs it. If the upstream may have
// crashed on the request, it returns once it is known whether the request has crashed as many as
// allowed, or false if ctx ends before.
func (d *Dispatcher) recordFailure(ctx context.Context, a *attempts, u directory.Upstream, v sendFailure, began, now time.Time) bool {
	d.countFailure(a, u, v, began, now)
	if !v.mayHaveRun {
		return true
	}
	d.recordCrash(a, u, v, began, now)
	return d.awaitCrashChecks(ctx, a)
}

// countFailure updates the state of the request and of its upstream after a failed attempt and logs
// it.
func (d *Dispatcher) countFailure(a *attempts, u directory.Upstream, v sendFailure, began, now time.Time) {
	d.reportEnd(a.claim, u.ID, v.outcome, 0, now)
	d.meters.Count("Failed."+string(v.cause), 1)
	a.lastFailure = v.reason
	if v.outcome == fleet.Dead || v.outcome == fleet.Failed {
		a.lostDomain = u.Domain
	}
	if v.mayHaveRun {
		a.runs++
	}
	switch {
	case !v.mayHaveRun:
		a.declined = append(a.declined, u.ID)
	case v.cause == silent || v.cause == probeFailed || v.cause == timedOut:
		a.silent = append(a.silent, u.ID)
	default:
		a.exclude = append(a.exclude, u.ID)
	}
	line := d.log.Info()
	if v.mayHaveRun && len(a.w.Parts) > 0 {
		line.Str("Parts", partNames(a.w.Parts))
	}
	line.Str("Request", string(a.w.ID)).Str("Upstream", string(u.ID)).Uint64("Revision", u.Revision.Revision()).Int("Attempt", a.sends).
		Bool("MayHaveRun", v.mayHaveRun).Str("Cause", string(v.cause)).Str("Reason", v.reason).Dur("AfterMs", now.Sub(began)).Msg("attempt failed")
}

package dispatch

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"crocuslug/directory"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/work"
)

// Call sends a request and returns the whole answer. If ctx ends because the caller has
// disconnected, the connection to the upstream is closed and both results are nil.
func (d *Dispatcher) Call(ctx context.Context, w *work.Work) (*Reply, *result.Error) {
	d.retryBudget(w.Service.Name).AddRequest()
	a := &attempts{w: w, claim: d.newClaim()}
	defer func() { d.fleet.ReleaseMemory(a.claim, d.timer.Now()) }()
	if refusal := d.checkSize(a); refusal != nil {
		return nil, refusal
	}
	var failure *Reply // failure answered by an upstream, passed on if no other upstream succeeds
	for {
		now := d.timer.Now()
		if w.Deadline.Sub(now) < d.cfg.MinRemaining {
			return or(failure, d.refuse(a, result.DeadlineInfeasible, "the remaining time is too short"))
		}
		a.side = d.sideOf(w, nil, now)
		d.awaitTrial(ctx, a, now)
		if refusal := d.ensurePermit(ctx, a, d.timer.Now()); refusal != nil {
			return or(failure, refusal)
		}
		now = d.timer.Now() // the request may have waited
		u, refusal := d.pick(a, now)
		if refusal != nil {
			return or(failure, refusal)
		}
		a.sends++
		sent := d.timer.Uptime()
		reply, v, failed := d.send(ctx, a, u, now)
		end := d.timer.Now()
		switch {
		case !failed:
			d.observeAnswerPace(u, reply.Status, end.Sub(now))
			d.observe(a, u, reply.Status >= http.StatusInternalServerError, end.Sub(now), end)
		case ctx.Err() == nil:
			d.observeFailure(a, u, v, end.Sub(now))
		}
		if !failed && reply.Status >= http.StatusInternalServerError && w.Route.Repeatable() {
			failure = reply
			v, failed = sendFailure{outcome: fleet.Served, mayHaveRun: true, cause: status, reason: "status " + strconv.Itoa(reply.Status)}, true
		}
		switch {
		case !failed:
			d.recordAnswer(a, u, reply.delimited && reply.Status < http.StatusBadRequest, end.Sub(now), end)
			d.fleet.ReportAlive(u.ID, sent) // the upstream was alive after that time
			d.log.Info().Str("Request", string(w.ID)).Str("Upstream", string(u.ID)).Uint64("Revision", u.Revision.Revision()).Int("Attempt", a.sends).
				Int("Status", reply.Status).Dur("TookMs", end.Sub(now)).Msg("answered")
			return reply, nil
		case ctx.Err() != nil:
			d.reportEnd(a.claim, u.ID, fleet.Abandoned, 0, end)
			a.runs++
			return d.callEnded(ctx, a, u.ID, failure)
		}
		if !d.recordFailure(ctx, a, u, v, now, end) {
			return d.callEnded(ctx, a, u.ID, failure)
		}
		if refusal := d.checkRetry(a, end, v.unsent()); refusal != nil {
			return or(failure, refusal)
		}
	}
}

// callEnded returns the results of a call whose context has ended.
func (d *Dispatcher) callEnded(ctx context.Context, a *attempts, id ident.Upstream, failure *Reply) (*Reply, *result.Error) {
	if refusal := d.refuseEnded(ctx, a); refusal != nil {
		return or(failure, refusal)
	}
	d.log.Info().Str("Request", string(a.w.ID)).Str("Upstream", string(id)).Msg("caller left")
	return nil, nil
}

// or returns the failure that an upstream answered with, if there is one, and the refusal
// otherwise.
func or(failure *Reply, refusal *result.Error) (*Reply, *result.Error) {
	if failure != nil {
		return failure, nil
	}
	return nil, refusal
}

// send makes one attempt and reads the whole answer.
func (d *Dispatcher) send(ctx context.Context, a *attempts, u directory.Upstream, now time.Time) (*Reply, sendFailure, bool) {
	w := a.w
	a.answering = time.Time{}
	ctx, cancel := d.withDeadline(ctx, w.Deadline)
	defer cancel()
	attempt := work.Attempt{Upstream: u, Remaining: w.Deadline.Sub(now), Rank: queueRank(w)}
	r := d.exchangeRequest(w, &attempt)
	if w.Route.Repeatable() && a.sends < w.Route.MaxAttempts {
		r.AnswerBy = now.Add(time.Duration(d.cfg.AttemptShare * float64(w.Deadline.Sub(now))))
		r.Extend = func() time.Time { return d.extendCall(a, u.ID) }
	}
	ans, err := d.do(ctx, a, u, r, true)
	if err == nil {
		defer ans.Close()
	}
	if v, failed := d.classify(ctx, w, u.ID, ans, err); failed {
		return nil, v, true
	}
	a.answering = d.timer.Now()
	body, more, err := ans.ReadParts()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, timeLimitPassed, true
	}
	if err != nil {
		return nil, sendFailure{outcome: fleet.Failed, mayHaveRun: true, cause: broken, reason: err.Error()}, true
	}
	return &Reply{Status: ans.Status, Header: ans.Header, Body: body, More: more, delimited: ans.Delimited()}, sendFailure{}, false
}

// extendCall returns until when a request waits for an upstream that has not answered within
// its share of the time, or zero if the request may be sent to another one.
func (d *Dispatcher) extendCall(a *attempts, id ident.Upstream) time.Time {
	service := a.w.Service.Name
	if d.fleet.HasOther(service, a.wantedBuild(), a.side.exclude, append(d.unavailable(a, d.timer.Now()), id)) && d.retryBudget(service).Available() {
		return time.Time{}
	}
	return d.timer.Now().Add(silenceCheckInterval)
}

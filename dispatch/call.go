package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"crocuslug/directory"
	"crocuslug/fleet"
	"crocuslug/result"
	"crocuslug/work"
)

// Call sends a request whose answer is passed on whole. If ctx ends, the caller
// has gone; the upstream is told by the close of the connection, and both
// results are nil.
func (d *Dispatcher) Call(ctx context.Context, w *work.Work) (*Reply, *result.Error) {
	d.budgetOf(w.Service.Name).AddRequest()
	a := &attempts{w: w}
	var failure *Reply // of an upstream, passed on if no other does better
	for {
		now := d.timer.Now()
		if w.Deadline.Sub(now) < d.cfg.MinRemaining {
			return or(failure, d.refuse(a, result.DeadlineInfeasible, "no time is left"))
		}
		u, refusal := d.pick(a, now)
		if refusal != nil {
			return or(failure, refusal)
		}
		a.made++
		sent := d.timer.Uptime()
		reply, v, failed := d.send(ctx, a, u, now)
		end := d.timer.Now()
		if !failed && reply.Status >= http.StatusInternalServerError && w.Route.Repeatable() {
			failure = reply
			v, failed = verdict{kind: fleet.Served, ran: true, cause: status, reason: "status " + strconv.Itoa(reply.Status)}, true
		}
		switch {
		case !failed:
			d.fleet.ReportEnd(u.ID, fleet.Served, end.Sub(now), end)
			d.fleet.ReportAlive(u.ID, sent) // it lived after that
			d.log.Info().Str("Request", string(w.ID)).Str("Upstream", string(u.ID)).Int("Attempt", a.made).
				Int("Status", reply.Status).Dur("TookMs", end.Sub(now)).Msg("answered")
			return reply, nil
		case ctx.Err() != nil:
			d.fleet.ReportEnd(u.ID, fleet.Abandoned, 0, end)
			d.log.Info().Str("Request", string(w.ID)).Str("Upstream", string(u.ID)).Msg("caller left")
			return nil, nil
		}
		d.note(a, u, v, now, end)
		if refusal := d.mayRetry(a, end, v.unsent()); refusal != nil {
			return or(failure, refusal)
		}
	}
}

// or returns the failure that an upstream answered with, if there is one.
func or(failure *Reply, refusal *result.Error) (*Reply, *result.Error) {
	if failure != nil {
		return failure, nil
	}
	return nil, refusal
}

// send makes one attempt and reads the whole answer.
func (d *Dispatcher) send(ctx context.Context, a *attempts, u directory.Upstream, now time.Time) (*Reply, verdict, bool) {
	w := a.w
	limit := w.Deadline
	if w.Route.Repeatable() && a.made < w.Route.MaxAttempts {
		limit = now.Add(time.Duration(d.cfg.SafeShare * float64(w.Deadline.Sub(now))))
	}
	ctx, cancel := d.until(ctx, limit)
	defer cancel()
	leg := work.Leg{Upstream: u, Remaining: w.Deadline.Sub(now), Rank: rank(w)}
	ans, err := d.client.Do(ctx, u.Address, d.request(w, &leg))
	if err == nil {
		defer ans.Close()
	}
	if v, failed := d.judge(ctx, ans, err); failed {
		return nil, v, true
	}
	body, err := ans.ReadBody()
	if err != nil {
		return nil, verdict{kind: fleet.Failed, ran: true, cause: broken, reason: err.Error()}, true
	}
	return &Reply{Status: ans.Status, Header: ans.Header, Body: body}, verdict{}, false
}

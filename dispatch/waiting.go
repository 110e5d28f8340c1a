package dispatch

import (
	"context"
	"fmt"
	"time"

	"crocuslug/admission"
	"crocuslug/directory"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/line"
	"crocuslug/result"
	"crocuslug/routing"
	"crocuslug/unit"
	"crocuslug/work"
)

// place is what a new stream that waits asks for, and what it got.
type place struct {
	ask fleet.PickRequest
	u   directory.Upstream
}

// lineOf returns the line of new streams for a service.
func (d *Dispatcher) lineOf(s ident.Service) *line.Line {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l, ok := d.lines[s]; ok {
		return l
	}
	noLimits := func(ident.Workspace) admission.Limits { return admission.Limits{} }
	l := line.New(admission.Settings{
		MaxItems: d.cfg.MostWaiting,
		MaxCost:  mostCost,
		MinRetry: unit.Duration(d.cfg.LeastRetry),
		MaxRetry: unit.Duration(mostReturn),
		Seed:     d.random(),
	}, noLimits)
	l.Capacity = func(now time.Time) (admission.Priority, bool) { return admission.Batch, d.fleet.Ready(s, now) }
	l.Place = func(t *line.Ticket, now time.Time) bool {
		p := t.Request.(*place)
		u, kind := d.fleet.Pick(p.ask, now)
		if kind != routing.Send {
			return false
		}
		p.u = u
		l.Queue.Finish(t.ID, t.Cost) // it counts at the upstream from now on
		l.Answer(t, line.Verdict{})
		return true
	}
	d.lines[s] = l
	return l
}

// Bounds of a line beside the settings.
const (
	mostCost   = 1e9             // tokens; requests are bounded by their number
	mostReturn = 8 * time.Second // a third of the usual deadline, the longest that callers heed
)

// Tick answers those that have waited too long and looks for places for the
// others. It is called several times a second.
func (d *Dispatcher) Tick(now time.Time) {
	d.mu.Lock()
	lines := make([]*line.Line, 0, len(d.lines))
	for _, l := range d.lines {
		lines = append(lines, l)
	}
	d.mu.Unlock()
	for _, l := range lines {
		l.Expire(now)
	}
}

// priorityOf returns the priority in a line for that of a request.
func priorityOf(p int) admission.Priority {
	switch {
	case p <= 0:
		return admission.Urgent
	case p == 1:
		return admission.Normal
	}
	return admission.Batch
}

// admit finds the upstream of a new stream. Engines read the prompts that they
// have side by side, so one more makes all of them later, and beyond some number
// all too late: all work, and nobody is served. So a stream waits here while all
// engines have enough to read, behind those that came before, and is refused at
// once if its turn would come too late.
func (d *Dispatcher) admit(ctx context.Context, s *stream, now time.Time) (directory.Upstream, *result.Error) {
	w := s.w
	l := d.lineOf(w.Service.Name)
	if n, _ := l.Queue.Len(); n == 0 {
		u, refusal, busy := d.choose(&s.attempts, d.cfg.MostBacklog, now)
		if !busy {
			return u, refusal
		}
	} else if refusal := d.screen(&s.attempts, now); refusal != nil {
		return directory.Upstream{}, refusal
	}
	p := &place{ask: d.wish(&s.attempts, now)}
	p.ask.RequireIdle = true
	t, refusal := l.Offer(admission.Item{
		ID:        d.turn(w.ID),
		Workspace: w.Workspace,
		Priority:  priorityOf(w.Priority),
		Cost:      float64(max(1, w.Tokens)),
		Deadline:  now.Add(d.patience(w, now)),
	}, p, now)
	if refusal != nil {
		return directory.Upstream{}, d.turnedAway(s, refusal)
	}
	n, _ := l.Queue.Len()
	d.log.Info().Str("Request", string(w.ID)).Int("Waiting", n).Dur("BacklogMs", l.Queue.Backlog()).Msg("stream waits for its turn")
	d.meters.Count("StreamsQueued", 1)
	l.Pump(now)
	v := l.Await(ctx, t)
	end := d.timer.Now()
	switch {
	case ctx.Err() != nil && v.Err == nil:
		d.fleet.ReportEnd(p.u.ID, fleet.Abandoned, 0, end)
		d.fleet.AddUnreadTokens(p.u.ID, -w.Prompt, end)
		return directory.Upstream{}, d.left(ctx, s)
	case ctx.Err() != nil:
		return directory.Upstream{}, d.left(ctx, s)
	case v.Err != nil:
		return directory.Upstream{}, d.turnedAway(s, v.Err)
	}
	d.meters.Observe("QueuedUs", end.Sub(now))
	d.log.Info().Str("Request", string(w.ID)).Str("Upstream", string(p.u.ID)).Dur("WaitedMs", end.Sub(now)).Msg("turn came")
	return p.u, nil
}

// turn returns a name for one wait. Callers choose the ids of their requests and
// may leave them out or use one twice.
func (d *Dispatcher) turn(id ident.Request) ident.Generation {
	return ident.Generation(fmt.Sprintf("%s-%d", id, d.turns.Add(1)))
}

// patience returns how long a new stream may wait for its turn. One that would be
// late at the end is better told to come back, so that the turns go to those that
// can still be on time.
func (d *Dispatcher) patience(w *work.Work, now time.Time) time.Duration {
	const byDefault = 0.18 // of the remaining time, for routes that name no objective
	objective := w.Route.Target
	if objective <= 0 {
		objective = time.Duration(byDefault * float64(w.Deadline.Sub(now)))
	}
	return time.Duration(d.cfg.WaitShare * float64(objective))
}

// turnedAway returns the refusal of a stream whose turn would come too late. The
// line knows when it will be shorter; callers heed a third of their time.
func (d *Dispatcher) turnedAway(s *stream, refusal *result.Error) *result.Error {
	const heeded = 3
	remaining := s.w.Deadline.Sub(d.timer.Now())
	after := max(min(refusal.RetryAfter, remaining/heeded), d.cfg.LeastRetry)
	return d.refuse(&s.attempts, refusal.Code, refusal.Detail).After(after)
}

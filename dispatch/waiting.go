package dispatch

import (
	"context"
	"fmt"
	"slices"
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

// queuedRequest is a queued stream: the request to the Fleet, the upstream picked for it, and what
// limited that choice.
type queuedRequest struct {
	w        *work.Work
	request  fleet.PickRequest // without a side, which is chosen when the stream is placed
	upstream directory.Upstream
	side     side
	counted  bool
}

// queueOf returns the queue of new streams of a service and creates it if needed.
func (d *Dispatcher) queueOf(s ident.Service) *line.Queue {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l, ok := d.queues[s]; ok {
		return l
	}
	noLimits := func(ident.Workspace) admission.Limits { return admission.Limits{} }
	q := line.New(admission.Settings{
		MaxItems: d.cfg.MaxQueued,
		MaxCost:  maxQueuedCost,
		MinRetry: unit.Duration(d.cfg.MinRetryAfter),
		MaxRetry: unit.Duration(maxQueueRetryAfter),
		Seed:     d.random(),
	}, noLimits)
	q.Capacity = func(now time.Time) (admission.Priority, bool) { return d.lowestPriority(s, now), d.fleet.Ready(s, now) }
	q.TryPlace = func(waiter *line.Waiter, now time.Time) bool {
		queued := waiter.Request.(*queuedRequest)
		request := queued.request
		request.Exclude = append(slices.Clone(request.Exclude), d.closed(s, now)...)
		chosen := d.sideOf(queued.w, request.Build, now)
		u, kind := d.pickPlace(request, chosen, now)
		if kind != routing.Send || !d.takePermit(u.ID, request.Claim, request.UnreadTokens, now) {
			return false
		}
		queued.upstream, queued.side, queued.counted = u, chosen, d.countChosen(queued.w, chosen, u, now)
		q.Admission.Finish(waiter.ID, waiter.Cost) // from now on the Fleet counts it at the upstream
		q.Resolve(waiter, line.Outcome{})
		return true
	}
	d.queues[s] = q
	return q
}

// Bounds of a queue that are not in Settings.
const (
	maxQueuedCost      = 1e9             // tokens; practically unlimited, since the number of requests is bounded
	maxQueueRetryAfter = 8 * time.Second // a third of the usual deadline, the longest time that callers wait
)

// Tick refuses the queued streams that have waited too long and places others if possible, and tells
// holders of streams that began before a second build.
// It must be called several times a second.
func (d *Dispatcher) Tick(now time.Time) {
	d.tellUntold(now)
	d.mu.Lock()
	queues := make([]*line.Queue, 0, len(d.queues))
	for _, l := range d.queues {
		queues = append(queues, l)
	}
	d.mu.Unlock()
	for _, l := range queues {
		l.Expire(now)
	}
	d.reportUrgentWaiting()
}

// priorityOf returns the admission priority of a request with priority p.
func priorityOf(p int) admission.Priority {
	switch {
	case p <= 0:
		return admission.Urgent
	case p == 1:
		return admission.Normal
	}
	return admission.Batch
}

// admit finds the upstream of a new stream. An engine reads its prompts concurrently, so each
// further one delays all of them, and beyond some number all are late: the engine is busy,
// but no caller is served in time. Therefore a stream waits here in order of arrival while
// all engines have enough prompts to read, and is refused at once if it could not start in
// time. A stream that is late anyway waits behind those that are not, for an engine without prompts to
// read, and may wait for longer.
func (d *Dispatcher) admit(ctx context.Context, s *stream, now time.Time) (directory.Upstream, *result.Error) {
	w := s.w
	q := d.queueOf(w.Service.Name)
	priority, wait := priorityOf(w.Priority), d.maxQueueWait(w, now)
	if s.requireIdle = d.tooLate(s, now); s.requireIdle {
		priority, wait = admission.Batch, time.Duration(lateWaitShare*float64(w.Deadline.Sub(now)))
		d.meters.Count("StreamsLate", 1)
	}
	s.yields = priority > admission.Urgent
	defer func() { s.yields = false }() // once begun, an answer goes on
	if q.Admission.WaitingDownTo(priority) == 0 {
		u, refusal, busy := d.pickWithin(&s.attempts, d.cfg.MaxBacklog, now)
		if !busy {
			s.requireIdle = false
			return u, refusal
		}
	} else if refusal := d.checkContent(&s.attempts, now); refusal != nil {
		return directory.Upstream{}, refusal
	} else if refusal := d.checkRests(&s.attempts, now); refusal != nil {
		return directory.Upstream{}, refusal
	}
	queued := &queuedRequest{w: w, request: d.pickRequest(&s.attempts, now)}
	queued.request.Build, queued.request.ExcludeBuild = s.build, ""
	queued.request.Exclude = s.excluded() // permits may be issued, and rests may end meanwhile
	queued.request.RequireIdle = true
	s.requireIdle = false
	shortage := d.shortage(s, now)
	waiter, refusal := q.Enqueue(admission.Item{
		ID:        d.waiterID(w.ID),
		Workspace: w.Workspace,
		Priority:  priority,
		Cost:      float64(max(1, w.Tokens)),
		Deadline:  now.Add(wait),
	}, queued, now)
	if refusal != nil {
		d.recordRefusedAtOnce(s, shortage, refusal)
		return directory.Upstream{}, d.queueRefusal(s, refusal)
	}
	d.recordWait(s, q, shortage)
	n, _ := q.Admission.Len()
	d.log.Info().Str("Request", string(w.ID)).Int("Waiting", n).Dur("BacklogMs", q.Admission.Backlog()).Msg("stream queued")
	d.meters.Count("StreamsQueued", 1)
	q.Grant(now)
	outcome := q.Wait(ctx, waiter)
	end := d.timer.Now()
	switch {
	case ctx.Err() != nil:
		return queued.upstream, nil // none if the stream was still queued
	case outcome.Err != nil:
		return directory.Upstream{}, d.queueRefusal(s, outcome.Err)
	}
	s.side, s.counted = queued.side, queued.counted
	d.meters.Observe("QueuedUs", end.Sub(now))
	d.log.Info().Str("Request", string(w.ID)).Str("Upstream", string(queued.upstream.ID)).Dur("WaitedMs", end.Sub(now)).Msg("queued stream was assigned an upstream")
	return queued.upstream, nil
}

// waiterID returns a unique name for one wait in the queue. Request ids do not serve for this,
// since callers choose them and may leave them out or use one twice.
func (d *Dispatcher) waiterID(id ident.Request) ident.Generation {
	return ident.Generation(fmt.Sprintf("%s-%d", id, d.queueSeq.Add(1)))
}

// lateWaitShare is the part of its remaining time for which a stream that is late anyway may wait in
// the queue. It needs the rest for its prompt and its pieces.
const lateWaitShare = 0.4

// tooLate reports whether a stream that its caller takes up cannot be on time any more, because an
// engine has to read its prompt again and that takes longer than the longest pause between pieces. Its
// caller waits anyway, while a new stream would be late behind it: when all instances have started
// again at once, the streams taken up would make all new ones late for many seconds.
func (d *Dispatcher) tooLate(s *stream, now time.Time) bool {
	w := s.w
	if !w.Resumes || w.LastPiece == 0 || w.Route.TargetGap <= 0 {
		return false
	}
	request := d.pickRequest(&s.attempts, now)
	return d.fleet.ReadingTime(w.PromptTokens) > w.Route.TargetGap && !d.fleet.Cached(request, now)
}

// maxQueueWait returns how long a new stream may wait in the queue. A stream that would be
// answered late after a longer wait is refused, so that capacity goes to streams that can
// still be answered in time.
func (d *Dispatcher) maxQueueWait(w *work.Work, now time.Time) time.Duration {
	const byDefault = 0.18 // fraction of the remaining time, for routes without an objective
	objective := w.Route.Target
	if objective <= 0 {
		objective = time.Duration(byDefault * float64(w.Deadline.Sub(now)))
	}
	return time.Duration(d.cfg.QueueWaitShare * float64(objective))
}

// queueRefusal returns the refusal of a stream that could not start in time. The retry time
// follows from the length of the queue, but callers wait at most a third of their remaining
// time.
func (d *Dispatcher) queueRefusal(s *stream, refusal *result.Error) *result.Error {
	const maxWaitDivisor = 3
	remaining := s.w.Deadline.Sub(d.timer.Now())
	after := max(min(refusal.RetryAfter, remaining/maxWaitDivisor), d.cfg.MinRetryAfter)
	return d.refuse(&s.attempts, refusal.Code, refusal.Detail).After(after)
}

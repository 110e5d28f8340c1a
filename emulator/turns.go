package emulator

import (
	"time"

	"crocuslug/admission"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/line"
	"crocuslug/routing"
)

// Limits of queueing and retries. Those of instances are the values of package
// dispatch, those of callers the values of the platform's data sheets.
const (
	maxBacklog     = 1500 * time.Millisecond // backlog of an engine above which requests are queued
	queueWaitShare = 0.65                    // part of the objective that a request may spend in the queue
	maxRetries     = 1                       // retries of a refused caller
	maxRetryAfter  = 8 * time.Second         // longest Retry-After that a caller observes
	lateWait       = 10 * time.Second        // time for which a stream that is late anyway may wait in the queue
)

// newQueue gives an instance an empty queue.
func (em *Emulator) newQueue(in *instance) {
	in.queue = line.New(admission.Settings{MaxItems: 128, MaxCost: 1e9, Seed: em.random.Uint64()}, func(ident.Workspace) admission.Limits { return admission.Limits{} })
	in.queue.Capacity = func(now time.Time) (admission.Priority, bool) { return admission.Batch, in.fleet.Ready(service, now) }
	in.queue.TryPlace = func(t *line.Waiter, now time.Time) bool {
		r := t.Request.(*request)
		ask := em.pickRequest(r)
		ask.RequireIdle = true
		u, kind := in.fleet.Pick(ask, now)
		if kind != routing.Send {
			return false
		}
		r.assigned, r.nextAction = em.engineByID(u.ID), now
		in.queue.Admission.Finish(t.ID, t.Cost)
		in.queue.Resolve(t, line.Outcome{})
		return true
	}
}

// mustQueue reports whether a request must wait in the queue before it is sent.
func (em *Emulator) mustQueue(r *request) bool {
	return em.policy != FleetWithoutQueue && em.usesFleet() && (r.events == 0 || r.takenUp) && r.assigned == nil && !r.waiting && r.copyEngine == nil
}

// admit assigns an engine to a new request or queues it. It reports whether the request may be sent now.
func (em *Emulator) admit(r *request) bool {
	priority, wait := admission.Normal, time.Duration(queueWaitShare*float64(em.scenario.MaxFirstEvent))
	late := r.takenUp && em.policy != FleetLateAsNew
	if late {
		priority, wait = admission.Batch, lateWait
	}
	if r.instance.queue.Admission.WaitingDownTo(priority) == 0 {
		ask := em.pickRequest(r)
		ask.MaxBacklog, ask.RequireIdle = maxBacklog, late
		u, kind := r.instance.fleet.Pick(ask, em.now)
		if kind == routing.Send {
			r.assigned = em.engineByID(u.ID)
		}
		if kind != routing.Wait {
			return true
		}
	}
	t, refusal := r.instance.queue.Enqueue(admission.Item{
		ID: ident.Generation(incarnationID(&engine{number: r.id}, r.refusals)), Priority: priority, Cost: float64(em.scenario.PromptTokens),
		Deadline: em.now.Add(wait),
	}, r, em.now)
	if refusal != nil {
		em.scheduleRetry(r, refusal.RetryAfter)
		return false
	}
	r.waiter, r.nextAction = t, time.Time{}
	return false
}

// handleOutcome handles the outcome of a queued request, and disconnects a caller that waited too
// long for an event.
func (em *Emulator) handleOutcome(r *request) {
	if r.waiter != nil {
		if v, ok := r.waiter.Poll(); ok {
			r.waiter = nil
			if v.Err != nil {
				em.scheduleRetry(r, v.Err.RetryAfter)
			}
		}
	}
	if em.scenario.CallerTimeout <= 0 || r.done() || em.now.Sub(r.lastEvent) < em.scenario.CallerTimeout {
		return
	}
	r.disconnected = true
	if r.engine != nil {
		em.endRun(r, fleet.Abandoned)
	}
}

// scheduleRetry schedules the retry of a refused request, if its caller has a retry left.
func (em *Emulator) scheduleRetry(r *request, after time.Duration) {
	r.refusals++
	r.nextAction = time.Time{}
	if r.refusals <= maxRetries {
		r.nextAction = em.now.Add(min(after, maxRetryAfter))
	}
}

// done reports whether the request is finished, abandoned or finally refused.
func (r *request) done() bool { return r.finished || r.disconnected || r.refusals > maxRetries }

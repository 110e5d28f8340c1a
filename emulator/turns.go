package emulator

import (
	"time"

	"crocuslug/admission"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/line"
	"crocuslug/routing"
)

// What instances and callers do about turns, as in dispatch and on the sheets.
const (
	mostBacklog = 1500 * time.Millisecond
	waitShare   = 0.65 // of the objective
	mostReturns = 1
	mostHeeded  = 8 * time.Second
)

// newLine gives an instance an empty line.
func (em *Emulator) newLine(in *instance) {
	in.line = line.New(admission.Settings{MaxItems: 128, MaxCost: 1e9, Seed: em.random.Uint64()}, func(ident.Workspace) admission.Limits { return admission.Limits{} })
	in.line.Capacity = func(now time.Time) (admission.Priority, bool) { return admission.Batch, in.fleet.Ready(service, now) }
	in.line.TryPlace = func(t *line.Waiter, now time.Time) bool {
		r := t.Request.(*request)
		ask := em.ask(r)
		ask.RequireIdle = true
		u, kind := in.fleet.Pick(ask, now)
		if kind != routing.Send {
			return false
		}
		r.place, r.next = em.byKnown(u.ID), now
		in.line.Admission.Finish(t.ID, t.Cost)
		in.line.Resolve(t, line.Outcome{})
		return true
	}
}

// queues reports whether a request needs a turn.
func (em *Emulator) queues(r *request) bool {
	return em.rule != Crowding && em.own() && r.made == 0 && r.place == nil && !r.waits && r.copyAt == nil
}

// admit finds the engine of a new request, or lets it wait for its turn.
func (em *Emulator) admit(r *request) bool {
	if n, _ := r.in.line.Admission.Len(); n == 0 {
		ask := em.ask(r)
		ask.MaxBacklog = mostBacklog
		u, kind := r.in.fleet.Pick(ask, em.now)
		if kind == routing.Send {
			r.place = em.byKnown(u.ID)
		}
		if kind != routing.Wait {
			return true
		}
	}
	t, refusal := r.in.line.Enqueue(admission.Item{
		ID: ident.Generation(lifeID(&engine{number: r.id}, r.back)), Priority: admission.Normal, Cost: float64(em.shape.Prompt),
		Deadline: em.now.Add(time.Duration(waitShare * float64(em.shape.Objective))),
	}, r, em.now)
	if refusal != nil {
		em.sendBack(r, refusal.RetryAfter)
		return false
	}
	r.ticket, r.next = t, time.Time{}
	return false
}

// heed takes in what became of a request that waits, and lets callers leave.
func (em *Emulator) heed(r *request) {
	if r.ticket != nil {
		if v, ok := r.ticket.Poll(); ok {
			r.ticket = nil
			if v.Err != nil {
				em.sendBack(r, v.Err.RetryAfter)
			}
		}
	}
	if em.shape.Leaves <= 0 || r.over() || em.now.Sub(r.last) < em.shape.Leaves {
		return
	}
	r.left = true
	if r.at != nil {
		em.leave(r, fleet.Abandoned)
	}
}

// sendBack has a refused caller come back, if it has not been back before.
func (em *Emulator) sendBack(r *request, after time.Duration) {
	r.back++
	r.next = time.Time{}
	if r.back <= mostReturns {
		r.next = em.now.Add(min(after, mostHeeded))
	}
}

// over reports whether nothing more becomes of a request.
func (r *request) over() bool { return r.ended || r.left || r.back > mostReturns }

package emulator

import (
	"time"

	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/work"
)

// step lets all engines go on.
func (em *Emulator) step() {
	for _, e := range em.engines {
		before := e.reading()
		for _, u := range e.step(em.now) {
			em.leave(u.r, fleet.Served)
		}
		if e.reading() == before {
			continue
		}
		for _, u := range e.runs {
			if u.left == 0 {
				em.begun(u.r)
			}
		}
	}
}

// begun notes that the prompt of a request is read, or given up.
func (em *Emulator) begun(r *request) {
	r.in.fleet.AddUnreadTokens(lifeID(r.at, r.life), -r.unread, em.now)
	r.unread = 0
	r.in.line.Grant(em.now)
}

// event takes one event to the caller and reports whether it was the last.
func (r *request) event(now time.Time) bool {
	limit := r.shape.Pause
	if r.made == 0 {
		limit = r.shape.Objective
		r.first = now.Sub(r.began)
	}
	r.pause = max(r.pause, now.Sub(r.last))
	r.late = r.late || now.Sub(r.last) > limit
	r.last = now
	r.made++
	r.ended = r.made >= r.shape.Pieces
	return r.ended
}

// tell passes digests and reports on.
func (em *Emulator) tell() {
	if em.now.Sub(em.start)%digestEvery != 0 {
		return
	}
	load := make(map[ident.Upstream]int)
	for _, e := range em.engines {
		load[e.id()] = len(e.runs)
	}
	em.reports = append(em.reports, load)
	if len(em.reports) > int(reportLag/digestEvery) {
		em.reports = em.reports[1:]
	}
	if !em.own() {
		return
	}
	for _, in := range em.instances {
		in.fleet.Tick(em.now)
		in.line.Expire(em.now)
		for _, r := range em.requests {
			if r.run != nil && r.in != in && r.in.domain == in.domain {
				in.fleet.NotePrompt(lifeID(r.at, r.life), em.prompt(r), em.now)
			}
		}
		sum := make(map[ident.Upstream]work.Load)
		for _, other := range em.instances {
			if other == in {
				continue
			}
			for id, n := range other.fleet.InFlight() {
				sum[id] = work.Load{Requests: sum[id].Requests + n.Requests, Reading: sum[id].Reading + n.Reading}
			}
			for _, id := range other.fleet.FoundDead(em.now) {
				in.fleet.ReportPeerLoss(id, em.now)
			}
		}
		in.fleet.ReportPeerLoads(sum, em.now)
	}
	em.copyAnew()
}

package emulator

import (
	"time"

	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/work"
)

// step advances all engines by one tick.
func (em *Emulator) step() {
	for _, e := range em.engines {
		before := e.promptsBeingRead()
		for _, u := range e.step(em.now) {
			em.endRun(u.request, fleet.Served)
		}
		if e.promptsBeingRead() == before {
			continue
		}
		for _, u := range e.runs {
			if u.unreadTokens == 0 {
				em.clearUnread(u.request)
			}
		}
	}
}

// clearUnread removes the tokens of a request from its engine's count of unread
// tokens, after the prompt was read or the run ended.
func (em *Emulator) clearUnread(r *request) {
	r.instance.fleet.AddUnreadTokens(incarnationID(r.engine, r.incarnation), -r.unreadTokens, em.now)
	r.unreadTokens = 0
	r.instance.queue.Grant(em.now)
}

// deliverEvent delivers one event to the caller and reports whether it was the last.
func (r *request) deliverEvent(now time.Time) bool {
	limit := r.scenario.MaxPause
	if r.events == 0 {
		limit = r.scenario.MaxFirstEvent
		r.firstEventAfter = now.Sub(r.arrived)
	}
	r.longestPause = max(r.longestPause, now.Sub(r.lastEvent))
	r.late = r.late || now.Sub(r.lastEvent) > limit
	r.lastEvent = now
	r.events++
	r.finished = r.events >= r.scenario.Events
	return r.finished
}

// exchangeDigests publishes load reports and exchanges digests between instances, every digestInterval.
func (em *Emulator) exchangeDigests() {
	if em.now.Sub(em.start)%digestInterval != 0 {
		return
	}
	load := make(map[ident.Upstream]int)
	for _, e := range em.engines {
		load[e.id()] = len(e.runs)
	}
	em.loadReports = append(em.loadReports, load)
	if len(em.loadReports) > int(loadReportAge/digestInterval) {
		em.loadReports = em.loadReports[1:]
	}
	if !em.usesFleet() {
		return
	}
	for _, in := range em.instances {
		in.fleet.Tick(em.now)
		in.queue.Expire(em.now)
		for _, r := range em.requests {
			if r.run != nil && r.instance != in && r.instance.domain == in.domain {
				in.fleet.NotePrompt(incarnationID(r.engine, r.incarnation), em.promptBlocks(r), em.now)
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
	em.replaceLostCopies()
}

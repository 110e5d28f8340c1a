package emulator

import (
	"slices"
	"time"

	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/prefix"
	"crocuslug/routing"
)

// copySpare is the part of an engine's room that must be free for a copy.
const copySpare = 0.35

// act lets instances send what is to be sent.
func (em *Emulator) act() {
	for _, r := range em.requests {
		em.heed(r)
		if r.run != nil && r.made == 0 && em.now.Sub(r.sent) >= firstPiece {
			em.leave(r, fleet.Failed)
			em.send(r)
			continue
		}
		if r.over() || r.next.IsZero() || em.now.Before(r.next) {
			continue
		}
		if r.at != nil {
			em.leave(r, fleet.Dead)
		}
		em.send(r)
	}
}

// leave takes a request off its engine.
func (em *Emulator) leave(r *request, k fleet.Outcome) {
	id := lifeID(r.at, r.life)
	em.begun(r)
	r.in.fleet.ReportEnd(id, k, 0, em.now)
	if r.run != nil {
		r.at.remove(r.run)
	}
	if r.copyAt != nil {
		r.in.fleet.Release(lifeID(r.copyAt, r.copyOf), em.now)
	}
	r.at, r.run = nil, nil
}

func lifeID(e *engine, life int) ident.Upstream {
	c := *e
	c.life = life
	return c.id()
}

// send starts or continues a request at an engine.
func (em *Emulator) send(r *request) {
	if em.queues(r) && !em.admit(r) {
		return
	}
	e, fromCopy := em.choose(r)
	if e == nil {
		r.waits = true
		r.next = em.now.Add(waitPoll)
		return
	}
	r.waits = false
	r.at, r.life = e, e.life
	r.copyAt = nil
	if e.down {
		r.next = em.now.Add(refusedFound)
		if e.dark {
			r.next = em.now.Add(unansweredFor)
		}
		return
	}
	left := em.shape.Prompt + r.made*pieceTokens
	switch {
	case fromCopy:
		left = pieceTokens
	case slices.Contains(e.read, r.prompt):
		left = max(pieceTokens, r.made*pieceTokens)
	}
	em.figures.Read += left
	r.run = &run{r: r, left: left}
	e.runs = append(e.runs, r.run)
	r.next = time.Time{}
	em.figures.MostReads = max(em.figures.MostReads, e.reading())
	r.sent = em.now
	if em.own() {
		if !fromCopy {
			r.unread = em.shape.Prompt // counted by the choice
		}
		em.backUp(r)
	}
}

// own reports whether instances choose by the project's own rule.
func (em *Emulator) own() bool { return em.rule <= Crowding }

// prompt returns the name of a request's prompt.
func (em *Emulator) prompt(r *request) []prefix.Block {
	if em.rule == Unaware {
		return nil
	}
	return []prefix.Block{prefix.Block(r.prompt)}
}

// backUp chooses where the copy of a run is kept.
func (em *Emulator) backUp(r *request) {
	ask := fleet.PickRequest{Service: service, ExcludeDomain: domainName(r.at.domain), MinFreeShare: copySpare}
	u, kind := r.in.fleet.Pick(ask, em.now)
	if kind != routing.Send {
		return
	}
	if e := em.byID[u.ID]; e != nil {
		r.copyAt, r.copyOf = e, e.life
	}
}

// copyAnew has runs copied to another engine whose copy is known to be lost.
func (em *Emulator) copyAnew() {
	for _, r := range em.requests {
		if r.run == nil || r.made == 0 || r.at.down || r.copyAt != nil && !r.in.fleet.MemoryLost(lifeID(r.copyAt, r.copyOf), em.now) {
			continue
		}
		if r.copyAt != nil {
			r.in.fleet.Release(lifeID(r.copyAt, r.copyOf), em.now)
			r.copyAt = nil
		}
		em.backUp(r)
	}
}

// choose returns the engine for a request by the rule.
func (em *Emulator) choose(r *request) (e *engine, fromCopy bool) {
	if e := r.place; e != nil {
		r.place = nil
		return e, false
	}
	switch em.rule {
	case Random:
		return em.byKnown(em.known[em.random.IntN(len(em.known))].ID), false
	case Least:
		return em.least(), false
	case Bound:
		return em.byKnown(em.known[r.prompt%len(em.known)].ID), false
	case Home:
		return em.byKnown(em.home(r.in.domain)), false
	}
	if c := r.copyAt; c != nil && r.made > 0 && !c.down && c.life == r.copyOf {
		if _, ok := r.in.fleet.Reserve(c.id(), em.now); ok {
			return c, true
		}
	}
	ask := em.ask(r)
	ask.RequireIdle = r.waits && em.rule != Rushing
	u, kind := r.in.fleet.Pick(ask, em.now)
	if kind != routing.Send {
		ask.AllowFull = true
		u, kind = r.in.fleet.Pick(ask, em.now)
	}
	if kind != routing.Send {
		return nil, false
	}
	return em.byKnown(u.ID), false
}

// ask returns what an instance asks of its fleet for a request.
func (em *Emulator) ask(r *request) fleet.PickRequest {
	return fleet.PickRequest{
		Service: service, Tokens: em.shape.Prompt + em.shape.Pieces*pieceTokens,
		Blocks: em.prompt(r), Sizes: []int{em.shape.Prompt}, UnreadTokens: em.shape.Prompt,
	}
}

// byKnown returns the engine that has or had an id.
func (em *Emulator) byKnown(id ident.Upstream) *engine {
	if e := em.byID[id]; e != nil {
		return e
	}
	for _, e := range em.engines {
		for life := range e.life {
			if lifeID(e, life) == id {
				return e
			}
		}
	}
	return nil
}

// least returns the engine with the least load in the report of a while ago.
func (em *Emulator) least() *engine {
	var load map[ident.Upstream]int
	if len(em.reports) > 0 {
		load = em.reports[0]
	}
	best := em.known[0].ID
	for _, u := range em.known {
		if load[u.ID] < load[best] {
			best = u.ID
		}
	}
	return em.byKnown(best)
}

// home returns any registered engine of a failure domain, or of all if it has none.
func (em *Emulator) home(domain int) ident.Upstream {
	var near []ident.Upstream
	for _, u := range em.known {
		if u.Domain == domainName(domain) {
			near = append(near, u.ID)
		}
	}
	if len(near) == 0 {
		return em.known[em.random.IntN(len(em.known))].ID
	}
	return near[em.random.IntN(len(near))]
}

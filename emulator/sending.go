package emulator

import (
	"slices"
	"time"

	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/prefix"
	"crocuslug/routing"
)

// copyMinFreeShare is the share of an engine's memory that must be free for it to receive a copy.
const copyMinFreeShare = 0.35

// sendDue sends the requests that are due and retries those whose engine failed.
func (em *Emulator) sendDue() {
	for _, r := range em.requests {
		em.handleOutcome(r)
		if r.run != nil && r.events == 0 && em.now.Sub(r.sent) >= firstEventTimeout {
			em.endRun(r, fleet.Failed)
			em.send(r)
			continue
		}
		if r.done() || r.nextAction.IsZero() || em.now.Before(r.nextAction) {
			continue
		}
		if r.engine != nil {
			em.endRun(r, fleet.Dead)
		}
		em.send(r)
	}
}

// endRun ends the run of a request at its engine and releases its copy.
func (em *Emulator) endRun(r *request, outcome fleet.Outcome) {
	id := incarnationID(r.engine, r.incarnation)
	em.clearUnread(r)
	r.instance.fleet.ReportEnd(id, outcome, 0, em.now)
	if r.run != nil {
		r.engine.remove(r.run)
	}
	if r.copyEngine != nil {
		r.instance.fleet.Release(incarnationID(r.copyEngine, r.copyIncarnation), em.now)
	}
	r.engine, r.run = nil, nil
}

// incarnationID returns the upstream id that engine e has in the given incarnation.
func incarnationID(e *engine, incarnation int) ident.Upstream {
	c := *e
	c.incarnation = incarnation
	return c.id()
}

// send starts or continues a request at an engine, or queues it.
func (em *Emulator) send(r *request) {
	if em.mustQueue(r) && !em.admit(r) {
		return
	}
	e, fromCopy := em.choose(r)
	if e == nil {
		r.waiting = true
		r.nextAction = em.now.Add(waitPollInterval)
		return
	}
	r.waiting = false
	r.engine, r.incarnation = e, e.incarnation
	r.copyEngine = nil
	if e.down {
		r.nextAction = em.now.Add(connectionRefusal)
		if e.silent {
			r.nextAction = em.now.Add(connectionTimeout)
		}
		return
	}
	unread := em.scenario.PromptTokens + r.events*tokensPerEvent
	switch {
	case fromCopy:
		unread = tokensPerEvent
	case slices.Contains(e.cachedPrompts, r.prompt):
		unread = max(tokensPerEvent, r.events*tokensPerEvent)
	}
	em.figures.PromptTokensRead += unread
	r.run = &run{request: r, unreadTokens: unread}
	e.runs = append(e.runs, r.run)
	r.nextAction = time.Time{}
	em.figures.MaxConcurrentReads = max(em.figures.MaxConcurrentReads, e.promptsBeingRead())
	r.sent = em.now
	if em.usesFleet() {
		if !fromCopy {
			r.unreadTokens = em.scenario.PromptTokens // Pick has added these tokens to the engine's unread tokens
		}
		em.chooseCopy(r)
	}
}

// usesFleet reports whether instances choose with the project's fleet package.
func (em *Emulator) usesFleet() bool { return em.policy <= FleetWithoutQueue }

// promptBlocks returns the prefix blocks that identify the prompt of a request.
func (em *Emulator) promptBlocks(r *request) []prefix.Block {
	if em.policy == FleetWithoutPrompts {
		return nil
	}
	return []prefix.Block{prefix.Block(r.prompt)}
}

// chooseCopy chooses the engine that holds the copy of a run, in another failure domain.
func (em *Emulator) chooseCopy(r *request) {
	ask := fleet.PickRequest{Service: service, ExcludeDomain: domainName(r.engine.domain), MinFreeShare: copyMinFreeShare}
	u, kind := r.instance.fleet.Pick(ask, em.now)
	if kind != routing.Send {
		return
	}
	if e := em.byID[u.ID]; e != nil {
		r.copyEngine, r.copyIncarnation = e, e.incarnation
	}
}

// replaceLostCopies chooses a copy engine for each run that has none or whose copy is known to be lost.
func (em *Emulator) replaceLostCopies() {
	for _, r := range em.requests {
		if r.run == nil || r.events == 0 || r.engine.down || r.copyEngine != nil && !r.instance.fleet.MemoryLost(incarnationID(r.copyEngine, r.copyIncarnation), em.now) {
			continue
		}
		if r.copyEngine != nil {
			r.instance.fleet.Release(incarnationID(r.copyEngine, r.copyIncarnation), em.now)
			r.copyEngine = nil
		}
		em.chooseCopy(r)
	}
}

// choose returns the engine for a request by the policy, nil if there is none, and whether the run
// continues from a copy there.
func (em *Emulator) choose(r *request) (e *engine, fromCopy bool) {
	if e := r.assigned; e != nil {
		r.assigned = nil
		return e, false
	}
	switch em.policy {
	case Random:
		return em.engineByID(em.registered[em.random.IntN(len(em.registered))].ID), false
	case LeastLoaded:
		return em.leastLoaded(), false
	case PromptHash:
		return em.engineByID(em.registered[r.prompt%len(em.registered)].ID), false
	case SameDomain:
		return em.engineByID(em.sameDomain(r.instance.domain)), false
	}
	if c := r.copyEngine; c != nil && r.events > 0 && !c.down && c.incarnation == r.copyIncarnation {
		if _, ok := r.instance.fleet.Reserve(c.id(), em.now); ok {
			return c, true
		}
	}
	ask := em.pickRequest(r)
	ask.RequireIdle = r.waiting && em.policy != FleetRushingReturns
	u, kind := r.instance.fleet.Pick(ask, em.now)
	if kind != routing.Send {
		ask.AllowFull = true
		u, kind = r.instance.fleet.Pick(ask, em.now)
	}
	if kind != routing.Send {
		return nil, false
	}
	return em.engineByID(u.ID), false
}

// pickRequest returns the parameters with which an instance has its fleet choose an engine for r.
func (em *Emulator) pickRequest(r *request) fleet.PickRequest {
	return fleet.PickRequest{
		Service: service, Tokens: em.scenario.PromptTokens + em.scenario.Events*tokensPerEvent,
		Blocks: em.promptBlocks(r), Sizes: []int{em.scenario.PromptTokens}, UnreadTokens: em.scenario.PromptTokens,
	}
}

// engineByID returns the engine that has or had the given id in any incarnation.
func (em *Emulator) engineByID(id ident.Upstream) *engine {
	if e := em.byID[id]; e != nil {
		return e
	}
	for _, e := range em.engines {
		for incarnation := range e.incarnation {
			if incarnationID(e, incarnation) == id {
				return e
			}
		}
	}
	return nil
}

// leastLoaded returns the engine with the lowest load in the oldest load report kept.
func (em *Emulator) leastLoaded() *engine {
	var load map[ident.Upstream]int
	if len(em.loadReports) > 0 {
		load = em.loadReports[0]
	}
	best := em.registered[0].ID
	for _, u := range em.registered {
		if load[u.ID] < load[best] {
			best = u.ID
		}
	}
	return em.engineByID(best)
}

// sameDomain returns any registered engine of a failure domain, or any engine at all if it has none.
func (em *Emulator) sameDomain(domain int) ident.Upstream {
	var near []ident.Upstream
	for _, u := range em.registered {
		if u.Domain == domainName(domain) {
			near = append(near, u.ID)
		}
	}
	if len(near) == 0 {
		return em.registered[em.random.IntN(len(em.registered))].ID
	}
	return near[em.random.IntN(len(near))]
}

package emulator

import (
	"time"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/fleet"
	"crocuslug/ident"
)

// restart gives an instance an empty fleet and an empty queue, as after a start.
func (em *Emulator) restart(in *instance) {
	in.fleet = fleet.New(fleet.Settings{Self: in.name, Domain: domainName(in.domain)}, em.random.Uint64, zerolog.Nop())
	var domains []ident.Domain
	var near []ident.Instance
	for d := range em.scenario.Domains {
		domains = append(domains, domainName(d))
	}
	for _, other := range em.instances {
		if other.domain == in.domain {
			near = append(near, other.name)
		}
	}
	in.fleet.SetInstances(domains, near)
	em.newQueue(in)
}

// applyLosses takes down the engines whose loss is due and starts them again, under new ids, once
// their outage is over.
func (em *Emulator) applyLosses() {
	for len(em.losses) > 0 && em.now.Sub(em.start) >= em.losses[0].At {
		l := em.losses[0]
		em.losses = em.losses[1:]
		for _, e := range em.engines {
			if !l.AllDomains && e.domain != l.Domain {
				continue
			}
			e.down, e.silent, e.returnsAt = true, l.Silent, em.now.Add(l.Duration)
			if l.ReturnSpread > 0 {
				e.returnsAt = e.returnsAt.Add(time.Duration(em.random.Int64N(int64(l.ReturnSpread))))
			}
			for _, u := range e.runs {
				u.request.scheduleDetection(em.now, e, u)
			}
			e.runs, e.cachedPrompts = nil, nil
		}
	}
	for _, e := range em.engines {
		if e.down && !em.now.Before(e.returnsAt) {
			delete(em.byID, e.id())
			e.down, e.incarnation = false, e.incarnation+1
			em.byID[e.id()] = e
			em.publishAt = em.now.Add(registryLag)
		}
	}
	if !em.publishAt.IsZero() && !em.now.Before(em.publishAt) {
		em.publishEngines()
	}
}

// applyInstanceKills restarts the first instance of each failure domain when a kill
// is due. Its callers retry at the last instance of the same failure domain.
func (em *Emulator) applyInstanceKills() {
	if len(em.scenario.InstanceKills) == 0 || em.now.Sub(em.start) < em.scenario.InstanceKills[0] {
		return
	}
	em.scenario.InstanceKills = em.scenario.InstanceKills[1:]
	for i := 0; i < len(em.instances); i += em.scenario.Instances {
		in, next := em.instances[i], em.instances[i+em.scenario.Instances-1]
		for _, r := range em.requests {
			if r.instance != in || r.finished {
				continue
			}
			if r.run != nil {
				r.engine.remove(r.run)
			}
			r.engine, r.run, r.copyEngine, r.unreadTokens = nil, nil, nil, 0
			r.instance, r.nextAction = next, em.now.Add(callerRetryDelay)
		}
		em.restart(in)
		em.setUpstreams(in)
	}
}

// applyRestart starts all instances again when that is due. Their callers retry at any of them.
func (em *Emulator) applyRestart() {
	if em.scenario.RestartAt <= 0 || em.now.Sub(em.start) < em.scenario.RestartAt {
		return
	}
	em.scenario.RestartAt = 0
	for _, r := range em.requests {
		if r.done() {
			continue
		}
		if r.run != nil {
			r.engine.remove(r.run)
		}
		r.engine, r.run, r.copyEngine, r.unreadTokens, r.waiter, r.assigned = nil, nil, nil, 0, nil, nil
		r.waiting, r.takenUp = false, r.events > 0
		r.instance, r.nextAction = em.instances[em.random.IntN(len(em.instances))], em.now.Add(callerRetryDelay)
	}
	for _, in := range em.instances {
		em.restart(in)
		em.setUpstreams(in)
	}
}

// scheduleDetection sets the time at which the instance of r detects that run u at engine e is lost.
func (r *request) scheduleDetection(now time.Time, e *engine, u *run) {
	switch {
	case !e.silent:
		r.nextAction = now.Add(resetDetection)
	case u.unreadTokens > 0:
		r.nextAction = now.Add(probeDetection)
	default:
		r.nextAction = r.lastEvent.Add(silenceDetection)
	}
}

// publishEngines publishes the current list of engines to all instances.
func (em *Emulator) publishEngines() {
	em.publishAt = time.Time{}
	em.revision++
	em.registered = em.registered[:0:0]
	for _, e := range em.engines {
		em.registered = append(em.registered, directory.Upstream{
			ID: e.id(), Service: service, Address: string(e.id()), Domain: domainName(e.domain), Slots: 64, Revision: em.revision,
		})
	}
	for _, in := range em.instances {
		em.setUpstreams(in)
	}
}

func (em *Emulator) setUpstreams(in *instance) {
	in.fleet.SetUpstreams(em.registered, func(ident.Service) int { return em.scenario.CacheTokens }, em.now)
}

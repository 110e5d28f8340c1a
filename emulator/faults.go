package emulator

import (
	"time"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/fleet"
	"crocuslug/ident"
)

// restart lets an instance begin without belief.
func (em *Emulator) restart(in *instance) {
	in.fleet = fleet.New(fleet.Settings{Self: in.name, Domain: domainName(in.domain)}, em.random.Uint64, zerolog.Nop())
	var domains []ident.Domain
	var near []ident.Instance
	for d := range em.shape.Domains {
		domains = append(domains, domainName(d))
	}
	for _, other := range em.instances {
		if other.domain == in.domain {
			near = append(near, other.name)
		}
	}
	in.fleet.SetInstances(domains, near)
	em.newLine(in)
}

// lose takes engines down and brings them back under new ids.
func (em *Emulator) lose() {
	for len(em.losses) > 0 && em.now.Sub(em.start) >= em.losses[0].At {
		l := em.losses[0]
		em.losses = em.losses[1:]
		for _, e := range em.engines {
			if !l.All && e.domain != l.Domain {
				continue
			}
			e.down, e.dark, e.back = true, l.Dark, em.now.Add(l.For)
			if l.Spread > 0 {
				e.back = e.back.Add(time.Duration(em.random.Int64N(int64(l.Spread))))
			}
			for _, u := range e.runs {
				u.r.lostAt(em.now, e, u)
			}
			e.runs, e.read = nil, nil
		}
	}
	for _, e := range em.engines {
		if e.down && !em.now.Before(e.back) {
			delete(em.byID, e.id())
			e.down, e.life = false, e.life+1
			em.byID[e.id()] = e
			em.publish = em.now.Add(registryLag)
		}
	}
	if !em.publish.IsZero() && !em.now.Before(em.publish) {
		em.register()
	}
}

// kill takes down the first instance of each failure domain when it is time. It
// starts again with no belief, and its callers go on at the next one.
func (em *Emulator) kill() {
	if len(em.shape.Kills) == 0 || em.now.Sub(em.start) < em.shape.Kills[0] {
		return
	}
	em.shape.Kills = em.shape.Kills[1:]
	for i := 0; i < len(em.instances); i += em.shape.Instances {
		in, next := em.instances[i], em.instances[i+em.shape.Instances-1]
		for _, r := range em.requests {
			if r.in != in || r.ended {
				continue
			}
			if r.run != nil {
				r.at.remove(r.run)
			}
			r.at, r.run, r.copyAt, r.unread = nil, nil, nil, 0
			r.in, r.next = next, em.now.Add(returnAfter)
		}
		em.restart(in)
		em.tellUpstreams(in)
	}
}

// lostAt notes when the instance of a request finds out that its run is lost.
func (r *request) lostAt(now time.Time, e *engine, u *run) {
	switch {
	case !e.dark:
		r.next = now.Add(resetFound)
	case u.left > 0:
		r.next = now.Add(probeFound)
	default:
		r.next = r.last.Add(silenceFound)
	}
}

// register tells all instances which engines there are.
func (em *Emulator) register() {
	em.publish = time.Time{}
	em.revision++
	em.known = em.known[:0:0]
	for _, e := range em.engines {
		em.known = append(em.known, directory.Upstream{
			ID: e.id(), Service: service, Address: string(e.id()), Domain: domainName(e.domain), Slots: 64, Revision: em.revision,
		})
	}
	for _, in := range em.instances {
		em.tellUpstreams(in)
	}
}

func (em *Emulator) tellUpstreams(in *instance) {
	in.fleet.SetUpstreams(em.known, func(ident.Service) int { return em.shape.Memory }, em.now)
}

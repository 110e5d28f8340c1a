package edge

import (
	"time"

	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/work"
)

// demand returns the demand of this instance for the memory of engines, or nil if that is not counted.
func (e *Edge) demand(now time.Time) map[ident.Service]work.Demand {
	if !e.cfg.Admission.ByMemory {
		return nil
	}
	return e.fleet.Demand(now)
}

// sumOthers returns what this instance knows of the others. The caller holds e.mu.
func (e *Edge) sumOthers(now time.Time) fleet.Others {
	o := fleet.Others{Live: 1, Heard: 1, Demand: make(map[ident.Service]work.Demand)}
	near, far := 0, 0
	for _, p := range e.peers {
		if !e.peerAlive(p, now) {
			continue
		}
		o.Live++
		if p.inFlight != nil && now.Sub(p.lastDigest) <= peerExpiry {
			o.Heard++
		}
		if p.domain == e.cfg.Domain {
			near++
		} else {
			far++
		}
		for s, d := range p.demand {
			o.Demand[s] = o.Demand[s].Plus(d)
		}
	}
	o.NearAge = reportAge(near, nearDigests)
	o.ReportAge = max(o.NearAge, reportAge(far, farDigests))
	return o
}

// reportAge returns the greatest usual age of the load of peers, of which n others each send a number
// of digests in each interval, with one interval for the way.
func reportAge(n, digests int) time.Duration {
	if n == 0 {
		return 0
	}
	rounds := (n + digests - 1) / digests
	return min(time.Duration(rounds+1)*digestInterval, peerExpiry)
}

// reportOthers passes on what this instance knows of the others.
func (e *Edge) reportOthers(o fleet.Others, now time.Time) {
	if e.cfg.Admission.ByMemory {
		e.fleet.ReportOthers(o, now)
	}
}

// agedReadRate is the rate in tokens per second at which the prompts of a peer count as read since its
// last digest: half of the rate of an engine, which may read those of others as well. Without it, an
// engine in the share of this instance would count as reading a prompt for seconds after it has read it.
const agedReadRate = 2500

// aged returns the load of a peer some time after its digest.
func (e *Edge) aged(n work.Load, age time.Duration) work.Load {
	if !e.cfg.Admission.ByMemory {
		return n
	}
	return n.Aged(agedReadRate, age)
}

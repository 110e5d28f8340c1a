package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"crocuslug/ident"
)

// negligible is the fraction of a limit below which amounts are treated as zero.
const negligible = 1e-6

// account is an instance's share of one workspace's limit. Amounts are fractions
// of the limit unless noted otherwise.
type account struct {
	demand      float64 // smoothed demand at this instance
	tickDemand  float64 // demand since the last tick, in tokens
	balances    map[ident.Instance]*balance
	exchanged   bool    // share was given to or received from a peer at some time
	netBorrowed float64 // total borrowed minus total lent
	lent        float64 // total lent to peers
}

// balance records the shares exchanged with one peer. The totals given, received
// and acknowledged never decrease.
type balance struct {
	given        float64
	received     float64
	acknowledged float64   // total that the peer reports as received
	demand       float64   // last demand reported by the peer
	removedAt    time.Time // when the peer was removed from the members; zero if it is a member
}

// net returns the amount received from the peer minus the amount given to it, or 0
// if the peer is not a member.
func (p *balance) net() float64 {
	if !p.removedAt.IsZero() {
		return 0
	}
	return p.received - p.given
}

// settled reports whether nothing is lent, borrowed or in transit to the peer.
func (p *balance) settled() bool {
	return math.Abs(p.net()) < negligible && p.given-p.acknowledged < negligible
}

// balance returns the balance with a peer and creates it if needed.
func (a *account) balance(name ident.Instance) *balance {
	p, ok := a.balances[name]
	if !ok {
		p = &balance{}
		a.balances[name] = p
	}
	return p
}

// share returns the current share, given the base that is equal for all instances.
// It is negative if the base has become smaller than the amount lent.
func (a *account) share(base float64) float64 {
	return base + a.netBorrowed
}

// recomputeTotals recomputes the totals after a change. It adds in the order of names,
// so that rounding does not depend on the order of the map.
func (a *account) recomputeTotals() {
	a.netBorrowed, a.lent = 0, 0
	for _, name := range slices.Sorted(maps.Keys(a.balances)) {
		net := a.balances[name].net()
		a.netBorrowed += net
		a.lent += math.Max(0, -net)
	}
}

// give increases the total given to the peer of p.
func (a *account) give(p *balance, amount float64) {
	p.given += amount
	a.exchanged = true
	a.recomputeTotals()
}

// receive records the total that the peer of p reports as given. Lower totals come
// from old messages and are ignored.
func (a *account) receive(p *balance, given float64) {
	if given <= p.received {
		return
	}
	p.received = given
	a.exchanged = true
	a.recomputeTotals()
}

// transferable returns the amount that may be given to the peer of p: the amount
// borrowed from it, plus the part of the own base that is neither reserved nor
// lent. Share that a third instance lent is never passed on.
func (a *account) transferable(p *balance, base, reserve float64) float64 {
	own := math.Max(0, base*(1-reserve)-a.lent)
	return math.Max(0, p.net()) + own
}

// transferAmount returns the amount to give to the peer of p, which reported its
// demand and share in r. If the peer needs share, that is the idle share that it
// needs, or half of the amount that would equalize the ratios of share and demand on
// both sides, whichever is greater, up to the transferable amount.
func (a *account) transferAmount(p *balance, r Row, base float64, cfg Settings) float64 {
	share := a.share(base)
	wanted := cfg.Headroom * r.Demand
	idle := share - cfg.Headroom*a.demand
	give := math.Min(idle, wanted-r.Share)
	if total := a.demand + r.Demand; total > 0 {
		const weight = 0.5
		level := (share*r.Demand - r.Share*a.demand) / total
		if wanted > r.Share {
			give = math.Max(give, weight*level)
		}
	}
	give = math.Min(give, a.transferable(p, base, cfg.Reserve))
	return math.Max(0, math.Min(give, share))
}

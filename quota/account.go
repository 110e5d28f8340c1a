package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"crocuslug/ident"
)

// negligible is the part of a limit that is not worth moving.
const negligible = 1e-6

// account is what an instance holds of one workspace's limit.
type account struct {
	demand    float64 // part of the limit that it could use
	asked     float64 // demand since the last tick, in tokens
	pairs     map[ident.Instance]*pair
	exchanged bool    // share was ever given or taken
	sum       float64 // sum of what is borrowed less what is lent
	lent      float64 // part of the own base that peers hold
}

// pair is what an instance has exchanged with one peer.
type pair struct {
	given  float64
	taken  float64
	acked  float64   // what the peer says it has taken
	demand float64   // as last told by the peer
	gone   time.Time // when the peer ceased to be a member; zero if it is one
}

// net is positive if more was taken from the peer than was given to it.
func (p *pair) net() float64 {
	if !p.gone.IsZero() {
		return 0
	}
	return p.taken - p.given
}

// quiet tells whether nothing is lent, borrowed or under way.
func (p *pair) quiet() bool {
	return math.Abs(p.net()) < negligible && p.given-p.acked < negligible
}

func (a *account) pair(name ident.Instance) *pair {
	p, ok := a.pairs[name]
	if !ok {
		p = &pair{}
		a.pairs[name] = p
	}
	return p
}

// share returns what is held, of a base that is equal for all instances. It is
// negative if the base has shrunk below what is lent.
func (a *account) share(base float64) float64 {
	return base + a.sum
}

// recount computes the sums anew after a change, in the order of names.
func (a *account) recount() {
	a.sum, a.lent = 0, 0
	for _, name := range slices.Sorted(maps.Keys(a.pairs)) {
		net := a.pairs[name].net()
		a.sum += net
		a.lent += math.Max(0, -net)
	}
}

// give raises what was given to the peer of p.
func (a *account) give(p *pair, amount float64) {
	p.given += amount
	a.exchanged = true
	a.recount()
}

// take notes what the peer of p says it has ever given.
func (a *account) take(p *pair, given float64) {
	if given <= p.taken {
		return
	}
	p.taken = given
	a.exchanged = true
	a.recount()
}

// spare returns what may be given to the peer of p: what was borrowed from it,
// and what is left of the own base. What a third one lent is never passed on.
func (a *account) spare(p *pair, base, reserve float64) float64 {
	own := math.Max(0, base*(1-reserve)-a.lent)
	return math.Max(0, p.net()) + own
}

// offer returns what to give to a peer that told its demand and share.
func (a *account) offer(p *pair, r Row, base float64, cfg Settings) float64 {
	share := a.share(base)
	wanted := cfg.Headroom * r.Demand
	idle := share - cfg.Headroom*a.demand
	give := math.Min(idle, wanted-r.Share)
	if total := a.demand + r.Demand; total > 0 {
		const half = 0.5
		level := (share*r.Demand - r.Share*a.demand) / total
		if wanted > r.Share {
			give = math.Max(give, half*level)
		}
	}
	give = math.Min(give, a.spare(p, base, cfg.Reserve))
	return math.Max(0, math.Min(give, share))
}

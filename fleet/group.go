package fleet

import (
	"time"

	"crocuslug/directory"
	"crocuslug/health"
	"crocuslug/ident"
	"crocuslug/routing"
)

// group is the upstreams of one service.
type group struct {
	chooser *routing.Chooser
	tracker *health.Tracker
	memory  int     // tokens that one upstream holds; 0 means no bound
	tokens  float64 // mean size of a request; 0 until one was seen
	list    []directory.Upstream
	trials  map[ident.Upstream]bool      // whose next request is a trial
	resting map[ident.Upstream]time.Time // dead ones that failed one, and when; others are tried meanwhile
}

// set replaces the upstreams of a group. One that has restarted begins anew.
func (g *group) set(list []directory.Upstream, f *Fleet, restarted map[ident.Upstream]bool, now time.Time) {
	g.list = list
	var names, kept []ident.Upstream
	for _, u := range list {
		names = append(names, u.ID)
		if !restarted[u.ID] {
			kept = append(kept, u.ID)
		}
	}
	if len(kept) < len(names) {
		f.apply(g, g.tracker.SetUpstreams(kept, now), now)
		g.offerWithout(f, restarted)
	}
	g.offer(f)
	f.apply(g, g.tracker.SetUpstreams(names, now), now)
}

// offer tells the chooser which upstreams there are.
func (g *group) offer(f *Fleet) { g.offerWithout(f, nil) }

// offerWithout tells it, but for those left out.
func (g *group) offerWithout(f *Fleet, without map[ident.Upstream]bool) {
	var list []routing.Candidate
	own := g.share(f)
	for _, u := range g.list {
		if _, replaced := f.replaced[u.ID]; replaced || without[u.ID] {
			continue
		}
		list = append(list, routing.Candidate{
			Upstream: u.ID,
			Slots:    g.slots(u.Slots),
			Domain:   u.Domain,
			Leaving:  u.Draining,
			Near:     u.Domain == f.cfg.Domain,
			Own:      own[u.ID],
		})
	}
	g.chooser.SetCandidates(list)
}

// restFor is the time between two requests to an upstream while all are dead.
const restFor = 250 * time.Millisecond

// wake lets dead upstreams be tried that have rested.
func (g *group) wake(now time.Time) {
	for id, at := range g.resting {
		if now.Sub(at) >= restFor {
			delete(g.resting, id)
			g.chooser.SetOut(id, g.tracker.Out(id))
		}
	}
}

// share returns the upstreams that are this instance's share. Each failure domain
// has an equal one, since each has its callers, and its instances divide that.
func (g *group) share(f *Fleet) map[ident.Upstream]bool {
	names := make([]ident.Upstream, 0, len(g.list))
	for _, u := range g.list {
		names = append(names, u.ID)
	}
	names = routing.Subset(f.domains, f.cfg.Domain, names, part(len(names), len(f.domains)))
	names = routing.Subset(f.sharers, f.cfg.Self, names, part(len(names), len(f.sharers)))
	own := make(map[ident.Upstream]bool, len(names))
	for _, id := range names {
		own[id] = true
	}
	return own
}

// part returns the n-th part of a whole, rounded up.
func part(whole, n int) int {
	n = max(1, n)
	return (whole + n - 1) / n
}

// slots returns the requests that an upstream holds at once: its slots, or
// fewer if they would not fit its memory.
func (g *group) slots(told int) int {
	if g.memory <= 0 || g.tokens <= 0 {
		return told
	}
	fit := max(1, int(float64(g.memory)/g.tokens))
	if told <= 0 {
		return fit
	}
	return min(told, fit)
}

// meanWeight is the weight of one request in the running mean of sizes.
const meanWeight = 0.02

// learn takes in the size of a request. The chooser's slots follow when they
// change.
func (g *group) learn(tokens int, f *Fleet) {
	if tokens <= 0 {
		return
	}
	var before int
	if len(g.list) > 0 {
		before = g.slots(g.list[0].Slots)
	}
	if g.tokens == 0 {
		g.tokens = float64(tokens)
	}
	g.tokens += meanWeight * (float64(tokens) - g.tokens)
	if len(g.list) > 0 && g.slots(g.list[0].Slots) != before {
		g.offer(f)
	}
}

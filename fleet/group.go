package fleet

import (
	"slices"
	"time"

	"crocuslug/directory"
	"crocuslug/enginememory"
	"crocuslug/health"
	"crocuslug/ident"
	"crocuslug/routing"
)

// group holds the upstreams of one service.
type group struct {
	chooser      *routing.Chooser
	tracker      *health.Tracker
	memoryTokens int                  // memory of one upstream in tokens; 0 means unlimited
	memory       *enginememory.Ledger // nil without Settings.ByMemory
	meanTokens   float64              // running mean of the tokens of a request; 0 before the first request
	list         []directory.Upstream
	trials       map[ident.Upstream]bool      // upstreams whose next request is a trial
	backingOff   map[ident.Upstream]time.Time // when a trial at each dead upstream failed; other upstreams are tried meanwhile
}

// setUpstreams replaces the upstreams of a group. The health and load of restarted
// upstreams are reset.
func (g *group) setUpstreams(list []directory.Upstream, f *Fleet, restarted map[ident.Upstream]bool, now time.Time) {
	g.list = list
	var names, kept []ident.Upstream
	for _, u := range list {
		names = append(names, u.ID)
		if !restarted[u.ID] {
			kept = append(kept, u.ID)
		}
	}
	if len(kept) < len(names) {
		f.applyHealth(g, g.tracker.SetUpstreams(kept, now), now)
		g.updateCandidatesExcept(f, restarted)
	}
	g.updateCandidates(f)
	f.applyHealth(g, g.tracker.SetUpstreams(names, now), now)
}

// updateCandidates passes the list of upstreams to the chooser.
func (g *group) updateCandidates(f *Fleet) { g.updateCandidatesExcept(f, nil) }

// updateCandidatesExcept passes the list of upstreams to the chooser, except those in
// without.
func (g *group) updateCandidatesExcept(f *Fleet, without map[ident.Upstream]bool) {
	var list []routing.Candidate
	var engines []enginememory.Engine
	inShare, near, holders := g.shareOf(f), map[ident.Upstream]bool(nil), 1
	if g.memory != nil {
		inShare, near, holders = g.partOf(f)
	}
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
			Build:    u.Build,
			InShare:  inShare[u.ID],
		})
		engines = append(engines, enginememory.Engine{Upstream: u.ID, InShare: inShare[u.ID], Near: near[u.ID]})
	}
	g.chooser.SetCandidates(list)
	if g.memory != nil {
		rank, _ := slices.BinarySearch(f.instances, f.cfg.Self)
		g.memory.SetEngines(g.memoryTokens, engines, enginememory.Share{Holders: holders, Rank: rank, Instances: max(1, len(f.instances))})
	}
}

// deadRetryInterval is the time between two requests to an upstream while all upstreams
// are dead.
const deadRetryInterval = 250 * time.Millisecond

// endBackOff makes dead upstreams available again after deadRetryInterval.
func (g *group) endBackOff(now time.Time) {
	for id, at := range g.backingOff {
		if now.Sub(at) >= deadRetryInterval {
			delete(g.backingOff, id)
			g.chooser.SetOut(id, g.tracker.Out(id))
		}
	}
}

// shareOf returns the upstreams in this instance's share. Each failure domain has an
// equal share, since each has its own callers, and its instances divide that share.
func (g *group) shareOf(f *Fleet) map[ident.Upstream]bool {
	names := make([]ident.Upstream, 0, len(g.list))
	for _, u := range g.list {
		names = append(names, u.ID)
	}
	names = routing.Subset(f.domains, f.cfg.Domain, names, ceilDiv(len(names), len(f.domains)))
	names = routing.Subset(f.instances, f.cfg.Self, names, ceilDiv(len(names), len(f.instances)))
	inShare := make(map[ident.Upstream]bool, len(names))
	for _, id := range names {
		inShare[id] = true
	}
	return inShare
}

// partOf returns the upstreams in this instance's share and in that of its failure domain if the memory
// is counted, and the number of instances that have the same share. Shares do not overlap then, as far as
// there are enough upstreams.
func (g *group) partOf(f *Fleet) (inShare, near map[ident.Upstream]bool, holders int) {
	names := make([]ident.Upstream, 0, len(g.list))
	for _, u := range g.list {
		names = append(names, u.ID)
	}
	set := func(names []ident.Upstream) map[ident.Upstream]bool {
		out := make(map[ident.Upstream]bool, len(names))
		for _, id := range names {
			out[id] = true
		}
		return out
	}
	names, _ = routing.Partition(f.domains, f.cfg.Domain, names)
	near = set(names)
	names, holders = routing.Partition(f.instances, f.cfg.Self, names)
	return set(names), near, holders
}

// ceilDiv returns whole divided by n, rounded up. An n below 1 counts as 1.
func ceilDiv(whole, n int) int {
	n = max(1, n)
	return (whole + n - 1) / n
}

// slots returns the number of requests that an upstream can run at once: its declared
// slots, or fewer if that many requests of the mean size do not fit into its memory.
func (g *group) slots(declared int) int {
	if g.memoryTokens <= 0 || g.meanTokens <= 0 || g.memory != nil {
		return declared
	}
	fit := max(1, int(float64(g.memoryTokens)/g.meanTokens))
	if declared <= 0 {
		return fit
	}
	return min(declared, fit)
}

// sizeWeight is the weight of one request in the running mean of request sizes.
const sizeWeight = 0.02

// recordSize adds the size of a request to the running mean and updates the chooser if the
// number of slots changes.
func (g *group) recordSize(tokens int, f *Fleet) {
	if tokens <= 0 {
		return
	}
	if g.memory != nil {
		g.memory.RecordSize(tokens)
	}
	var before int
	if len(g.list) > 0 {
		before = g.slots(g.list[0].Slots)
	}
	if g.meanTokens == 0 {
		g.meanTokens = float64(tokens)
	}
	g.meanTokens += sizeWeight * (float64(tokens) - g.meanTokens)
	if len(g.list) > 0 && g.slots(g.list[0].Slots) != before {
		g.updateCandidates(f)
	}
}

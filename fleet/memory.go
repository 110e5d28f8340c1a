package fleet

import (
	"maps"
	"slices"
	"time"

	"crocuslug/directory"
	"crocuslug/enginememory"
	"crocuslug/ident"
	"crocuslug/routing"
	"crocuslug/work"
)

// counts reports whether the memory of the service is counted.
func (g *group) counts() bool { return g.memory != nil && g.memoryTokens > 0 }

// fits returns a function that reports whether a request fits into the memory of an upstream, or
// nil if the memory is not counted.
func (g *group) fits(a *PickRequest, now time.Time) func(ident.Upstream) bool {
	if !g.counts() {
		return nil
	}
	kind := enginememory.New
	switch {
	case a.Copy:
		kind = enginememory.Backup
	case a.AllowFull:
		kind = enginememory.Continue
	}
	return func(u ident.Upstream) bool { return g.memory.Fits(u, a.Tokens, kind, now) }
}

// claim counts the memory that a request uses at an upstream.
func (g *group) claim(c enginememory.Claim, id ident.Upstream, tokens int, now time.Time) {
	if g.counts() {
		g.memory.Take(c, id, tokens, now)
	}
}

// TooLarge reports whether no upstream of a service has enough memory for a request with the
// given tokens, even without other requests.
func (f *Fleet) TooLarge(service ident.Service, tokens int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g, ok := f.services[service]
	return ok && g.counts() && tokens > g.memoryTokens
}

// ReserveFor counts a request at a given upstream like Reserve, and its memory until ReleaseMemory is
// called. It returns false as well if the memory does not suffice.
func (f *Fleet) ReserveFor(id ident.Upstream, c enginememory.Claim, tokens int, now time.Time) (directory.Upstream, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u, ok := f.upstreams[id]; ok {
		if g := f.services[u.Service]; g.counts() && !g.memory.Fits(id, tokens, enginememory.Continue, now) {
			return directory.Upstream{}, false
		}
	}
	u, ok := f.reserve(id, now)
	if ok {
		f.services[u.Service].claim(c, id, tokens, now)
	}
	return u, ok
}

// ReleaseMemory ends the use of memory by a claim. A claim that uses none is ignored.
func (f *Fleet) ReleaseMemory(c enginememory.Claim, now time.Time) {
	if c == 0 || !f.cfg.ByMemory {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.services {
		if g.memory != nil {
			g.memory.Release(c, now)
		}
	}
}

// addTokens sets the memory that the requests of this instance use in out.
func (g *group) addTokens(out map[ident.Upstream]work.Load) {
	if !g.counts() {
		return
	}
	for id, n := range out {
		n.Tokens = g.memory.Tokens(id)
		out[id] = n
	}
}

// Demand returns the demand of this instance for each service whose memory is counted.
func (f *Fleet) Demand(now time.Time) map[ident.Service]work.Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out map[ident.Service]work.Demand
	for _, name := range slices.Sorted(maps.Keys(f.services)) {
		g := f.services[name]
		if !g.counts() {
			continue
		}
		if d := g.memory.Demand(now); d != (work.Demand{}) {
			if out == nil {
				out = make(map[ident.Service]work.Demand)
			}
			out[name] = d
		}
	}
	return out
}

// Others describes what this instance knows of the others.
type Others struct {
	Live      int                           // live instances, including this one
	Heard     int                           // those of them whose load is known, including this one
	ReportAge time.Duration                 // greatest usual age of such a load
	NearAge   time.Duration                 // same for the instances of this failure domain
	Demand    map[ident.Service]work.Demand // sum of the demand of the others
}

// ReportOthers records what this instance knows of the others. It has no effect without
// Settings.ByMemory.
func (f *Fleet) ReportOthers(o Others, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, g := range f.services {
		if g.memory != nil {
			g.memory.SetSite(enginememory.Site{Live: o.Live, Heard: o.Heard, ReportAge: o.ReportAge, NearAge: o.NearAge, Demand: o.Demand[name]}, now)
		}
	}
}

// MemoryUsed returns the fraction of the memory of the upstreams of a service that is known to be
// used, and false if it is not counted.
func (f *Fleet) MemoryUsed(service ident.Service) (share float64, counted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g, ok := f.services[service]
	if !ok || !g.counts() {
		return 0, false
	}
	return g.memory.Used(), true
}

// usable reports whether an upstream is in rotation and does not leave.
func (g *group) usable(id ident.Upstream) bool { return g.chooser.InRotation(id) }

// Ready reports whether an upstream of the service can accept a waiting request now.
func (f *Fleet) Ready(service ident.Service, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g, ok := f.services[service]
	return ok && g.chooser.ReadyFor(routing.Request{RequireIdle: true, Fits: g.fits(&PickRequest{}, now)}, now)
}

// Spare reports whether a less urgent request of a service could start and leave the room that urgent
// ones need. It is true if the memory is not counted.
func (f *Fleet) Spare(service ident.Service, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g, ok := f.services[service]
	return !ok || !g.counts() || g.memory.Spare(0, g.usable, now)
}

// HasRoom reports whether a request that starts an answer fits into the memory of an upstream of a
// service. It is true if the memory is not counted.
func (f *Fleet) HasRoom(service ident.Service, tokens int, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g, ok := f.services[service]
	if !ok || !g.counts() {
		return true
	}
	return slices.ContainsFunc(g.list, func(u directory.Upstream) bool {
		return g.usable(u.ID) && g.memory.Fits(u.ID, tokens, enginememory.New, now)
	})
}

// UrgentArrived records the arrival of an urgent request with a prompt of the given size, which needs
// tokens of memory.
func (f *Fleet) UrgentArrived(service ident.Service, tokens, prompt int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if g, ok := f.services[service]; ok && g.counts() {
		reading := time.Duration(float64(prompt) / f.cfg.Routing.PrefillRate * float64(time.Second))
		g.memory.UrgentArrived(tokens, reading, now)
	}
}

// SetUrgentWaiting sets the memory in tokens that the urgent requests need that wait at this instance.
func (f *Fleet) SetUrgentWaiting(service ident.Service, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if g, ok := f.services[service]; ok && g.counts() {
		g.memory.SetUrgentWaiting(tokens)
	}
}

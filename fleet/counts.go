package fleet

import (
	"maps"
	"slices"
	"time"

	"crocuslug/ident"
	"crocuslug/work"
)

// Counts holds the number of upstreams of a service by state, and the requests of this
// instance there.
type Counts struct {
	Registered, Leaving, Out, Replaced int
	InFlight                           int                 // requests, including copies of runs
	UnreadTokens                       int                 // prompt tokens not read yet
	Builds                             map[ident.Build]int // registered upstreams that do not leave, by the version of their software
}

// Services returns the services that have or had upstreams, sorted by name.
func (f *Fleet) Services() []ident.Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.services))
}

// Count returns the number of upstreams of a service by state.
func (f *Fleet) Count(service ident.Service) Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := Counts{Builds: make(map[ident.Build]int)}
	g, ok := f.services[service]
	if !ok {
		return c
	}
	for _, u := range g.list {
		c.Registered++
		_, replaced := f.replaced[u.ID]
		if !u.Draining {
			c.Builds[u.Build]++
		}
		switch {
		case u.Draining:
			c.Leaving++
		case replaced:
			c.Replaced++
		case g.chooser.IsOut(u.ID):
			c.Out++
		}
	}
	for _, n := range g.chooser.InFlight() {
		c.InFlight += n.Requests
		c.UnreadTokens += n.Reading
	}
	return c
}

// ReportPeerLoads records the load that other instances have at upstreams.
func (f *Fleet) ReportPeerLoads(counts map[ident.Upstream]work.Load, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.services {
		g.chooser.ReportPeerLoads(counts, now)
		if g.memory != nil {
			g.memory.ReportPeers(counts, now)
		}
	}
}

// InFlight returns the load of this instance at each upstream where it has any.
func (f *Fleet) InFlight() map[ident.Upstream]work.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[ident.Upstream]work.Load)
	for _, g := range f.services {
		loads := g.chooser.InFlight()
		g.addTokens(loads)
		maps.Copy(out, loads)
	}
	return out
}

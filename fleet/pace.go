package fleet

import (
	"time"

	"crocuslug/ident"
	"crocuslug/pace"
)

// SetPaces sets how fast upstreams are and how many requests each takes well.
func (f *Fleet) SetPaces(estimates map[ident.Upstream]pace.Estimate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, e := range estimates {
		if u, ok := f.upstreams[id]; ok {
			f.services[u.Service].chooser.SetPace(id, e.Factor, e.Limit)
		}
	}
}

// Load returns the requests of all instances that are known to be at an upstream.
func (f *Fleet) Load(id ident.Upstream, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok := f.upstreams[id]
	if !ok {
		return 0
	}
	return f.services[u.Service].chooser.Load(id, now)
}

package fleet

import (
	"time"

	"crocuslug/routing"
)

// Cached reports whether an upstream that may serve a request probably has its whole prompt cached.
func (f *Fleet) Cached(a PickRequest, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g, ok := f.services[a.Service]
	return ok && len(a.Blocks) > 0 && g.chooser.Cached(routing.Request{Blocks: a.Blocks, Exclude: a.Exclude, ExcludeDomain: a.ExcludeDomain, Build: a.Build}, now)
}

// ReadingTime returns how long an engine with nothing else to do reads a prompt.
func (f *Fleet) ReadingTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / f.cfg.Routing.PrefillRate * float64(time.Second))
}

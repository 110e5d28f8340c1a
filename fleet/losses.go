package fleet

import (
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
)

// A failure domain is taken to be hit as a whole when several of its upstreams
// are found dead at once. One may have crashed alone.
const (
	hitCount  = 2                       // upstreams
	hitWindow = 1500 * time.Millisecond // within which they are found; also how long a hit holds
)

// lost takes in that u is dead, and avoids the rest of its failure domain if it
// is not the only one there. The lock is held.
func (f *Fleet) lost(u directory.Upstream, now time.Time) {
	f.losses[u.ID] = now
	n := 0
	for id, at := range f.losses {
		switch {
		case now.Sub(at) > hitWindow:
			delete(f.losses, id)
		case f.all[id].Domain == u.Domain && f.all[id].Service == u.Service:
			n++
		}
	}
	if n < hitCount || now.Sub(f.hit[u.Domain]) < hitWindow/2 {
		return
	}
	f.hit[u.Domain] = now
	f.log.Warn().Str("Hit", string(u.Domain)).Int("Dead", n).Msg("failure domain hit; its upstreams are avoided")
	g := f.services[u.Service]
	for _, v := range g.list {
		if v.Domain == u.Domain {
			g.chooser.Suspect(v.ID, now)
		}
	}
}

// Hit reports whether a failure domain has just lost several upstreams at once.
func (f *Fleet) Hit(domain ident.Domain, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.hit[domain]
	return ok && now.Sub(at) <= hitWindow
}

// Hits returns the number of failure domains that have just lost several
// upstreams at once, as seen from here.
func (f *Fleet) Hits(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, at := range f.hit {
		if now.Sub(at) <= hitWindow {
			n++
		}
	}
	return n
}

// Own returns the upstreams that were found dead here within the last moments.
func (f *Fleet) Own(now time.Time) []ident.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []ident.Upstream
	for id, at := range f.own {
		if now.Sub(at) > hitWindow {
			delete(f.own, id)
			continue
		}
		out = append(out, id)
	}
	return out
}

// ReportLost takes in an upstream that another instance has found dead. It is
// avoided here, too, but stays in until it fails here: the cause may lie between
// the other instance and the upstream.
func (f *Fleet) ReportLost(id ident.Upstream, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok := f.all[id]
	if !ok {
		return
	}
	if at, ok := f.losses[id]; ok && now.Sub(at) <= hitWindow {
		return
	}
	f.services[u.Service].chooser.Suspect(id, now)
	f.lost(u, now)
}

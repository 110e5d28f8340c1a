package registry

import (
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
)

// RecordRestart records that the upstream with the former id has restarted under a new id at
// the same address, before the store shows it. found is when a probe found it, or zero if that is not known, which
// counts as long ago. It returns false if the store has a newer entry for the address, if the former id is unknown or
// leaving, if the new one was removed, or if it was found too long ago for the store not to list it.
func (r *Registry) RecordRestart(former, id ident.Upstream, found, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, gone := r.removed[id]; gone || !now.Before(r.unlistedUntil(found)) && !r.unavailable {
		return false
	}
	u, ok := r.upstreams[former]
	if !ok || u.Draining || r.byAddress(u.Address).ID != former {
		return false
	}
	if _, known := r.upstreams[id]; known {
		return false
	}
	u.ID = id
	u.Born = 0
	if r.severalBuilds(u.Service) {
		u.Build = "" // the new process may be of any of them
	}
	r.drop(former, u.Revision, now)
	r.upstreams[id] = u
	r.restarted[id] = found
	return true
}

// unlistedUntil returns until when an upstream that was found by a probe may be used although the store does not list
// it. When it answered the probe it had not left, so it need not be out of use before one that left at that moment.
// r.mu must be held.
func (r *Registry) unlistedUntil(found time.Time) time.Time {
	until := found.Add(r.cfg.Drain - lapseMargin)
	if grace := r.currentFrom.Add(r.cfg.GracePeriod); grace.After(until) {
		return grace
	}
	return until
}

// ExpireRestarted removes the restarted upstreams that the store should have listed by now and returns their ids.
func (r *Registry) ExpireRestarted(now time.Time) []ident.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unavailable {
		return nil
	}
	var out []ident.Upstream
	for id, found := range r.restarted {
		if !now.Before(r.unlistedUntil(found)) {
			r.drop(id, r.upstreams[id].Revision, now)
			out = append(out, id)
		}
	}
	return out
}

// setRestarted records an entry that another instance has by a restart found at a time. r.mu must be held.
func (r *Registry) setRestarted(u directory.Upstream, found time.Time) {
	if _, known := r.upstreams[u.ID]; known {
		return
	}
	r.set(u)
	if _, set := r.upstreams[u.ID]; set {
		r.restarted[u.ID] = found
	}
}

// severalBuilds reports whether the upstreams of a service have different builds. r.mu must be held.
func (r *Registry) severalBuilds(service ident.Service) bool {
	var build *ident.Build
	for _, u := range r.upstreams {
		if u.Service != service {
			continue
		}
		if build != nil && *build != u.Build {
			return true
		}
		build = &u.Build
	}
	return false
}

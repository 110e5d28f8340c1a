package registry

import (
	"time"

	"crocuslug/ident"
	"crocuslug/store"
)

// RemoveReplaced records that the entry of an upstream was replaced at a revision of the store by one that
// names no upstream to use. It removes the upstream even during an outage, since the entry has not expired,
// and reports whether the upstream was registered.
func (r *Registry) RemoveReplaced(id ident.Upstream, at store.Version, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.upstreams[id]
	if ok && old.Revision > at {
		return false
	}
	r.drop(id, at, now)
	return ok
}

// Package registry keeps the upstreams that have registered themselves in the
// platform's store.
//
// Upstreams write their entries under a lease, so an entry that is gone means
// that its upstream has left or died. After an outage of the store that is not
// so: leases may have run out meanwhile though their upstreams live. What lapses
// during an outage or shortly after it is therefore kept for a grace period, in
// which a live upstream registers again.
package registry

import (
	"sync"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/store"
)

// Settings of a Registry. The zero value takes the defaults.
type Settings struct {
	Grace time.Duration // for which a lapsed entry is kept after an outage; 0 means 2s
}

// defaultGrace is the time within which live upstreams are back after an
// outage, as the platform states it.
const defaultGrace = 2 * time.Second

// Registry is the set of upstreams as last told. Its methods may be called from
// any goroutine.
type Registry struct {
	mu     sync.Mutex
	cfg    Settings
	all    map[ident.Upstream]directory.Upstream
	lapsed map[ident.Upstream]time.Time // entries gone during an outage, by the end of their grace
	away   bool                         // the store cannot be read
	back   time.Time                    // end of the last outage
}

// New returns an empty registry.
func New(cfg Settings) *Registry {
	if cfg.Grace <= 0 {
		cfg.Grace = defaultGrace
	}
	return &Registry{
		cfg:    cfg,
		all:    make(map[ident.Upstream]directory.Upstream),
		lapsed: make(map[ident.Upstream]time.Time),
	}
}

// StoreAway tells whether the store can be read. It returns whether that is new.
func (r *Registry) StoreAway(away bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away == away {
		return false
	}
	r.away = away
	if !away {
		r.back = now
	}
	return true
}

// Set takes an entry that was written. An older one than known is ignored.
func (r *Registry) Set(u directory.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(u)
}

func (r *Registry) set(u directory.Upstream) {
	if old, ok := r.all[u.ID]; ok && old.Revision > u.Revision {
		return
	}
	r.all[u.ID] = u
	delete(r.lapsed, u.ID)
}

// Remove takes the removal of an entry at a revision.
func (r *Registry) Remove(id ident.Upstream, at store.Version, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(id, at, now)
}

func (r *Registry) remove(id ident.Upstream, at store.Version, now time.Time) {
	old, ok := r.all[id]
	if !ok || old.Revision > at {
		return
	}
	if old.Draining || !r.away && now.Sub(r.back) > r.cfg.Grace {
		delete(r.all, id)
		delete(r.lapsed, id)
		return
	}
	if _, ok := r.lapsed[id]; !ok {
		r.lapsed[id] = r.back.Add(r.cfg.Grace)
	}
}

// Replace takes all entries as they stood at a revision.
func (r *Registry) Replace(list []directory.Upstream, at store.Version, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[ident.Upstream]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		r.set(u)
	}
	r.prune(listed, at, now)
}

// Merge takes what another instance knows at a revision: the entries that have
// changed, and the ids of all that there are.
func (r *Registry) Merge(changed []directory.Upstream, all []ident.Upstream, at store.Version, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[ident.Upstream]bool, len(all))
	for _, id := range all {
		listed[id] = true
	}
	for _, u := range changed {
		r.set(u)
	}
	r.prune(listed, at, now)
}

// prune removes what is not listed. The lock is held.
func (r *Registry) prune(listed map[ident.Upstream]bool, at store.Version, now time.Time) {
	for id := range r.all {
		if !listed[id] {
			r.remove(id, at, now)
		}
	}
}

// Away reports whether the store cannot be read.
func (r *Registry) Away() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.away
}

// Adopt takes in that the upstream at an address has started again under a new
// id, which the store does not tell yet. It returns false if the store has told
// something newer of the address, or does not know the former id.
func (r *Registry) Adopt(former, id ident.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, ok := r.all[former]
	if !ok || u.Draining || r.at(u.Address).ID != former {
		return false
	}
	if _, known := r.all[id]; known {
		return false
	}
	u.ID = id
	u.Born = 0
	delete(r.all, former)
	delete(r.lapsed, former)
	r.all[id] = u
	return true
}

// At returns the upstream that registered last at an address; its id is empty if
// there is none.
func (r *Registry) At(address string) directory.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at(address)
}

func (r *Registry) at(address string) directory.Upstream {
	var newest directory.Upstream
	for _, u := range r.all {
		if u.Address == address && (newest.ID == "" || u.Revision > newest.Revision) {
			newest = u
		}
	}
	return newest
}

// Expire drops the lapsed entries whose grace is over and returns their ids.
func (r *Registry) Expire(now time.Time) []ident.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away {
		return nil
	}
	var out []ident.Upstream
	for id, until := range r.lapsed {
		if until.Before(r.back) {
			until = r.back.Add(r.cfg.Grace) // a later outage began before it was over
		}
		if now.Before(until) {
			continue
		}
		delete(r.lapsed, id)
		delete(r.all, id)
		out = append(out, id)
	}
	return out
}

// All returns the upstreams, in no order. Of several at one address only the
// one that registered last can be there.
func (r *Registry) All() []directory.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := make(map[string]store.Version, len(r.all))
	for _, u := range r.all {
		newest[u.Address] = max(newest[u.Address], u.Revision)
	}
	out := make([]directory.Upstream, 0, len(r.all))
	for _, u := range r.all {
		if u.Revision == newest[u.Address] {
			out = append(out, u)
		}
	}
	return out
}

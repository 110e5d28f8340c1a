// Package registry maintains the list of upstreams that have registered themselves in the
// platform's store.
//
// Upstreams write their entries under a lease, so a missing entry usually means that the
// upstream has left or crashed. This does not hold after an outage of the store, during
// which the leases of live upstreams may have expired. Entries that disappear during an
// outage or shortly after it are therefore kept for a grace period, in which live upstreams
// register again.
package registry

import (
	"sync"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/store"
)

// Settings configures a Registry. Zero fields take the defaults.
type Settings struct {
	GracePeriod time.Duration // time for which a lapsed entry is kept after an outage; 0 means 2s
}

// defaultGracePeriod is the time after an outage within which live upstreams register again,
// as specified by the platform.
const defaultGracePeriod = 2 * time.Second

// Registry is the list of registered upstreams as last read. Its methods are safe for
// concurrent use.
type Registry struct {
	mu          sync.Mutex
	cfg         Settings
	upstreams   map[ident.Upstream]directory.Upstream
	lapsed      map[ident.Upstream]time.Time // entries removed during an outage, with the end of their grace period
	unavailable bool                         // the store cannot be read
	outageEnd   time.Time                    // end of the last outage
}

// New returns an empty Registry.
func New(cfg Settings) *Registry {
	if cfg.GracePeriod <= 0 {
		cfg.GracePeriod = defaultGracePeriod
	}
	return &Registry{
		cfg:       cfg,
		upstreams: make(map[ident.Upstream]directory.Upstream),
		lapsed:    make(map[ident.Upstream]time.Time),
	}
}

// SetStoreUnavailable records whether the store is unavailable, and reports whether this has
// changed.
func (r *Registry) SetStoreUnavailable(unavailable bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unavailable == unavailable {
		return false
	}
	r.unavailable = unavailable
	if !unavailable {
		r.outageEnd = now
	}
	return true
}

// Set records a written entry. An entry older than the known one is ignored.
func (r *Registry) Set(u directory.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(u)
}

// set implements Set. r.mu must be held.
func (r *Registry) set(u directory.Upstream) {
	if old, ok := r.upstreams[u.ID]; ok && old.Revision > u.Revision {
		return
	}
	r.upstreams[u.ID] = u
	delete(r.lapsed, u.ID)
}

// Remove records the removal of an entry at a revision of the store.
func (r *Registry) Remove(id ident.Upstream, at store.Version, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(id, at, now)
}

// remove deletes an entry. If it may have expired because of an outage, it is kept for the
// grace period instead. r.mu must be held.
func (r *Registry) remove(id ident.Upstream, at store.Version, now time.Time) {
	old, ok := r.upstreams[id]
	if !ok || old.Revision > at {
		return
	}
	if old.Draining || !r.unavailable && now.Sub(r.outageEnd) > r.cfg.GracePeriod {
		delete(r.upstreams, id)
		delete(r.lapsed, id)
		return
	}
	if _, ok := r.lapsed[id]; !ok {
		r.lapsed[id] = r.outageEnd.Add(r.cfg.GracePeriod)
	}
}

// ReplaceAll sets all entries to the contents of the store at a revision.
func (r *Registry) ReplaceAll(list []directory.Upstream, at store.Version, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[ident.Upstream]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		r.set(u)
	}
	r.removeUnlisted(listed, at, now)
}

// Merge applies the state of another instance at a revision: the changed entries and the ids
// of all entries.
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
	r.removeUnlisted(listed, at, now)
}

// removeUnlisted removes the entries that are not listed. r.mu must be held.
func (r *Registry) removeUnlisted(listed map[ident.Upstream]bool, at store.Version, now time.Time) {
	for id := range r.upstreams {
		if !listed[id] {
			r.remove(id, at, now)
		}
	}
}

// StoreUnavailable reports whether the store is unavailable.
func (r *Registry) StoreUnavailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unavailable
}

// RecordRestart records that the upstream with the former id has restarted under a new id at
// the same address, before the store shows it. It returns false if the store has a newer
// entry for the address, or if the former id is unknown or leaving.
func (r *Registry) RecordRestart(former, id ident.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, ok := r.upstreams[former]
	if !ok || u.Draining || r.byAddress(u.Address).ID != former {
		return false
	}
	if _, known := r.upstreams[id]; known {
		return false
	}
	u.ID = id
	u.Born = 0
	delete(r.upstreams, former)
	delete(r.lapsed, former)
	r.upstreams[id] = u
	return true
}

// ByAddress returns the upstream that registered last at an address. Its ID is empty if there
// is none.
func (r *Registry) ByAddress(address string) directory.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byAddress(address)
}

// byAddress implements ByAddress. r.mu must be held.
func (r *Registry) byAddress(address string) directory.Upstream {
	var newest directory.Upstream
	for _, u := range r.upstreams {
		if u.Address == address && (newest.ID == "" || u.Revision > newest.Revision) {
			newest = u
		}
	}
	return newest
}

// Expire removes the lapsed entries whose grace period has ended and returns their ids.
func (r *Registry) Expire(now time.Time) []ident.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unavailable {
		return nil
	}
	var out []ident.Upstream
	for id, until := range r.lapsed {
		if until.Before(r.outageEnd) {
			until = r.outageEnd.Add(r.cfg.GracePeriod) // a later outage began before the grace period ended
		}
		if now.Before(until) {
			continue
		}
		delete(r.lapsed, id)
		delete(r.upstreams, id)
		out = append(out, id)
	}
	return out
}

// All returns the upstreams in no particular order. If several are registered at the same
// address, only the one that registered last is included, since the others cannot exist any
// more.
func (r *Registry) All() []directory.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := make(map[string]store.Version, len(r.upstreams))
	for _, u := range r.upstreams {
		newest[u.Address] = max(newest[u.Address], u.Revision)
	}
	out := make([]directory.Upstream, 0, len(r.upstreams))
	for _, u := range r.upstreams {
		if u.Revision == newest[u.Address] {
			out = append(out, u)
		}
	}
	return out
}

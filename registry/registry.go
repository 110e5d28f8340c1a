// Package registry maintains the list of upstreams that have registered themselves in the
// platform's store.
//
// Upstreams write their entries under a lease, so a missing entry usually means that the
// upstream has left or crashed. This does not hold after an outage of the store, during
// which the leases of live upstreams may have expired. Entries that disappear during an
// outage or shortly after it are therefore kept for a grace period, in which live upstreams
// register again.
//
// Knowledge arrives out of order: a list may be older than a removal that was applied while the
// list was read. The removals are therefore remembered with their revisions, so that older
// knowledge does not undo them.
//
// Upstreams also say in their answers that they are leaving, which may be known before the entry says
// so. Only another run of the upstream takes that back: an entry of the same run that says otherwise is
// older than the answer.
//
// While the store is away, an upstream that has started again is registered under the id that a probe found. The store
// has not listed it, so it is kept only while that may still happen.
//
// The store may also come back from an older copy, which shows a new era in its versions. What the
// copy says of upstreams that were known to leave or to be gone is not believed until they write
// again.
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
	Drain       time.Duration // time after its removal from which an upstream must get no requests; 0 means 2s
}

// defaultGracePeriod is the time after an outage within which live upstreams register again,
// as specified by the platform.
const defaultGracePeriod = 2 * time.Second

const defaultDrain = 2 * time.Second

// lapseMargin is the part of Settings.Drain that is kept for Expire to be called and for requests under way.
const lapseMargin = 250 * time.Millisecond

// removalMemory is the time for which the revision of a removal is remembered. It exceeds the time
// that reading all entries takes.
const removalMemory = time.Minute

// maxDepartures bounds the number of upstreams that Departures returns.
const maxDepartures = 256

// Registry is the list of registered upstreams as last read. Its methods are safe for
// concurrent use.
type Registry struct {
	// Known returns a time up to which this instance has applied all changes of the store. It must not
	// call methods of the Registry and must be set before the first use; nil means that it is not known.
	Known func(now time.Time) time.Time

	mu          sync.Mutex
	cfg         Settings
	upstreams   map[ident.Upstream]directory.Upstream
	lapsed      map[ident.Upstream]lapse   // entries removed during an outage
	removed     map[ident.Upstream]removal // entries removed within removalMemory
	leaving     map[ident.Upstream]departure
	restarted   map[ident.Upstream]time.Time // when a probe found them; entries that the store has not listed
	unavailable bool                         // the store cannot be read
	outageEnd   time.Time                    // end of the last outage
	currentFrom time.Time                    // end of the last outage that made the knowledge of the store too old
	copied      store.Version                // first version known of the present era; 0 in the first era known
	era         uint64                       // of the store
	eraKnown    bool                         // era is set
}

// lapse is the removal of an entry that may have expired because of an outage.
type lapse struct {
	at    store.Version // revision of the removal
	until time.Time     // end of the grace period
}

// removal is the removal of an entry.
type removal struct {
	at   store.Version // revision of the removal, or of the last entry if that is not known
	born int64         // directory.Upstream.Born of the entry
	when time.Time
}

// departure is the run of an upstream that has said that it is leaving.
type departure struct {
	born    int64     // directory.Upstream.Born
	found   time.Time // when an answer to this instance said so first; zero if none did
	byEntry bool      // the entry says so too
}

// New returns an empty Registry.
func New(cfg Settings) *Registry {
	if cfg.GracePeriod <= 0 {
		cfg.GracePeriod = defaultGracePeriod
	}
	if cfg.Drain <= 0 {
		cfg.Drain = defaultDrain
	}
	return &Registry{
		cfg:       cfg,
		upstreams: make(map[ident.Upstream]directory.Upstream),
		lapsed:    make(map[ident.Upstream]lapse),
		removed:   make(map[ident.Upstream]removal),
		leaving:   make(map[ident.Upstream]departure),
		restarted: make(map[ident.Upstream]time.Time),
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
		r.outageEnd, r.currentFrom = now, now
		for id, l := range r.lapsed {
			l.until = now.Add(r.cfg.GracePeriod)
			r.lapsed[id] = l
		}
	}
	return true
}

// RecordOutage records that an outage has just ended that may have been too short for
// SetStoreUnavailable.
func (r *Registry) RecordOutage(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outageEnd = now
}

// Set records a written entry. It is ignored unless it is newer than the known one and than its
// removal.
func (r *Registry) Set(u directory.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(u)
}

// set implements Set. r.mu must be held.
func (r *Registry) set(u directory.Upstream) {
	if old, ok := r.upstreams[u.ID]; ok {
		if old.Revision >= u.Revision {
			return
		}
		u.Draining = u.Draining || old.Draining && r.fromCopy(u, old.Revision, old.Born)
	}
	if old, ok := r.removed[u.ID]; ok && (old.at >= u.Revision || r.fromCopy(u, old.at, old.born)) {
		return
	}
	u.Draining = r.noteDeparture(u)
	if l, ok := r.lapsed[u.ID]; ok && l.at >= u.Revision {
		if u.Draining { // it had left when its entry disappeared
			r.upstreams[u.ID] = u
			delete(r.restarted, u.ID)
		}
		return
	}
	r.upstreams[u.ID] = u
	delete(r.lapsed, u.ID)
	delete(r.removed, u.ID)
	delete(r.restarted, u.ID)
}

// noteDeparture records what the entry of an upstream says about its leaving, and reports whether this
// run of the upstream is known to leave. r.mu must be held.
func (r *Registry) noteDeparture(u directory.Upstream) bool {
	d, ok := r.leaving[u.ID]
	if ok && d.born != u.Born {
		delete(r.leaving, u.ID) // another run
		d, ok = departure{}, false
	}
	if u.Draining && (ok || u.Born != 0) {
		d.born, d.byEntry = u.Born, true
		r.leaving[u.ID] = d
	}
	return u.Draining || ok
}

// RecordLeaving records that a run of an upstream has said in an answer that it is leaving. found is
// when this instance received the answer, or zero if another one did. It returns false if that was known,
// or if this run of the upstream is not registered.
func (r *Registry) RecordLeaving(id ident.Upstream, born int64, found time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, ok := r.upstreams[id]
	if !ok || u.Born != born || u.Draining {
		return false
	}
	u.Draining = true
	r.upstreams[id] = u
	r.leaving[id] = departure{born: born, found: found}
	return true
}

// Departure is a run of an upstream that has said in an answer that it is leaving.
type Departure struct {
	Upstream ident.Upstream
	Born     int64 `json:",omitempty"` // directory.Upstream.Born
}

// Departures returns the registered upstreams of which this instance has learned by an answer since a
// time that they are leaving, and whose entries do not say so.
func (r *Registry) Departures(since time.Time) []Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Departure
	for id, d := range r.leaving {
		if _, ok := r.upstreams[id]; ok && !d.byEntry && d.found.After(since) && len(out) < maxDepartures {
			out = append(out, Departure{id, d.born})
		}
	}
	return out
}

// fromCopy reports whether an entry may be that of an older copy from which the store was restored,
// while a newer one of the same run of the upstream was known at revision known, from before.
// r.mu must be held.
func (r *Registry) fromCopy(u directory.Upstream, known store.Version, born int64) bool {
	return u.Revision.Era() > known.Era() && u.Revision <= r.copied && u.Born == born
}

// enterEra records the first version known of a new era. The entries that are missing in the copy
// get the grace period, as after an outage. r.mu must be held.
func (r *Registry) enterEra(at store.Version, now time.Time) {
	switch era := at.Era(); {
	case !r.eraKnown:
		r.era, r.eraKnown = era, true
	case era > r.era:
		r.era, r.copied, r.outageEnd, r.currentFrom = era, at, now, now
	}
}

// Removals are the upstreams that ceased to be registered.
type Removals struct {
	Gone   []ident.Upstream
	Lapsed []ident.Upstream // kept for their grace period
}

// Remove records the removal of an entry at a revision of the store.
func (r *Registry) Remove(id ident.Upstream, at store.Version, now time.Time) Removals {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out Removals
	r.remove(id, at, now, &out)
	return out
}

// remove deletes an entry. If it may have expired because of an outage, it is kept for the
// grace period instead. It adds the entry to out. r.mu must be held.
func (r *Registry) remove(id ident.Upstream, at store.Version, now time.Time, out *Removals) {
	old, ok := r.upstreams[id]
	if ok && old.Revision > at {
		return
	}
	if !ok || old.Draining || !r.unavailable && now.Sub(r.outageEnd) > r.cfg.GracePeriod {
		r.drop(id, at, now)
		out.Gone = append(out.Gone, id)
		return
	}
	r.keepLapsed(id, lapse{at, r.outageEnd.Add(r.cfg.GracePeriod)}, now, out)
}

// keepLapsed keeps an entry for its grace period, unless it is kept already. If the knowledge of the store
// was current, the removal may be as old as the last confirmation of that knowledge, and the entry is kept
// no longer than an upstream that left then may be used. r.mu must be held.
func (r *Registry) keepLapsed(id ident.Upstream, l lapse, now time.Time, out *Removals) {
	if _, ok := r.lapsed[id]; ok {
		return
	}
	if r.Known != nil && !r.unavailable && now.Sub(r.currentFrom) > r.cfg.GracePeriod {
		if last := r.Known(now).Add(r.cfg.Drain - lapseMargin); l.until.After(last) {
			l.until = last
		}
	}
	if !r.unavailable && !l.until.After(now) {
		r.drop(id, l.at, now)
		out.Gone = append(out.Gone, id)
		return
	}
	r.lapsed[id] = l
	out.Lapsed = append(out.Lapsed, id)
}

// drop deletes an entry that was removed at a revision. r.mu must be held.
func (r *Registry) drop(id ident.Upstream, at store.Version, now time.Time) {
	former := r.removed[id]
	born := former.born
	if old, ok := r.upstreams[id]; ok {
		born = old.Born
	}
	delete(r.upstreams, id)
	delete(r.lapsed, id)
	delete(r.restarted, id)
	if born == 0 {
		delete(r.leaving, id) // its runs cannot be told apart
	}
	r.removed[id] = removal{max(at, former.at), born, now}
}

// ReplaceAll sets all entries to the contents of the store at a revision.
func (r *Registry) ReplaceAll(list []directory.Upstream, at store.Version, now time.Time) Removals {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enterEra(at, now)
	listed := make(map[ident.Upstream]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		r.set(u)
	}
	var out Removals
	for id := range r.upstreams {
		if !listed[id] {
			r.remove(id, at, now, &out)
		}
	}
	return out
}

// StoreUnavailable reports whether the store is unavailable.
func (r *Registry) StoreUnavailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unavailable
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
	for id, l := range r.lapsed {
		if now.Before(l.until) {
			continue
		}
		r.drop(id, l.at, now)
		out = append(out, id)
	}
	for id, old := range r.removed {
		if now.Sub(old.when) > removalMemory {
			delete(r.removed, id)
			if _, registered := r.upstreams[id]; !registered {
				delete(r.leaving, id)
			}
		}
	}
	return out
}

// All returns the upstreams in no particular order. If several are registered at the same
// address, only the one that registered last is included, since the others cannot exist any
// more.
func (r *Registry) All() []directory.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest()
}

// newest implements All. r.mu must be held.
func (r *Registry) newest() []directory.Upstream {
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

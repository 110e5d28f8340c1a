// Package standinkeyvalue simulates the platform's key-value service.
//
// It offers compare-and-swap, leases and watches, counts calls, and simulates
// faults on request: outages, delays, rate limits, stale reads, writes whose
// answer is lost, and a restore from an older copy. A Store is used within the
// process, or over HTTP through a Server.
package standinkeyvalue

import (
	"context"
	"sort"
	"strings"
	"sync"

	"crocuslug/store"
	"crocuslug/timer"
)

// Store is a key-value store in memory. It is safe for concurrent use.
type Store struct {
	timer *timer.Service

	mu      sync.Mutex
	version store.Version
	era     uint64 // number of times that the store was restored from a copy
	entries map[string]entry
	stale   *snapshot // content that stale reads return, or nil
	history []store.Entry
	trimmed store.Version // newest version removed from the history
	leases  map[store.Lease]*lease
	nextID  store.Lease
	changed chan struct{}
	faults  Faults
	calls   Calls
	reads   rateCounter
	writes  rateCounter
}

type entry struct {
	store.Entry
	lease store.Lease
}

// snapshot is the content of the store at a version.
type snapshot struct {
	entries map[string]entry
	version store.Version
}

// New returns an empty store.
func New(t *timer.Service) *Store {
	return &Store{
		timer:   t,
		entries: make(map[string]entry),
		leases:  make(map[store.Lease]*lease),
		changed: make(chan struct{}),
	}
}

// Port returns the operations of s as a store.Store.
func (s *Store) Port() store.Store {
	return store.Store{
		Get:    s.Get,
		List:   s.List,
		Scan:   s.Scan,
		Put:    s.Put,
		Delete: s.Delete,
		Watch:  s.Watch,
		Grant:  s.Grant,
		Renew:  s.Renew,
		Revoke: s.Revoke,
	}
}

// Get returns the entry under key, or the error store.Absent if there is none.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return store.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.readableEntries()[key]
	if !ok {
		return store.Entry{}, store.Absent.New("%s", key)
	}
	return e.Entry, nil
}

// List returns the entries whose keys start with prefix, sorted by key.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	entries, _, err := s.Scan(ctx, prefix)
	return entries, err
}

// Scan returns the entries of List and the version of the store that they show.
func (s *Store) Scan(ctx context.Context, prefix string) ([]store.Entry, store.Version, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []store.Entry
	for k, e := range s.readableEntries() {
		if strings.HasPrefix(k, prefix) {
			out = append(out, e.Entry)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	if s.stale != nil {
		return out, s.stale.version, nil
	}
	return out, s.version, nil
}

// readableEntries returns the entries that reads see: the present ones, or
// those at the start of a StaleReads fault.
func (s *Store) readableEntries() map[string]entry {
	s.expireLeases()
	if s.stale != nil {
		return s.stale.entries
	}
	return s.entries
}

// Put writes value if the version of key is expect, where 0 means that key is
// absent, and returns the new version. It returns store.Conflict if the version
// differs or lease l does not exist, and store.TooLarge if the value exceeds
// MaxValueBytes.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect store.Version, l store.Lease) (store.Version, error) {
	if err := s.beginCall(ctx, true); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if err := s.checkWrite(key, value, expect, l); err != nil {
		return 0, err
	}
	s.version++
	e := store.Entry{Key: key, Value: append([]byte(nil), value...), Version: s.version}
	s.entries[key] = entry{e, l}
	s.appendHistory(e)
	return s.version, s.answerError()
}

// checkWrite returns an error if a write cannot be applied.
func (s *Store) checkWrite(key string, value []byte, expect store.Version, l store.Lease) error {
	limit := s.faults.MaxValueBytes
	if limit == 0 {
		limit = defaultMaxValueBytes
	}
	if len(value) > limit {
		return store.TooLarge.New("value of %s has %d bytes, want at most %d", key, len(value), limit)
	}
	if s.entries[key].Version != expect {
		return store.Conflict.New("%s is at version %d", key, s.entries[key].Version)
	}
	if _, ok := s.leases[l]; l != 0 && !ok {
		return store.Conflict.New("lease %d does not exist or has expired", l)
	}
	return nil
}

// Delete removes key if its version is expect. It returns store.Conflict if the
// version differs or key is absent.
func (s *Store) Delete(ctx context.Context, key string, expect store.Version) error {
	if err := s.beginCall(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	e, ok := s.entries[key]
	if !ok || e.Version != expect {
		return store.Conflict.New("%s is at version %d", key, e.Version)
	}
	s.remove(key)
	return s.answerError()
}

func (s *Store) remove(key string) {
	delete(s.entries, key)
	s.version++
	s.appendHistory(store.Entry{Key: key, Version: s.version, Deleted: true})
}

// Package standinkeyvalue stands in for the platform's key-value service.
//
// It has compare-and-swap, leases and watches, counts calls, and fails on
// command: outages, slowness, rates, stale reads, and answers that are lost
// after the write. A Store is used as it is or behind HTTP by a Server.
package standinkeyvalue

import (
	"context"
	"sort"
	"strings"
	"sync"

	"crocuslug/store"
	"crocuslug/timer"
)

// Store keeps everything in memory. Its methods may be called from any
// goroutine.
type Store struct {
	timer *timer.Service

	mu      sync.Mutex
	version store.Version
	entries map[string]stored
	stale   *view // what reads see while they are stale, or nil
	history []store.Entry
	trimmed store.Version // newest version that the history no longer has
	leases  map[store.Lease]*lease
	nextID  store.Lease
	changed chan struct{}
	faults  Faults
	calls   Calls
	reads   rate
	writes  rate
}

type stored struct {
	store.Entry
	lease store.Lease
}

// view is the content of the store at a version.
type view struct {
	entries map[string]stored
	version store.Version
}

// New returns an empty store.
func New(t *timer.Service) *Store {
	return &Store{
		timer:   t,
		entries: make(map[string]stored),
		leases:  make(map[store.Lease]*lease),
		changed: make(chan struct{}),
	}
}

// Port returns the store as the platform's port.
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

// Get returns the entry under key, or store.Absent.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.begin(ctx, false); err != nil {
		return store.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.read()[key]
	if !ok {
		return store.Entry{}, store.Absent.New("%s", key)
	}
	return e.Entry, nil
}

// List returns the entries whose keys start with prefix, by key.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	entries, _, err := s.Scan(ctx, prefix)
	return entries, err
}

// Scan is List with the version at which the entries stood.
func (s *Store) Scan(ctx context.Context, prefix string) ([]store.Entry, store.Version, error) {
	if err := s.begin(ctx, false); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []store.Entry
	for k, e := range s.read() {
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

// read returns the entries that reads see.
func (s *Store) read() map[string]stored {
	s.lapse()
	if s.stale != nil {
		return s.stale.entries
	}
	return s.entries
}

// Put writes value if the version under key is expect. It returns
// store.TooLarge if the value exceeds the bound.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect store.Version, l store.Lease) (store.Version, error) {
	if err := s.begin(ctx, true); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	if err := s.check(key, value, expect, l); err != nil {
		return 0, err
	}
	s.version++
	e := store.Entry{Key: key, Value: append([]byte(nil), value...), Version: s.version}
	s.entries[key] = stored{e, l}
	s.record(e)
	return s.version, s.loseAnswer()
}

// check returns why a write cannot be applied.
func (s *Store) check(key string, value []byte, expect store.Version, l store.Lease) error {
	limit := s.faults.MaxValueBytes
	if limit == 0 {
		limit = defaultMaxValueBytes
	}
	if len(value) > limit {
		return store.TooLarge.New("%d bytes, want at most %d", len(value), limit)
	}
	if s.entries[key].Version != expect {
		return store.Conflict.New("%s is at version %d", key, s.entries[key].Version)
	}
	if _, ok := s.leases[l]; l != 0 && !ok {
		return store.Conflict.New("lease %d has lapsed", l)
	}
	return nil
}

// Delete removes key if its version is expect.
func (s *Store) Delete(ctx context.Context, key string, expect store.Version) error {
	if err := s.begin(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	e, ok := s.entries[key]
	if !ok || e.Version != expect {
		return store.Conflict.New("%s is at version %d", key, e.Version)
	}
	s.remove(key)
	return s.loseAnswer()
}

func (s *Store) remove(key string) {
	delete(s.entries, key)
	s.version++
	s.record(store.Entry{Key: key, Version: s.version, Deleted: true})
}

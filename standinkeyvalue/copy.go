package standinkeyvalue

import (
	"maps"
	"slices"

	"crocuslug/store"
)

// Copy is the content of a Store at one time, from which it can be restored.
type Copy struct {
	version store.Version
	entries map[string]entry
	history []store.Entry
	trimmed store.Version
	leases  map[store.Lease]lease
	nextID  store.Lease
}

// Copy returns a copy of the present content and leases.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	c := Copy{
		version: s.version,
		entries: maps.Clone(s.entries),
		history: slices.Clone(s.history),
		trimmed: s.trimmed,
		leases:  make(map[store.Lease]lease, len(s.leases)),
		nextID:  s.nextID,
	}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

// Restore replaces the content by that of a copy, as after the loss of a disk: all writes and
// leases since the copy are gone, and their revisions and ids are given out again. The era, which
// the answers over HTTP carry, rises by one.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version, s.trimmed, s.nextID = c.version, c.trimmed, c.nextID
	s.entries, s.history = maps.Clone(c.entries), slices.Clone(c.history)
	s.leases = make(map[store.Lease]*lease, len(c.leases))
	now := s.timer.Now()
	for id, l := range c.leases {
		l.expires = now.Add(l.ttl)
		s.leases[id] = &l
		s.scheduleExpiry(l.ttl)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Era returns the number of times that the store was restored.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

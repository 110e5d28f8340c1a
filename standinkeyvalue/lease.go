package standinkeyvalue

import (
	"context"
	"time"

	"crocuslug/store"
)

type lease struct {
	ttl    time.Duration
	lapses time.Time
}

// Grant makes a lease that lapses after ttl without renewal.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	if err := s.begin(ctx, true); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	l := &lease{ttl, s.timer.Now().Add(ttl)}
	s.leases[s.nextID] = l
	s.await(ttl)
	return s.nextID, s.loseAnswer()
}

// Renew starts the ttl of a lease anew.
func (s *Store) Renew(ctx context.Context, id store.Lease) error {
	if err := s.begin(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	l, ok := s.leases[id]
	if !ok {
		return store.Absent.New("lease %d has lapsed", id)
	}
	l.lapses = s.timer.Now().Add(l.ttl)
	s.await(l.ttl)
	return s.loseAnswer()
}

// Revoke ends a lease and removes the keys that are tied to it.
func (s *Store) Revoke(ctx context.Context, id store.Lease) error {
	if err := s.begin(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	if _, ok := s.leases[id]; !ok {
		return store.Absent.New("lease %d has lapsed", id)
	}
	s.end(id)
	return s.loseAnswer()
}

// await has lapsed leases ended in time d, so that watches see their keys go
// also when nobody calls.
func (s *Store) await(d time.Duration) {
	s.timer.After(d, func(time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lapse()
	})
}

// lapse ends the leases whose time has come.
func (s *Store) lapse() {
	now := s.timer.Now()
	for id, l := range s.leases {
		if !now.Before(l.lapses) {
			s.end(id)
		}
	}
}

func (s *Store) end(id store.Lease) {
	delete(s.leases, id)
	for k, e := range s.entries {
		if e.lease == id {
			s.remove(k)
		}
	}
}

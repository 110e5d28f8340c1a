package standinkeyvalue

import (
	"context"
	"time"

	"crocuslug/store"
)

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Grant creates a lease that expires after ttl without renewal.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	if err := s.beginCall(ctx, true); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	l := &lease{ttl, s.timer.Now().Add(ttl)}
	s.leases[s.nextID] = l
	s.scheduleExpiry(ttl)
	return s.nextID, s.answerError()
}

// Renew restarts the time to live of a lease. It returns store.Absent if the
// lease does not exist.
func (s *Store) Renew(ctx context.Context, id store.Lease) error {
	if err := s.beginCall(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l, ok := s.leases[id]
	if !ok {
		return store.Absent.New("lease %d does not exist or has expired", id)
	}
	l.expires = s.timer.Now().Add(l.ttl)
	s.scheduleExpiry(l.ttl)
	return s.answerError()
}

// Revoke ends a lease and removes the keys attached to it. It returns
// store.Absent if the lease does not exist.
func (s *Store) Revoke(ctx context.Context, id store.Lease) error {
	if err := s.beginCall(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if _, ok := s.leases[id]; !ok {
		return store.Absent.New("lease %d does not exist or has expired", id)
	}
	s.endLease(id)
	return s.answerError()
}

// scheduleExpiry ends expired leases after d, so that watches report the removal
// of their keys even if there are no further calls.
func (s *Store) scheduleExpiry(d time.Duration) {
	s.timer.After(d, func(time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLeases()
	})
}

// expireLeases ends the leases whose time to live is over.
func (s *Store) expireLeases() {
	now := s.timer.Now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id store.Lease) {
	delete(s.leases, id)
	for k, e := range s.entries {
		if e.lease == id {
			s.remove(k)
		}
	}
}

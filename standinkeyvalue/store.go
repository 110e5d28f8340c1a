// Package standinkeyvalue stands in for the platform's key-value service.
//
// It has compare-and-swap, leases and watches, counts calls, and fails on
// command: outages, slowness, and answers that are lost after the write.
package standinkeyvalue

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"crocuslug/platform"
	"crocuslug/timer"
)

// Store keeps everything in memory. Its methods may be called from any
// goroutine.
type Store struct {
	timer *timer.Service

	mu      sync.Mutex
	version platform.Version
	entries map[string]stored
	history []platform.Entry
	leases  map[platform.Lease]*lease
	nextID  platform.Lease
	changed chan struct{}
	faults  Faults
	calls   Calls
}

type stored struct {
	platform.Entry
	lease platform.Lease
}

type lease struct {
	ttl    time.Duration
	lapses time.Time
}

// Faults says how the service misbehaves from now on.
type Faults struct {
	Outage        bool          // every call fails, and is not applied
	LoseAnswers   int           // so many writes are applied and then answered with Unknown
	Delay         time.Duration // added to each call
	StaleReads    bool          // reads answer as of the time when the fault began
	RejectWrites  bool          // writes fail, reads work
	WatchWait     time.Duration // longest wait of a watch; 0 means 10 s
	ReadsPerSec   int           // reads above it fail; 0 means no bound
	WritesPerSec  int           // writes above it fail; 0 means no bound
	MaxValueBytes int           // larger values are refused; 0 means 1 MiB
}

// Calls counts the calls that the service has taken, failed ones included.
type Calls struct {
	Reads        int
	Writes       int
	Watches      int // watches begun
	WaitingNow   int // watches that wait
	RateRefusals int // calls refused above the rates
}

// New returns an empty store.
func New(t *timer.Service) *Store {
	return &Store{
		timer:   t,
		entries: make(map[string]stored),
		leases:  make(map[platform.Lease]*lease),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the counts of calls up to now.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Port returns the store as the platform's port.
func (s *Store) Port() platform.Store {
	return platform.Store{
		Get:    s.Get,
		List:   s.List,
		Put:    s.Put,
		Delete: s.Delete,
		Watch:  s.Watch,
		Grant:  s.Grant,
		Renew:  s.Renew,
		Revoke: s.Revoke,
	}
}

// Get returns the entry under key, or platform.Absent.
func (s *Store) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := s.begin(ctx, false); err != nil {
		return platform.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	e, ok := s.entries[key]
	if !ok {
		return platform.Entry{}, platform.Absent.New("%s", key)
	}
	return e.Entry, nil
}

// List returns the entries whose keys start with prefix, by key.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	if err := s.begin(ctx, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	var out []platform.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			out = append(out, e.Entry)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, nil
}

// Put writes value if the version under key is expect.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect platform.Version, l platform.Lease) (platform.Version, error) {
	if err := s.begin(ctx, true); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	if s.entries[key].Version != expect {
		return 0, platform.Conflict.New("%s is at version %d", key, s.entries[key].Version)
	}
	if _, ok := s.leases[l]; l != 0 && !ok {
		return 0, platform.Conflict.New("lease %d has lapsed", l)
	}
	s.version++
	e := platform.Entry{Key: key, Value: append([]byte(nil), value...), Version: s.version}
	s.entries[key] = stored{e, l}
	s.record(e)
	return s.version, s.loseAnswer()
}

// Delete removes key if its version is expect.
func (s *Store) Delete(ctx context.Context, key string, expect platform.Version) error {
	if err := s.begin(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	if s.entries[key].Version != expect {
		return platform.Conflict.New("%s is at version %d", key, s.entries[key].Version)
	}
	s.remove(key)
	return s.loseAnswer()
}

// defaultWatchWait bounds the wait of a watch.
const defaultWatchWait = 10 * time.Second

// Watch waits for writes after a version to keys that start with prefix.
func (s *Store) Watch(ctx context.Context, prefix string, after platform.Version) ([]platform.Entry, platform.Version, error) {
	if err := s.begin(ctx, false); err != nil {
		return nil, after, err
	}
	s.mu.Lock()
	s.calls.Watches++
	wait := s.faults.WatchWait
	s.mu.Unlock()
	if wait == 0 {
		wait = defaultWatchWait
	}
	done := make(chan struct{})
	sub := s.timer.After(wait, func(time.Time) { close(done) })
	defer sub.Stop()
	for {
		found, now, changed := s.since(prefix, after)
		if len(found) > 0 {
			return found, now, nil
		}
		select {
		case <-changed:
		case <-done:
			return nil, now, nil
		case <-ctx.Done():
			return nil, after, platform.Unavailable.Wrap(ctx.Err())
		}
	}
}

// Grant makes a lease that lapses after ttl without renewal.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (platform.Lease, error) {
	if err := s.begin(ctx, true); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = &lease{ttl, s.timer.Now().Add(ttl)}
	return s.nextID, s.loseAnswer()
}

// Renew starts the ttl of a lease anew.
func (s *Store) Renew(ctx context.Context, id platform.Lease) error {
	if err := s.begin(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	l, ok := s.leases[id]
	if !ok {
		return platform.Absent.New("lease %d has lapsed", id)
	}
	l.lapses = s.timer.Now().Add(l.ttl)
	return s.loseAnswer()
}

// Revoke ends a lease and removes the keys that are tied to it.
func (s *Store) Revoke(ctx context.Context, id platform.Lease) error {
	if err := s.begin(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(id)
	return s.loseAnswer()
}

// begin counts a call, delays it, and refuses it if a fault says so.
func (s *Store) begin(ctx context.Context, write bool) error {
	s.mu.Lock()
	if write {
		s.calls.Writes++
	} else {
		s.calls.Reads++
	}
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		done := make(chan struct{})
		sub := s.timer.After(f.Delay, func(time.Time) { close(done) })
		defer sub.Stop()
		select {
		case <-done:
		case <-ctx.Done():
			return platform.Unavailable.Wrap(ctx.Err())
		}
	}
	if f.Outage || write && f.RejectWrites {
		return platform.Unavailable.New("outage")
	}
	return nil
}

// loseAnswer turns the answer of an applied write into Unknown if told to.
func (s *Store) loseAnswer() error {
	if s.faults.LoseAnswers == 0 {
		return nil
	}
	s.faults.LoseAnswers--
	return platform.Unknown.New("answer lost")
}

func (s *Store) since(prefix string, after platform.Version) ([]platform.Entry, platform.Version, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	var found []platform.Entry
	i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
	for _, e := range s.history[i:] {
		if strings.HasPrefix(e.Key, prefix) {
			found = append(found, e)
		}
	}
	return found, s.version, s.changed
}

func (s *Store) record(e platform.Entry) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) remove(key string) {
	delete(s.entries, key)
	s.version++
	s.record(platform.Entry{Key: key, Version: s.version, Deleted: true})
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

func (s *Store) end(id platform.Lease) {
	delete(s.leases, id)
	for k, e := range s.entries {
		if e.lease == id && id != 0 {
			s.remove(k)
		}
	}
}

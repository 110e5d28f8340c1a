package standinkeyvalue

import (
	"context"
	"sort"
	"strings"
	"time"

	"crocuslug/store"
)

// Watch waits for writes after a version to keys that start with prefix. If
// that is further back than the history it returns store.Trimmed and the
// present version.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Version) ([]store.Entry, store.Version, error) {
	if err := s.begin(ctx, false); err != nil {
		return nil, after, err
	}
	done := make(chan struct{})
	sub := s.timer.After(s.beginWatch(), func(time.Time) { close(done) })
	defer sub.Stop()
	waiting := false
	defer s.endWatch(&waiting)
	for {
		r := s.since(prefix, after, &waiting)
		if r.err != nil || len(r.found) > 0 {
			return r.found, r.now, r.err
		}
		select {
		case <-r.changed:
		case <-done:
			return nil, r.now, nil
		case <-ctx.Done():
			return nil, after, store.Unavailable.Wrap(ctx.Err())
		}
	}
}

// beginWatch counts a watch and returns how long it may wait.
func (s *Store) beginWatch() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Watches++
	if s.faults.WatchWait > 0 {
		return s.faults.WatchWait
	}
	return defaultWatchWait
}

func (s *Store) endWatch(waiting *bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *waiting {
		s.calls.WaitingNow--
	}
}

// recent is what a watch finds at one look.
type recent struct {
	found   []store.Entry
	now     store.Version
	changed chan struct{} // closed at the next write
	err     error
}

// since looks for writes after a version. If there are none it counts the
// watch as waiting, once.
func (s *Store) since(prefix string, after store.Version, waiting *bool) recent {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	r := recent{now: s.version, changed: s.changed}
	if s.stale != nil {
		r.now = max(s.stale.version, after)
	}
	if after < s.trimmed {
		r.err = store.Trimmed.New("history begins after version %d", s.trimmed)
		return r
	}
	i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
	for _, e := range s.history[i:] {
		if e.Version <= r.now && strings.HasPrefix(e.Key, prefix) {
			r.found = append(r.found, e)
		}
	}
	if len(r.found) == 0 && !*waiting {
		*waiting = true
		s.calls.WaitingNow++
	}
	return r
}

// record appends a write to the history, trims that and wakes the watches.
func (s *Store) record(e store.Entry) {
	s.history = append(s.history, e)
	limit := s.faults.HistoryLimit
	if limit == 0 {
		limit = defaultHistoryLimit
	}
	if drop := len(s.history) - limit; drop > 0 {
		s.trimmed = s.history[drop-1].Version
		s.history = s.history[drop:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

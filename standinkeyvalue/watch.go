package standinkeyvalue

import (
	"context"
	"sort"
	"strings"
	"time"

	"crocuslug/store"
)

// Watch waits for writes later than version after to keys that start with prefix.
// It returns them, or none once the longest wait is over, with the version up to
// which it looked. If the history no longer reaches back to after, it returns
// store.Trimmed and the present version.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Version) ([]store.Entry, store.Version, error) {
	return s.watch(ctx, prefix, after, 0)
}

// watch implements Watch for a caller that asks for a wait of at most limit. A limit of 0 means the
// longest wait of the service.
func (s *Store) watch(ctx context.Context, prefix string, after store.Version, limit time.Duration) ([]store.Entry, store.Version, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return nil, after, err
	}
	done := make(chan struct{})
	sub := s.timer.After(s.beginWatch(limit), func(time.Time) { close(done) })
	defer sub.Stop()
	waiting := false
	defer s.endWatch(&waiting)
	for {
		r := s.writesAfter(prefix, after, &waiting)
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

// beginWatch counts a watch and returns its longest wait, which is at most limit if that is not 0.
func (s *Store) beginWatch(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Watches++
	wait := defaultWatchWait
	if s.faults.WatchWait > 0 {
		wait = s.faults.WatchWait
	}
	if limit > 0 {
		wait = min(wait, limit)
	}
	return wait
}

func (s *Store) endWatch(waiting *bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *waiting {
		s.calls.WaitingNow--
	}
}

// watchResult is the outcome of one search of the history by a watch.
type watchResult struct {
	found   []store.Entry
	now     store.Version
	changed chan struct{} // closed at the next write
	err     error
}

// writesAfter searches the history for writes later than version after. If
// there are none, it counts the watch as waiting unless *waiting is already set.
func (s *Store) writesAfter(prefix string, after store.Version, waiting *bool) watchResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	r := watchResult{now: s.version, changed: s.changed}
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

// appendHistory appends a write to the history, trims the history to its limit
// and wakes the waiting watches.
func (s *Store) appendHistory(e store.Entry) {
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

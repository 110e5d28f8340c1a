package claim

import (
	"slices"
	"time"
)

// Bounds of merges: so many segments become one of at most so many bytes.
const (
	mergeCount = 16
	mergeBytes = 512 << 10
)

// Spill moves the entries of the head to a segment once they exceed the bound,
// and merges small segments. It calls write with the number and the entries of
// a segment, which returns the name under which it has stored them; read
// returns the entries of a segment. The names of segments that the new head
// does without are returned; they may go once it is written.
func (b *Book) Spill(now time.Time, read func(name string) ([]Entry, error), write func(number uint64, es []Entry) (string, error)) ([]string, error) {
	if b.bytes <= b.cfg.MaxTail {
		return nil, nil
	}
	kept, dropped := b.split(now)
	small := mergeable(kept)
	parts := [][]Entry{b.head.Tail}
	if len(small) >= mergeCount {
		parts = nil
		for _, s := range small {
			es, err := read(s.Name)
			if err != nil {
				return nil, err
			}
			parts = append(parts, es)
			dropped = append(dropped, s.Name)
		}
		parts = append(parts, b.head.Tail)
		kept = kept[:len(kept)-len(small)]
	}
	s, err := b.join(parts, write)
	if err != nil {
		return nil, err
	}
	b.head = head{b.head.Spills + 1, append(kept, s), nil}
	b.tailAt = make(map[Hash]int)
	b.bytes = 0
	b.changed = true
	b.evict(now)
	return dropped, nil
}

// mergeable returns the latest segments that fit into one.
func mergeable(segments []segment) []segment {
	total := 0
	i := len(segments)
	for i > 0 && total+segments[i-1].Bytes <= mergeBytes {
		i--
		total += segments[i].Bytes
	}
	return segments[i:]
}

// join writes parts, oldest first, as one segment with the last entry of each key.
func (b *Book) join(parts [][]Entry, write func(number uint64, es []Entry) (string, error)) (segment, error) {
	var es []Entry
	var s segment
	at := make(map[Hash]int)
	for _, e := range slices.Concat(parts...) {
		if i, ok := at[e.Key]; ok {
			es[i] = e
			continue
		}
		at[e.Key] = len(es)
		es = append(es, e)
	}
	for _, e := range es {
		s.Newest = max(s.Newest, e.Taken)
		s.Bytes += size(e)
	}
	name, err := write(b.head.Spills+1, es)
	s.Name = name
	return s, err
}

func (b *Book) split(now time.Time) (kept []segment, dropped []string) {
	for _, s := range b.head.Segments {
		if b.expired(s.Newest, now) {
			dropped = append(dropped, s.Name)
			continue
		}
		kept = append(kept, s)
	}
	return kept, dropped
}

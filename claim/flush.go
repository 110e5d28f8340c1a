package claim

import (
	"slices"
	"time"
)

// Limits of a merge of segments.
const (
	mergeCount = 16        // smallest number of segments that are merged
	mergeBytes = 512 << 10 // largest total size of the merged segments
)

// Flush moves the entries of the head to a new segment if they are larger than
// MaxTail, and merges small segments. The function read returns the entries of
// a segment. The function write stores the entries of the segment with the
// given number and returns the name under which it has stored them. Flush
// returns the names of segments that the new head no longer refers to; they may
// be deleted once the head has been written.
func (b *Bucket) Flush(now time.Time, read func(name string) ([]Entry, error), write func(number uint64, es []Entry) (string, error)) ([]string, error) {
	if b.tailBytes <= b.cfg.MaxTail {
		return nil, nil
	}
	kept, dropped := b.splitExpired(now)
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
	s, err := b.writeMerged(parts, write)
	if err != nil {
		return nil, err
	}
	b.head = head{b.head.Flushes + 1, append(kept, s), nil}
	b.tailIndex = make(map[Hash]int)
	b.tailBytes = 0
	b.changed = true
	b.removeExpired(now)
	return dropped, nil
}

// mergeable returns the newest segments whose total size is at most mergeBytes.
func mergeable(segments []segment) []segment {
	total := 0
	i := len(segments)
	for i > 0 && total+segments[i-1].Bytes <= mergeBytes {
		i--
		total += segments[i].Bytes
	}
	return segments[i:]
}

// writeMerged writes parts, which are ordered from old to new, as one segment
// that holds the newest entry of each key.
func (b *Bucket) writeMerged(parts [][]Entry, write func(number uint64, es []Entry) (string, error)) (segment, error) {
	var es []Entry
	var s segment
	index := make(map[Hash]int)
	for _, e := range slices.Concat(parts...) {
		if i, ok := index[e.Key]; ok {
			es[i] = e
			continue
		}
		index[e.Key] = len(es)
		es = append(es, e)
	}
	for _, e := range es {
		s.Newest = max(s.Newest, e.ClaimedAt)
		s.Bytes += size(e)
	}
	name, err := write(b.head.Flushes+1, es)
	s.Name = name
	return s, err
}

// splitExpired returns the segments to keep, and the names of those whose
// entries have all expired.
func (b *Bucket) splitExpired(now time.Time) (kept []segment, dropped []string) {
	for _, s := range b.head.Segments {
		if b.expired(s.Newest, now) {
			dropped = append(dropped, s.Name)
			continue
		}
		kept = append(kept, s)
	}
	return kept, dropped
}

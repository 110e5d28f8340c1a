package exchange

import "sync"

// buffers bounds the memory of the parts of bodies that are read into memory, over all answers of a
// client. If it is used up, the answer that holds the most is broken off: bytes that are no answer
// may come without end, and the other answers must not fail for them.
type buffers struct {
	limit int64 // in bytes

	mu   sync.Mutex
	used int64 // in bytes
	held map[*hold]struct{}
}

// hold is the memory that is counted for one answer.
type hold struct {
	size  int64  // in bytes
	lost  bool   // the answer was broken off
	abort func() // ends reading the answer
}

func newBuffers(limit int64) *buffers {
	return &buffers{limit: limit, held: make(map[*hold]struct{})}
}

// take counts n bytes more for h and breaks off answers until the limit is met. It returns an error
// of class Broken if h is one of them.
func (b *buffers) take(h *hold, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !h.lost {
		b.held[h] = struct{}{}
		b.used += n
		h.size += n
	}
	for b.used > b.limit {
		most := b.largest(h)
		b.remove(most)
		most.lost = true
		most.abort()
	}
	return b.lostError(h)
}

// reason returns why h was broken off, or nil if it was not.
func (b *buffers) reason(h *hold) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lostError(h)
}

func (b *buffers) lostError(h *hold) error {
	if h.lost {
		return Broken.New("bodies in memory exceed %d bytes, and this one is the largest", b.limit)
	}
	return nil
}

// largest returns the hold of the greatest size, and h if there are several.
func (b *buffers) largest(h *hold) *hold {
	most := h
	for other := range b.held {
		if other.size > most.size {
			most = other
		}
	}
	return most
}

// release gives back what is counted for h. It reports whether the answer was broken off before.
func (b *buffers) release(h *hold) (lost bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(h)
	return h.lost
}

func (b *buffers) remove(h *hold) {
	b.used -= h.size
	h.size = 0
	delete(b.held, h)
}

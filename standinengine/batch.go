package standinengine

import (
	"container/heap"
	"time"

	"crocuslug/prefix"
)

// stream is one answer in the making. Its tokens follow from nonce and index,
// so only their number is kept.
type stream struct {
	id       string
	model    Model
	priority int
	seq      uint64
	base     int // tokens that were given in continue_from
	produced int // tokens of the whole answer so far
	limit    int // tokens of the whole answer
	nonce    string
	blocks   []prefix.Block
	bytes    int // of the prompt
	crashes  bool
	running  bool
	ended    bool
	gone     bool // cancelled
	ready    time.Time
	attached int       // connections that read it
	left     time.Time // when the last of them was lost, or the stream ended
	readers  map[chan struct{}]struct{}
}

// wake tells the readers of the stream that it has moved.
func (s *stream) wake() {
	for ch := range s.readers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// batch decodes running streams together, a token each per step, and keeps the
// others in a queue by priority.
type batch struct {
	cfg      *Settings
	counters *Counters
	cache    *cache
	streams  map[string]*stream
	running  []*stream
	waiting  waiting
	seq      uint64
	credit   float64 // steps that are due
	factor   float64 // how many times slower than usual it decodes
	swept    time.Time
}

func newBatch(cfg *Settings, counters *Counters) *batch {
	return &batch{
		cfg: cfg, counters: counters, factor: 1,
		cache:   newCache(cfg.CacheBlocks, cfg.EventLag, uint64(max(cfg.EventGap, 0))),
		streams: make(map[string]*stream),
	}
}

// full reports whether a further stream would exceed the queue.
func (b *batch) full() bool {
	return len(b.running) >= b.cfg.Slots && len(b.waiting) >= b.cfg.QueueLimit
}

// submit takes a stream that has one connection attached.
func (b *batch) submit(now time.Time, s *stream) {
	b.seq++
	s.seq = b.seq
	s.attached = 1
	s.readers = make(map[chan struct{}]struct{})
	b.streams[s.id] = s
	b.counters.Started++
	if s.base > 0 {
		b.counters.Continued++
	}
	heap.Push(&b.waiting, s)
	b.fill(now)
}

// fill gives free slots to waiting streams.
func (b *batch) fill(now time.Time) {
	for len(b.running) < b.cfg.Slots && len(b.waiting) > 0 {
		s := heap.Pop(&b.waiting).(*stream)
		if s.gone {
			continue
		}
		s.running = true
		s.ready = now.Add(b.prefill(now, s))
		b.running = append(b.running, s)
	}
}

// Sizes by which the work of prefill is counted.
const (
	bytesPerToken = 4
	blockBytes    = 256
)

// prefill returns the time that the prompt takes, less what is cached.
func (b *batch) prefill(now time.Time, s *stream) time.Duration {
	hits := b.cache.use(now, s.blocks)
	tokens := (s.bytes-hits*blockBytes)/bytesPerToken + s.base
	b.counters.PrefillTokens += uint64(tokens)
	return time.Duration(tokens) * b.cfg.PrefillPerToken
}

// step decodes one token of each running stream. It reports whether a stream
// has crashed the engine.
func (b *batch) step(now time.Time) (crashed bool) {
	b.sweep(now)
	b.credit += 1 / b.factor
	if b.credit < 1 {
		return false
	}
	b.credit--
	kept := b.running[:0]
	for _, s := range b.running {
		if s.gone {
			continue
		}
		if !s.ready.After(now) {
			if s.crashes {
				return true
			}
			b.decode(now, s)
		}
		if !s.ended {
			kept = append(kept, s)
		}
	}
	clear(b.running[len(kept):])
	b.running = kept
	b.fill(now)
	return false
}

func (b *batch) decode(now time.Time, s *stream) {
	if s.produced < s.limit {
		s.produced++
		b.counters.Decoded++
	}
	if s.produced >= s.limit {
		s.ended, s.running = true, false
		s.left = now
	}
	s.wake()
}

// cancel ends a stream and forgets it.
func (b *batch) cancel(s *stream) {
	if !s.ended {
		b.counters.Cancelled++
	}
	s.gone = true
	delete(b.streams, s.id)
	s.wake()
	if s.running {
		return
	}
	for i, w := range b.waiting {
		if w == s {
			heap.Remove(&b.waiting, i)
			return
		}
	}
}

// detach takes note that a connection of the stream was lost.
func (b *batch) detach(now time.Time, s *stream) {
	s.attached--
	s.left = now
}

// sweepInterval is the time between two searches for abandoned streams.
const sweepInterval = 200 * time.Millisecond

// sweep cancels streams that nobody has read for the grace period.
func (b *batch) sweep(now time.Time) {
	if now.Sub(b.swept) < sweepInterval {
		return
	}
	b.swept = now
	for _, s := range b.streams {
		if s.attached == 0 && now.Sub(s.left) >= b.cfg.StreamGrace {
			b.cancel(s)
		}
	}
}

// waiting is a heap of streams by priority, then by order of arrival.
type waiting []*stream

func (q waiting) Len() int { return len(q) }

func (q waiting) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].seq < q[j].seq
}

func (q waiting) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds a stream; heap calls it.
func (q *waiting) Push(x any) { *q = append(*q, x.(*stream)) }

// Pop removes the last stream; heap calls it.
func (q *waiting) Pop() any {
	old := *q
	n := len(old) - 1
	s := old[n]
	old[n] = nil
	*q = old[:n]
	return s
}

package standinengine

import (
	"container/heap"
	"time"

	"crocuslug/prefix"
)

// stream is one answer being decoded. Its tokens are computed from nonce and
// index, so only their number is stored.
type stream struct {
	id           string
	model        Model
	priority     int
	seq          uint64
	base         int // tokens given in continue_from
	produced     int // tokens of the whole answer so far, with base
	limit        int // tokens of the complete answer, with base
	nonce        string
	blocks       []prefix.Block
	bytes        int  // size of the prompt
	crashes      bool // whether decoding it crashes the engine
	running      bool
	ended        bool
	cancelled    bool
	ready        time.Time // end of prefill
	attached     int       // connections that read it
	lastDetached time.Time // last time that a connection was lost or the stream ended
	readers      map[chan struct{}]struct{}
}

// notifyReaders notifies the readers of the stream that it has new tokens or has ended.
func (s *stream) notifyReaders() {
	for ch := range s.readers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// batch decodes the running streams together, one token of each per step, and
// queues the others by priority.
type batch struct {
	cfg       *Settings
	counters  *Counters
	cache     *cache
	streams   map[string]*stream
	running   []*stream
	waiting   waitingQueue
	seq       uint64
	credit    float64 // decoding steps due, below 1 while slowed down
	slowdown  float64 // factor by which decoding is slower; 1 is the usual speed
	lastSweep time.Time
}

func newBatch(cfg *Settings, counters *Counters) *batch {
	return &batch{
		cfg: cfg, counters: counters, slowdown: 1,
		cache:   newCache(cfg.CacheBlocks, cfg.EventLag, uint64(max(cfg.EventGap, 0))),
		streams: make(map[string]*stream),
	}
}

// full reports whether all slots and the queue are occupied.
func (b *batch) full() bool {
	return len(b.running) >= b.cfg.Slots && len(b.waiting) >= b.cfg.QueueLimit
}

// submit adds a stream with one connection attached.
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
	b.startWaiting(now)
}

// startWaiting moves queued streams to free slots.
func (b *batch) startWaiting(now time.Time) {
	for len(b.running) < b.cfg.Slots && len(b.waiting) > 0 {
		s := heap.Pop(&b.waiting).(*stream)
		if s.cancelled {
			continue
		}
		s.running = true
		s.ready = now.Add(b.prefill(now, s))
		b.running = append(b.running, s)
	}
}

// Sizes that convert bytes of a prompt to prefilled tokens.
const (
	bytesPerToken = 4
	blockBytes    = 256
)

// prefill returns the time to prefill the part of the prompt that is not cached,
// and the tokens given in continue_from.
func (b *batch) prefill(now time.Time, s *stream) time.Duration {
	hits := b.cache.store(now, s.blocks)
	tokens := (s.bytes-hits*blockBytes)/bytesPerToken + s.base
	b.counters.PrefillTokens += uint64(tokens)
	return time.Duration(tokens) * b.cfg.PrefillPerToken
}

// step decodes one token of each running stream whose prefill is done. While
// slowed down it decodes only in some of its calls. It reports whether a
// stream crashes the engine.
func (b *batch) step(now time.Time) (crashed bool) {
	b.cancelAbandoned(now)
	b.credit += 1 / b.slowdown
	if b.credit < 1 {
		return false
	}
	b.credit--
	kept := b.running[:0]
	for _, s := range b.running {
		if s.cancelled {
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
	b.startWaiting(now)
	return false
}

func (b *batch) decode(now time.Time, s *stream) {
	if s.produced < s.limit {
		s.produced++
		b.counters.Decoded++
	}
	if s.produced >= s.limit {
		s.ended, s.running = true, false
		s.lastDetached = now
	}
	s.notifyReaders()
}

// cancel ends a stream and removes it. A running one frees its slot in the next
// step.
func (b *batch) cancel(s *stream) {
	if !s.ended {
		b.counters.Cancelled++
	}
	s.cancelled = true
	delete(b.streams, s.id)
	s.notifyReaders()
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

// detach records the loss of a connection of the stream.
func (b *batch) detach(now time.Time, s *stream) {
	s.attached--
	s.lastDetached = now
}

// sweepInterval is the interval of the search for abandoned streams.
const sweepInterval = 200 * time.Millisecond

// cancelAbandoned cancels the streams that had no connection for the grace period.
func (b *batch) cancelAbandoned(now time.Time) {
	if now.Sub(b.lastSweep) < sweepInterval {
		return
	}
	b.lastSweep = now
	for _, s := range b.streams {
		if s.attached == 0 && now.Sub(s.lastDetached) >= b.cfg.StreamGrace {
			b.cancel(s)
		}
	}
}

// waitingQueue is a heap of streams, ordered by priority and then by arrival.
type waitingQueue []*stream

func (q waitingQueue) Len() int { return len(q) }

func (q waitingQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].seq < q[j].seq
}

func (q waitingQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *waitingQueue) Push(x any) { *q = append(*q, x.(*stream)) }

// Pop implements heap.Interface.
func (q *waitingQueue) Pop() any {
	old := *q
	n := len(old) - 1
	s := old[n]
	old[n] = nil
	*q = old[:n]
	return s
}

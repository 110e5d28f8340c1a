// Package affinity estimates which upstreams have which blocks of prompts in their prefix
// caches, using bounded memory.
//
// The estimate is based on the prompts that instances send to upstreams and on the cache
// events of engines. Events arrive late and some are lost, so an entry is only probable. An
// eviction that may be older than the last use is ignored, and after a gap in the events of
// an upstream, its earlier entries have half their weight.
package affinity

import (
	"container/list"
	"time"

	"crocuslug/ident"
	"crocuslug/prefix"
	"crocuslug/unit"
)

// Settings bounds an Index. Zero fields take the defaults.
type Settings struct {
	Blocks  int           // greatest number of blocks in the index; 0 means 65536
	Holders int           // greatest number of upstreams per block; 0 means 4
	Lag     unit.Duration // greatest delay of a cache event; 0 means 5s
	Expiry  unit.Duration // age at which an entry has no weight any more; 0 means 10m
}

// Defaults of Settings.
const (
	defaultBlocks  = 65536
	defaultHolders = 4
	defaultLag     = 5 * time.Second
	defaultExpiry  = 10 * time.Minute
)

// Index maps blocks to the upstreams that probably have them cached. It is not safe for
// concurrent use; routing.Chooser calls it under its lock.
type Index struct {
	cfg     Settings
	blocks  map[prefix.Block]*list.Element
	recent  *list.List // of *entry, most recently used first
	streams map[ident.Upstream]*eventStream
}

// entry is the estimate for one block.
type entry struct {
	block   prefix.Block
	holders []blockHolder
}

// blockHolder is an upstream that probably has a block cached.
type blockHolder struct {
	upstream ident.Upstream
	lastUse  time.Time // last use or stored event
}

// eventStream is the state of the cache events of one upstream.
type eventStream struct {
	nextSeq uint64    // sequence number of the next event
	lastGap time.Time // time of the last gap
}

// New returns an empty Index.
func New(cfg Settings) *Index {
	if cfg.Blocks <= 0 {
		cfg.Blocks = defaultBlocks
	}
	if cfg.Holders <= 0 {
		cfg.Holders = defaultHolders
	}
	if cfg.Lag <= 0 {
		cfg.Lag = unit.Duration(defaultLag)
	}
	if cfg.Expiry <= 0 {
		cfg.Expiry = unit.Duration(defaultExpiry)
	}
	return &Index{
		cfg:     cfg,
		blocks:  make(map[prefix.Block]*list.Element),
		recent:  list.New(),
		streams: make(map[ident.Upstream]*eventStream),
	}
}

// Len returns the number of blocks in the index.
func (x *Index) Len() int {
	return len(x.blocks)
}

// RecordPrompt records that a prompt of these blocks was sent to u.
func (x *Index) RecordPrompt(u ident.Upstream, blocks []prefix.Block, now time.Time) {
	for _, b := range blocks {
		x.store(u, b, now)
	}
}

// store records that u has b cached.
func (x *Index) store(u ident.Upstream, b prefix.Block, now time.Time) {
	el, ok := x.blocks[b]
	if !ok {
		el = x.recent.PushFront(&entry{block: b})
		x.blocks[b] = el
		x.dropOldest()
	}
	x.recent.MoveToFront(el)
	e := el.Value.(*entry)
	oldest := 0
	for i := range e.holders {
		if e.holders[i].upstream == u {
			e.holders[i].lastUse = now
			return
		}
		if e.holders[i].lastUse.Before(e.holders[oldest].lastUse) {
			oldest = i
		}
	}
	if len(e.holders) < x.cfg.Holders {
		e.holders = append(e.holders, blockHolder{u, now})
		return
	}
	e.holders[oldest] = blockHolder{u, now}
}

// dropOldest removes the least recently used blocks that exceed the bound.
func (x *Index) dropOldest() {
	for len(x.blocks) > x.cfg.Blocks {
		el := x.recent.Back()
		x.recent.Remove(el)
		delete(x.blocks, el.Value.(*entry).block)
	}
}

// Event is a cache event of an engine.
type Event struct {
	Seq    uint64 // increases by one with each event of an engine
	Stored bool   // true if the block was stored, false if it was evicted
	Block  prefix.Block
}

// ApplyEvents applies events of u, which must be in rising order. A jump in their sequence
// numbers is a gap.
func (x *Index) ApplyEvents(u ident.Upstream, events []Event, now time.Time) {
	s, known := x.streams[u]
	if !known {
		s = &eventStream{}
		x.streams[u] = s
	}
	for _, e := range events {
		if known && e.Seq < s.nextSeq {
			continue
		}
		if known && e.Seq > s.nextSeq {
			s.lastGap = now
		}
		known = true
		s.nextSeq = e.Seq + 1
		if e.Stored {
			x.store(u, e.Block, now)
			continue
		}
		x.evict(u, e.Block, now)
	}
}

// evict removes the entry unless the eviction may be older than the last use.
func (x *Index) evict(u ident.Upstream, b prefix.Block, now time.Time) {
	el, ok := x.blocks[b]
	if !ok {
		return
	}
	e := el.Value.(*entry)
	for i, h := range e.holders {
		if h.upstream == u && now.Sub(h.lastUse) > x.cfg.Lag.Std() {
			e.holders = append(e.holders[:i], e.holders[i+1:]...)
			return
		}
	}
}

// Restarted resets the sequence numbers of u, whose cache is empty again. Its earlier entries
// have half their weight until they are confirmed or expire.
func (x *Index) Restarted(u ident.Upstream, now time.Time) {
	x.streams[u] = &eventStream{lastGap: now}
}

// Remove forgets the sequence numbers of an upstream that no longer exists. Its entries are
// dropped when their blocks are no longer used.
func (x *Index) Remove(u ident.Upstream) {
	delete(x.streams, u)
}

// Holder is an upstream that probably has the start of a prompt cached.
type Holder struct {
	Upstream ident.Upstream
	Blocks   float64 // expected number of leading blocks in its cache
}

// gapWeight is the weight of an entry that is older than the last gap.
const gapWeight = 0.5

// prefixRun is a holder of the first blocks of a prompt during a search.
type prefixRun struct {
	Holder
	depth int // number of consecutive blocks held
}

// Holders returns the upstreams that probably have a prefix of blocks cached.
func (x *Index) Holders(blocks []prefix.Block, now time.Time) []Holder {
	var runs []prefixRun
	for depth, b := range blocks {
		el, ok := x.blocks[b]
		if !ok {
			break
		}
		x.recent.MoveToFront(el)
		var extended bool
		runs, extended = x.extend(runs, el.Value.(*entry), depth, now)
		if !extended {
			break
		}
	}
	hs := make([]Holder, len(runs))
	for i := range runs {
		hs[i] = runs[i].Holder
	}
	return hs
}

// extend adds the block at depth to each run that includes all blocks before it, and reports
// whether there was any.
func (x *Index) extend(runs []prefixRun, e *entry, depth int, now time.Time) ([]prefixRun, bool) {
	extended := false
	for _, h := range e.holders {
		if depth == 0 {
			runs = append(runs, prefixRun{Holder: Holder{Upstream: h.upstream}})
		}
		for i := range runs {
			r := &runs[i]
			if r.Upstream == h.upstream && r.depth == depth {
				r.Blocks += x.weight(h, now)
				r.depth++
				extended = true
			}
		}
	}
	return runs, extended
}

// weight returns the probability weight of h, 0 to 1.
func (x *Index) weight(h blockHolder, now time.Time) float64 {
	if now.Sub(h.lastUse) > x.cfg.Expiry.Std() {
		return 0
	}
	if s, ok := x.streams[h.upstream]; ok && !h.lastUse.After(s.lastGap) {
		return gapWeight
	}
	return 1
}

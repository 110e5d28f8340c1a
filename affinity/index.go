// Package affinity keeps a bounded guess of which upstream holds which blocks
// of which prompts in its prefix cache.
//
// The guess is learned from an instance's own routing and from the cache events
// of engines. Events come late and with gaps, so an entry is a likelihood and
// never a fact: an eviction that may be older than the last own use is ignored,
// and after a gap all earlier entries of that upstream count half.
package affinity

import (
	"container/list"
	"time"

	"crocuslug/ident"
	"crocuslug/prefix"
	"crocuslug/unit"
)

// Settings bound an Index. The zero value takes the defaults.
type Settings struct {
	Blocks  int           // blocks remembered; 0 means 65536
	Holders int           // upstreams remembered for a block; 0 means 4
	Lag     unit.Duration // greatest delay of a cache event; 0 means 5s
	Expiry  unit.Duration // age at which an entry counts nothing; 0 means 10m
}

// Defaults of Settings.
const (
	defaultBlocks  = 65536
	defaultHolders = 4
	defaultLag     = 5 * time.Second
	defaultExpiry  = 10 * time.Minute
)

// Index is the guess. It is not safe for concurrent use; routing.Chooser holds
// its lock around it.
type Index struct {
	cfg     Settings
	blocks  map[prefix.Block]*list.Element
	recent  *list.List // of *entry, most recently used first
	streams map[ident.Upstream]*stream
}

type entry struct {
	block   prefix.Block
	holders []holding
}

type holding struct {
	upstream ident.Upstream
	used     time.Time // last own use or stored event
}

type stream struct {
	next  uint64    // number of the next event
	doubt time.Time // time of the last gap
}

// New returns an empty index.
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
		streams: make(map[ident.Upstream]*stream),
	}
}

// Len returns the number of blocks that the index remembers.
func (x *Index) Len() int {
	return len(x.blocks)
}

// Note records that u was sent a prompt of these blocks.
func (x *Index) Note(u ident.Upstream, blocks []prefix.Block, now time.Time) {
	for _, b := range blocks {
		x.store(u, b, now)
	}
}

func (x *Index) store(u ident.Upstream, b prefix.Block, now time.Time) {
	el, ok := x.blocks[b]
	if !ok {
		el = x.recent.PushFront(&entry{block: b})
		x.blocks[b] = el
		x.trim()
	}
	x.recent.MoveToFront(el)
	e := el.Value.(*entry)
	oldest := 0
	for i := range e.holders {
		if e.holders[i].upstream == u {
			e.holders[i].used = now
			return
		}
		if e.holders[i].used.Before(e.holders[oldest].used) {
			oldest = i
		}
	}
	if len(e.holders) < x.cfg.Holders {
		e.holders = append(e.holders, holding{u, now})
		return
	}
	e.holders[oldest] = holding{u, now}
}

func (x *Index) trim() {
	for len(x.blocks) > x.cfg.Blocks {
		el := x.recent.Back()
		x.recent.Remove(el)
		delete(x.blocks, el.Value.(*entry).block)
	}
}

// Event is one cache event of an engine.
type Event struct {
	Seq    uint64 // rises by one with each event of an engine
	Stored bool   // stored if true, evicted if not
	Block  prefix.Block
}

// Apply takes the events of u in rising order. A jump in their numbers is a gap.
func (x *Index) Apply(u ident.Upstream, events []Event, now time.Time) {
	s, known := x.streams[u]
	if !known {
		s = &stream{}
		x.streams[u] = s
	}
	for _, e := range events {
		if known && e.Seq < s.next {
			continue
		}
		if known && e.Seq > s.next {
			s.doubt = now
		}
		known = true
		s.next = e.Seq + 1
		if e.Stored {
			x.store(u, e.Block, now)
			continue
		}
		x.evict(u, e.Block, now)
	}
}

// evict forgets the entry unless the event may be older than its last use.
func (x *Index) evict(u ident.Upstream, b prefix.Block, now time.Time) {
	el, ok := x.blocks[b]
	if !ok {
		return
	}
	e := el.Value.(*entry)
	for i, h := range e.holders {
		if h.upstream == u && now.Sub(h.used) > x.cfg.Lag.Std() {
			e.holders = append(e.holders[:i], e.holders[i+1:]...)
			return
		}
	}
}

// Restarted forgets the event numbers of u, whose cache is empty again. Its
// earlier entries count half until they are confirmed or expire.
func (x *Index) Restarted(u ident.Upstream, now time.Time) {
	x.streams[u] = &stream{doubt: now}
}

// Remove forgets the event numbers of an upstream that is gone. Its entries
// leave with the oldest blocks.
func (x *Index) Remove(u ident.Upstream) {
	delete(x.streams, u)
}

// Holder is an upstream that probably holds the start of a prompt.
type Holder struct {
	Upstream ident.Upstream
	Blocks   float64 // expected number of leading blocks in its cache
}

// doubtful is the weight of an entry from before a gap.
const doubtful = 0.5

// run is a holder of the first blocks of a prompt while it is walked.
type run struct {
	Holder
	depth int // blocks held without a gap
}

// Holders returns the upstreams that probably hold a first part of blocks.
func (x *Index) Holders(blocks []prefix.Block, now time.Time) []Holder {
	var runs []run
	for depth, b := range blocks {
		el, ok := x.blocks[b]
		if !ok {
			break
		}
		x.recent.MoveToFront(el)
		var grown bool
		runs, grown = x.extend(runs, el.Value.(*entry), depth, now)
		if !grown {
			break
		}
	}
	hs := make([]Holder, len(runs))
	for i := range runs {
		hs[i] = runs[i].Holder
	}
	return hs
}

// extend adds the block at depth to each run that holds all blocks before it,
// and says whether there was one.
func (x *Index) extend(runs []run, e *entry, depth int, now time.Time) ([]run, bool) {
	grown := false
	for _, h := range e.holders {
		if depth == 0 {
			runs = append(runs, run{Holder: Holder{Upstream: h.upstream}})
		}
		for i := range runs {
			r := &runs[i]
			if r.Upstream == h.upstream && r.depth == depth {
				r.Blocks += x.weight(h, now)
				r.depth++
				grown = true
			}
		}
	}
	return runs, grown
}

func (x *Index) weight(h holding, now time.Time) float64 {
	if now.Sub(h.used) > x.cfg.Expiry.Std() {
		return 0
	}
	if s, ok := x.streams[h.upstream]; ok && !h.used.After(s.doubt) {
		return doubtful
	}
	return 1
}

// Package bodybudget decides which bodies of requests and answers may take memory, and which give way.
//
// Many callers may send large bodies that never end, or read their answers slowly, and all of these are held in
// memory. One budget of bytes bounds them together. Each request has a Claim, which takes bytes in steps, before
// they are read. When the budget is used up, the body that has made no progress for the longest time gives way, so
// that bodies that stall make room for those that arrive.
//
// A request that has been passed on may have run, and is not given up any more. Its answer waits for a while
// and is then granted what it needs beyond the limit; the adapter bounds answers by a limit of their own.
//
// The package has one lock, and neither a clock nor a goroutine.
package bodybudget

import (
	"sync"
	"time"

	"crocuslug/unit"
)

// Settings of a Budget. Zero fields take the defaults.
type Settings struct {
	Limit    int64         // bytes of all bodies together; required
	Patience time.Duration // time without progress after which a body may have to give way; 0 means 500ms
	Small    int64         // bytes up to which a body may use the reserve; 0 means 64 KiB
	// Collected says that the memory of larger claims than Small is free only after a garbage collection.
	// Otherwise refused bodies leave garbage faster than a busy collector frees it.
	Collected bool
}

// Defaults of Settings.
const (
	defaultPatience = 500 * time.Millisecond // a step of 64 KiB takes as long at 1 Mbit/s
	defaultSmall    = 64 << 10               // ordinary bodies have some KiB
)

// reserveShare is the part of the limit, as a divisor, that is left to small bodies while large ones use up the rest.
const reserveShare = 8

// Counts are numbers of events since the start and the bytes in use now.
type Counts struct {
	Bytes    int64  // taken now
	Limit    int64  // bytes in all
	Waited   uint64 // times that a body waited for bytes
	GaveWay  uint64 // bodies that gave way to others
	Refused  uint64 // bodies that waited in vain
	Exceeded uint64 // steps of answers that were granted beyond the limit
	Collects uint64 // garbage collections that were asked for
}

// Budget is a number of bytes that all bodies share. Its methods and those of its claims may be called from any
// goroutine.
type Budget struct {
	cfg Settings

	mu      sync.Mutex
	floor   int64 // size of the largest body that is served if nothing else is in progress
	used    int64 // bytes of all claims
	leaving int64 // part of used that evicted claims have not released yet
	garbage int64 // part of used that was released and is free after a garbage collection
	swept   int64 // part of garbage that the collection in progress frees; 0 if there is none
	stalled claimList
	waiting []*Claim // in the order in which they began to wait
	counts  Counts
}

// New returns a budget.
func New(cfg Settings) *Budget {
	unit.SetDefault(&cfg.Patience, defaultPatience)
	unit.SetDefault(&cfg.Small, defaultSmall)
	return &Budget{cfg: cfg}
}

// Counts returns the counts of b.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts
	c.Bytes, c.Limit = b.used, b.total()
	return c
}

// total returns the number of bytes that all bodies may take together.
func (b *Budget) total() int64 { return max(b.cfg.Limit, b.floor+b.cfg.Limit/reserveShare) }

// room returns the number of bytes that all bodies may take if a body of the given size is to grow.
func (b *Budget) room(size int64) int64 {
	if size <= b.cfg.Small {
		return b.total()
	}
	return b.total() - b.cfg.Limit/reserveShare
}

// evict makes a claim give way. Its bytes are free once its owner releases them.
func (b *Budget) evict(c *Claim) {
	b.counts.GaveWay++
	b.giveUp(c)
	c.evict(c.phase == writing)
	c.wake()
}

// giveUp marks a claim as evicted.
func (b *Budget) giveUp(c *Claim) {
	c.evicted = true
	b.leaving += c.size
	b.stalled.remove(c)
	b.stopWaiting(c)
}

// free takes bytes back from a claim and wakes the claims for which there may be room now.
func (b *Budget) free(c *Claim, n int64) {
	n = min(n, c.size)
	c.size -= n
	b.used -= n
	if c.evicted {
		b.leaving -= n
	}
	if n > 0 {
		b.wakeWaiting()
	}
}

// wakeWaiting wakes the claims for which there may be room now.
func (b *Budget) wakeWaiting() {
	room := b.total() - b.used + b.garbage
	for len(b.waiting) > 0 && room > 0 {
		first := b.waiting[0]
		room -= first.wanted
		b.waiting = b.waiting[1:]
		first.wake()
	}
}

// Collected records that a garbage collection that a Verdict asked for has ended.
func (b *Budget) Collected() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= b.swept
	b.garbage -= b.swept
	b.swept = 0
	b.wakeWaiting()
}

// stopWaiting removes a claim from the waiting ones.
func (b *Budget) stopWaiting(c *Claim) {
	for i, w := range b.waiting {
		if w == c {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return
		}
	}
}

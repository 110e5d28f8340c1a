package standinengine

import (
	"container/list"
	"fmt"
	"time"

	"crocuslug/prefix"
)

// maxEvents limits the events in one response. Up to twice as many are kept.
const maxEvents = 4096

// delayedEvent is a cache event with the time from which responses include it.
type delayedEvent struct {
	cacheEvent
	visible time.Time
}

// cache is a bounded prefix cache that evicts the least recently used block.
// It publishes its events after a delay and loses one of every gap events.
type cache struct {
	limit  int
	lag    time.Duration
	gap    uint64
	order  *list.List // of prefix.Block, most recently used first
	blocks map[prefix.Block]*list.Element
	seq    uint64
	events []delayedEvent
}

func newCache(limit int, lag time.Duration, gap uint64) *cache {
	return &cache{limit: limit, lag: lag, gap: gap, order: list.New(), blocks: make(map[prefix.Block]*list.Element)}
}

// store stores blocks and returns the length of their longest prefix that was
// already cached, in blocks.
func (c *cache) store(now time.Time, blocks []prefix.Block) int {
	hits := 0
	for hits < len(blocks) && c.blocks[blocks[hits]] != nil {
		hits++
	}
	for _, b := range blocks {
		c.touch(now, b)
	}
	return hits
}

func (c *cache) touch(now time.Time, b prefix.Block) {
	if e := c.blocks[b]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.blocks[b] = c.order.PushFront(b)
	c.publish(now, "stored", b)
	if c.order.Len() <= c.limit {
		return
	}
	last := c.order.Remove(c.order.Back()).(prefix.Block)
	delete(c.blocks, last)
	c.publish(now, "evicted", last)
}

func (c *cache) publish(now time.Time, kind string, b prefix.Block) {
	c.seq++
	if c.gap > 0 && c.seq%c.gap == 0 {
		return
	}
	e := cacheEvent{Seq: c.seq, Kind: kind, Block: fmt.Sprintf("%016x", uint64(b))}
	c.events = append(c.events, delayedEvent{e, now.Add(c.lag)})
	if len(c.events) > 2*maxEvents {
		c.events = append([]delayedEvent(nil), c.events[maxEvents:]...)
	}
}

// eventsAfter returns the published events with sequence numbers above after.
func (c *cache) eventsAfter(now time.Time, after uint64) cacheEvents {
	out := cacheEvents{Next: after, Events: []cacheEvent{}}
	for _, e := range c.events {
		if e.Seq <= after {
			continue
		}
		if e.visible.After(now) || len(out.Events) == maxEvents {
			break
		}
		out.Events = append(out.Events, e.cacheEvent)
		out.Next = e.Seq
	}
	return out
}

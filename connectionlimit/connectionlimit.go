// Package connectionlimit decides which connections of callers may be open, and which give way to new ones.
//
// A process has a bounded number of descriptors. Callers that open connections and send nothing, or send requests
// that never end, would keep all others out for as long as an idle connection or a body may last. When the limit is
// reached, a new connection takes the place of the one that has kept the instance waiting for the longest time: first
// one whose request is incomplete, then one that is idle. Connections whose request is being answered stay.
//
// The package has one lock, and neither a clock nor a goroutine.
package connectionlimit

import (
	"container/list"
	"sync"
	"time"

	"crocuslug/unit"
)

// Settings of a Limit. Zero fields but Most take the defaults.
type Settings struct {
	Most     int           // connections; required
	Patience time.Duration // time without progress after which a connection may have to give way; 0 means 500ms
}

const (
	defaultPatience = 500 * time.Millisecond // a part of 4 KiB takes as long at 64 kbit/s
	// leavingShare is the part of Settings.Most, as a divisor, by which connections that gave way and are still
	// open may exceed it.
	leavingShare = 16
)

// Counts are the numbers of open connections and of events since the start.
type Counts struct {
	Open    int
	GaveWay uint64 // connections that gave way to others
	Refused uint64 // new connections that were not taken
}

// Limit is a number of connections. Its methods and those of its places may be called from any goroutine.
type Limit struct {
	cfg Settings

	mu       sync.Mutex
	leaving  int       // places that were evicted and not released yet
	reading  list.List // places whose request is being read, the one without progress for the longest time first
	idle     list.List // places without a request, in the order in which they became idle
	counters Counts
}

// New returns a limit.
func New(cfg Settings) *Limit {
	unit.SetDefault(&cfg.Patience, defaultPatience)
	return &Limit{cfg: cfg}
}

// Counts returns the counts of l.
func (l *Limit) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters
}

// Open returns the place of a new connection, which is idle, or nil if none gives way to it. Evict is called, with the
// lock held, when the connection has to give way: its owner must stop to wait for the caller and release the place.
// Evict must not block or call methods of l or of the place.
func (l *Limit) Open(now time.Time, evict func()) *Place {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counters.Open-l.leaving >= l.cfg.Most && !l.makeRoom(now) {
		l.counters.Refused++
		return nil
	}
	l.counters.Open++
	p := &Place{limit: l, evict: evict}
	p.move(&l.idle, now)
	return p
}

// makeRoom evicts one place. It returns false if none may have to give way.
func (l *Limit) makeRoom(now time.Time) bool {
	if l.leaving >= max(1, l.cfg.Most/leavingShare) {
		return false
	}
	for _, waiting := range []*list.List{&l.reading, &l.idle} {
		first := waiting.Front()
		if first == nil {
			continue
		}
		p := first.Value.(*Place)
		if now.Sub(p.since) < l.cfg.Patience {
			continue
		}
		p.leave()
		p.evicted = true
		l.leaving++
		l.counters.GaveWay++
		p.evict()
		return true
	}
	return false
}

// Place is the place of one connection.
type Place struct {
	limit *Limit
	evict func()

	since   time.Time // of the last progress of the request, or since when the connection is idle
	in      *list.List
	element *list.Element // in the list in; nil if there is none
	evicted bool
}

// Idle records that the connection waits for its next request.
func (p *Place) Idle(now time.Time) {
	p.limit.mu.Lock()
	defer p.limit.mu.Unlock()
	if !p.evicted {
		p.move(&p.limit.idle, now)
	}
}

// Read records that a request has begun, or that a part of it was read. It returns false if the connection had to
// give way.
func (p *Place) Read(now time.Time) bool {
	p.limit.mu.Lock()
	defer p.limit.mu.Unlock()
	if p.evicted {
		return false
	}
	p.move(&p.limit.reading, now)
	return true
}

// Hold records that the whole request was read. It returns false if the connection had to give way before.
func (p *Place) Hold() bool {
	p.limit.mu.Lock()
	defer p.limit.mu.Unlock()
	p.leave()
	return !p.evicted
}

// Release records that the connection is closed. It is called once.
func (p *Place) Release() {
	p.limit.mu.Lock()
	defer p.limit.mu.Unlock()
	p.leave()
	p.limit.counters.Open--
	if p.evicted {
		p.limit.leaving--
	}
}

// move makes p the last of a list.
func (p *Place) move(to *list.List, now time.Time) {
	p.leave()
	p.since, p.in, p.element = now, to, to.PushBack(p)
}

// leave removes p from its list.
func (p *Place) leave() {
	if p.element != nil {
		p.in.Remove(p.element)
		p.in, p.element = nil, nil
	}
}

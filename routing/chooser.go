// Package routing chooses the upstream of each request.
//
// Load reports lag and hundreds of instances read the same ones, so sending all
// to the least loaded upstream makes herds. A Chooser samples two upstreams of
// the instance's subset (the power of two choices: Mitzenmacher, "The Power of
// Two Choices in Randomized Load Balancing", IEEE TPDS 12(10), 2001), adds the
// ones that probably hold the prompt's prefix, and takes the one with the least
// expected delay in seconds: wait for a slot, slower decoding in a full batch,
// and reading of the prompt tokens that are not cached there. Affinity thereby
// yields as soon as the queue costs more than the prefill saved.
//
// Resumed requests come in storms. They are spread at random in proportion to
// free slots, so that many instances with the same reports do not meet on the
// same upstream.
package routing

import (
	"sync"
	"time"

	"crocuslug/affinity"
	"crocuslug/ident"
	"crocuslug/prefix"
	"crocuslug/work"
)

// Chooser makes the choices of one instance. Its methods may be called from
// any goroutine; a lock makes each call one step.
type Chooser struct {
	mu      sync.Mutex
	cfg     Settings
	domain  ident.Domain
	random  func() uint64
	index   *affinity.Index
	engines map[ident.Upstream]*engine
	order   []*engine
	groups  map[Model]*group
	rooms   map[ident.Domain]*Room
	drawn   []*engine // by sample, reused
	prior   float64   // mean load of an engine that other instances sent
	gap     float64   // mean seconds between tokens of a stream
}

// group holds the engines that have one model at hand.
type group struct {
	near []*engine
	all  []*engine
}

// maxGroups bounds the models whose engines are remembered.
const maxGroups = 256

// New returns a chooser for an instance in domain. The function random returns
// 64 random bits at each call; index is owned by the chooser from now on.
func New(cfg Settings, domain ident.Domain, random func() uint64, index *affinity.Index) *Chooser {
	return &Chooser{
		cfg:     cfg.withDefaults(),
		domain:  domain,
		random:  random,
		index:   index,
		engines: make(map[ident.Upstream]*engine),
		groups:  make(map[Model]*group),
		rooms:   make(map[ident.Domain]*Room),
	}
}

// SetCandidates replaces the list of upstreams. What is known about those that
// stay is kept.
func (c *Chooser) SetCandidates(list []Candidate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	engines := make(map[ident.Upstream]*engine, len(list))
	c.order = c.order[:0]
	for _, cand := range list {
		e, ok := c.engines[cand.Upstream]
		if !ok {
			e = &engine{}
		}
		e.Candidate = cand
		engines[cand.Upstream] = e
		c.order = append(c.order, e)
	}
	for u := range c.engines {
		if _, ok := engines[u]; !ok {
			c.index.Remove(u)
		}
	}
	c.engines = engines
	clear(c.groups)
}

// SetLeaving marks an upstream as leaving, or not. It has effect at once.
func (c *Chooser) SetLeaving(u ident.Upstream, leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.engines[u]; ok {
		e.Leaving = leaving
	}
}

// SetOut excludes an upstream that is ejected, or takes it back.
func (c *Chooser) SetOut(u ident.Upstream, out bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.engines[u]; ok {
		e.out = out
	}
}

// IsOut reports whether an upstream is ejected.
func (c *Chooser) IsOut(u ident.Upstream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.engines[u]
	return ok && e.out
}

// ReportLoad takes a load report. One that is older than the last is ignored.
func (c *Chooser) ReportLoad(r Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.engines[r.Upstream]
	if !ok || e.reported && r.At.Before(e.report.At) {
		return
	}
	const weight = 0.05
	c.prior += weight * (e.take(r) - c.prior)
}

// Reading adds to the prompt tokens that u has yet to read for own requests;
// tokens is negative once they are read.
func (c *Chooser) Reading(u ident.Upstream, tokens int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.engines[u]; ok {
		if e.reading > 0 {
			e.read = now
		}
		e.reading = max(0, e.reading+tokens)
	}
}

// Ready reports whether a request that waits would find an upstream.
func (c *Chooser) Ready(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Request{Paced: true}
	for _, e := range c.order {
		if e.usable(r) && !e.busy(r, c.cfg.PrefillRate, now) && c.free(e, now) >= 1 {
			return true
		}
	}
	return false
}

// ReportOthers takes what the other instances have at each upstream, as they
// told each other: requests, and prompt tokens to be read for them. An upstream
// that is not named has none.
func (c *Chooser) ReportOthers(loads map[ident.Upstream]work.Load, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.order {
		if e.reported && at.Before(e.report.At) {
			continue
		}
		n := loads[e.Upstream]
		e.report = Report{Upstream: e.Upstream, At: at}
		e.reported = true
		e.others = float64(n.Requests)
		e.queued = float64(n.Reading)
		if n.Reading > 0 {
			e.read = at
		}
	}
}

// InFlight returns the own requests at each upstream that has any.
func (c *Chooser) InFlight() map[ident.Upstream]work.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[ident.Upstream]work.Load)
	for _, e := range c.order {
		if e.own > 0 {
			out[e.Upstream] = work.Load{Requests: e.own, Reading: e.reading}
		}
	}
	return out
}

// ReportRoom takes the free capacity of another failure domain.
func (c *Chooser) ReportRoom(r Room) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.rooms[r.Domain]; ok && r.At.Before(old.At) {
		return
	}
	c.rooms[r.Domain] = &r
}

// Holds notes that another instance has sent u a prompt of these blocks.
func (c *Chooser) Holds(u ident.Upstream, blocks []prefix.Block, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.engines[u]; ok {
		c.index.Note(u, blocks, now)
	}
}

// CacheEvents takes the cache events of an upstream in rising order.
func (c *Chooser) CacheEvents(u ident.Upstream, events []affinity.Event, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index.Apply(u, events, now)
}

// Done ends a request that was sent to u.
func (c *Chooser) Done(u ident.Upstream, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.engines[u]; ok {
		e.count(-1, now)
	}
}

// Failed ends a request that was sent to u and failed there.
func (c *Chooser) Failed(u ident.Upstream, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.engines[u]
	if !ok {
		return
	}
	e.count(-1, now)
	e.penalty = c.penalty(e, now) + c.cfg.FailurePenalty.Std().Seconds()
	e.failed = now
}

// Suspect notes that u may have failed like others that share its fate. It is
// avoided like one that has failed, for as long as others are to be had.
func (c *Chooser) Suspect(u ident.Upstream, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.engines[u]
	if !ok {
		return
	}
	e.penalty = max(c.penalty(e, now), c.cfg.FailurePenalty.Std().Seconds())
	e.failed = now
}

// Tokens notes that a stream from u brought n tokens in the given time. An
// engine that is slower than the mean is avoided until that is long ago.
func (c *Chooser) Tokens(u ident.Upstream, n int, elapsed time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.engines[u]
	if !ok || n <= 0 {
		return
	}
	const weight = 0.1
	gap := elapsed.Seconds() / float64(n)
	if c.gap == 0 {
		c.gap = gap
	}
	if e.paced.IsZero() {
		e.gap = c.gap
	}
	c.gap += weight / float64(len(c.order)) * (gap - c.gap)
	e.gap += weight * (gap - e.gap)
	e.paced = now
}

// Restarted notes that u lost its cache and its work.
func (c *Chooser) Restarted(u ident.Upstream, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index.Restarted(u, now)
}

// Net returns the slots of the own failure domain less all requests there as
// estimated here, so that those that wait at one engine count against free slots
// of another, and the number of slots.
func (c *Chooser) Net(now time.Time) (net, slots float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.order {
		if !e.out && !e.Leaving {
			net += c.free(e, now)
			slots += e.slots(c.cfg.Slots)
		}
	}
	return net, slots
}

// Free returns the free slots of the own failure domain as estimated here, for
// the Room that is told to other domains.
func (c *Chooser) Free(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	free := 0.0
	for _, e := range c.order {
		if !e.out && !e.Leaving {
			free += max(0, c.free(e, now))
		}
	}
	return int(free)
}

// Sound reports whether an upstream is neither leaving nor ejected, and has not
// failed within the half-life of the penalty.
func (c *Chooser) Sound(u ident.Upstream, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.engines[u]
	if !ok || e.out || e.Leaving {
		return false
	}
	return e.failed.IsZero() || now.Sub(e.failed) > c.cfg.PenaltyHalfLife.Std()
}

// Package routing chooses the upstream of each request.
//
// Load reports are delayed and hundreds of instances read the same ones, so if each sent
// its requests to the least loaded upstream, all would overload the same one. A Chooser
// samples two upstreams of the instance's subset (the power of two choices: Mitzenmacher,
// "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 12(10), 2001), adds
// the upstreams that probably have the prompt's prefix cached, and chooses the one with
// the least expected delay in seconds. The delay consists of the wait for a slot, slower
// decoding in a full batch, and the time to read the prompt tokens that are not cached.
// Thus a cached prefix is ignored as soon as waiting for it costs more than it saves.
//
// Resumed requests arrive in bursts after a failure. They are distributed at random in
// proportion to free slots, so that many instances with the same reports do not send them
// to the same upstream.
package routing

import (
	"sync"
	"time"

	"crocuslug/affinity"
	"crocuslug/ident"
	"crocuslug/prefix"
	"crocuslug/work"
)

// Chooser chooses upstreams on behalf of one instance. Its methods are safe for concurrent
// use.
type Chooser struct {
	mu         sync.Mutex
	cfg        Settings
	domain     ident.Domain
	random     func() uint64
	index      *affinity.Index
	engines    map[ident.Upstream]*engine
	list       []*engine
	groups     map[Model]*group
	capacities map[ident.Domain]*DomainCapacity
	sampled    []*engine // result of sample; its memory is reused
	priorLoad  float64   // mean load that other instances put on an engine
	meanGap    float64   // mean seconds between tokens of a stream
}

// group holds the engines that have one model loaded.
type group struct {
	near []*engine
	all  []*engine
}

// maxGroups bounds the number of cached groups.
const maxGroups = 256

// New returns a Chooser for an instance in the given failure domain. The function random
// returns 64 random bits per call. The Chooser takes ownership of index.
func New(cfg Settings, domain ident.Domain, random func() uint64, index *affinity.Index) *Chooser {
	return &Chooser{
		cfg:        cfg.withDefaults(),
		domain:     domain,
		random:     random,
		index:      index,
		engines:    make(map[ident.Upstream]*engine),
		groups:     make(map[Model]*group),
		capacities: make(map[ident.Domain]*DomainCapacity),
	}
}

// SetCandidates replaces the list of upstreams. The state of upstreams that remain in the
// list is kept.
func (c *Chooser) SetCandidates(list []Candidate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	engines := make(map[ident.Upstream]*engine, len(list))
	c.list = c.list[:0]
	for _, cand := range list {
		e, ok := c.engines[cand.Upstream]
		if !ok {
			e = &engine{}
		}
		e.Candidate = cand
		engines[cand.Upstream] = e
		c.list = append(c.list, e)
	}
	for u := range c.engines {
		if _, ok := engines[u]; !ok {
			c.index.Remove(u)
		}
	}
	c.engines = engines
	clear(c.groups)
}

// SetLeaving sets whether an upstream is leaving.
func (c *Chooser) SetLeaving(u ident.Upstream, leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.engines[u]; ok {
		e.Leaving = leaving
	}
}

// SetOut sets whether an upstream is out of rotation.
func (c *Chooser) SetOut(u ident.Upstream, out bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.engines[u]; ok {
		e.out = out
	}
}

// IsOut reports whether an upstream is out of rotation.
func (c *Chooser) IsOut(u ident.Upstream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.engines[u]
	return ok && e.out
}

// InRotation reports whether an upstream is neither out of rotation nor leaving.
func (c *Chooser) InRotation(u ident.Upstream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.engines[u]
	return ok && !e.out && !e.Leaving
}

// ReportLoad records a load report. A report older than the last one is ignored. It returns an error for a
// report with numbers that no upstream can have, which changes nothing.
func (c *Chooser) ReportLoad(r Report) error {
	if err := r.check(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.engines[r.Upstream]
	if !ok || e.reported && r.At.Before(e.report.At) {
		return nil
	}
	const weight = 0.05
	c.priorLoad += weight * (e.recordReport(r) - c.priorLoad)
	return nil
}

// AddUnreadTokens adds to the prompt tokens that u has not read yet for the requests of this
// instance. A negative number marks tokens as read.
func (c *Chooser) AddUnreadTokens(u ident.Upstream, tokens int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.engines[u]; ok {
		if e.unread > 0 {
			e.lastUnread = now
		}
		e.unread = max(0, e.unread+tokens)
	}
}

// Cached reports whether a usable engine probably has all blocks of the prompt of r cached.
func (c *Chooser) Cached(r Request, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.index.Holders(r.Blocks, now) {
		if e, ok := c.engines[h.Upstream]; ok && h.Blocks >= float64(len(r.Blocks)) && e.usable(&r) {
			return true
		}
	}
	return false
}

// Ready reports whether an upstream can accept a request that waits with RequireIdle.
func (c *Chooser) Ready(now time.Time) bool {
	return c.ReadyFor(Request{RequireIdle: true}, now)
}

// ReadyFor reports whether an upstream with a free slot can accept r.
func (c *Chooser) ReadyFor(r Request, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.list {
		if c.accepts(e, &r, now) && c.free(e, now) >= 1 {
			return true
		}
	}
	return false
}

// ReportPeerLoads records the load of the other instances at each upstream, as reported by
// them: requests and unread prompt tokens. An upstream that is not in loads has none.
func (c *Chooser) ReportPeerLoads(loads map[ident.Upstream]work.Load, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.list {
		if e.reported && at.Before(e.report.At) {
			continue
		}
		n := loads[e.Upstream]
		e.report = Report{Upstream: e.Upstream, At: at}
		e.reported = true
		e.othersLoad = float64(n.Requests)
		e.othersUnread = float64(n.Reading)
		if n.Reading > 0 {
			e.lastUnread = at
		}
	}
}

// InFlight returns the load of this instance at each upstream where it has any.
func (c *Chooser) InFlight() map[ident.Upstream]work.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[ident.Upstream]work.Load)
	for _, e := range c.list {
		if e.inFlight > 0 {
			out[e.Upstream] = work.Load{Requests: e.inFlight, Reading: e.unread}
		}
	}
	return out
}

// ReportCapacity records the free capacity of another failure domain.
func (c *Chooser) ReportCapacity(r DomainCapacity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.capacities[r.Domain]; ok && r.At.Before(old.At) {
		return
	}
	c.capacities[r.Domain] = &r
}

// NotePrompt records that another instance has sent a prompt with these blocks to u.
func (c *Chooser) NotePrompt(u ident.Upstream, blocks []prefix.Block, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.engines[u]; ok {
		c.index.RecordPrompt(u, blocks, now)
	}
}

// ApplyCacheEvents applies the cache events of an upstream, which must be in rising order.
func (c *Chooser) ApplyCacheEvents(u ident.Upstream, events []affinity.Event, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index.ApplyEvents(u, events, now)
}

// Done records the end of a request that was sent to u.
func (c *Chooser) Done(u ident.Upstream, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.engines[u]; ok {
		e.addInFlight(-1, now)
	}
}

// Failed records the failure of a request that was sent to u.
func (c *Chooser) Failed(u ident.Upstream, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.engines[u]
	if !ok {
		return
	}
	e.addInFlight(-1, now)
	e.penalty = c.penalty(e, now) + c.cfg.FailurePenalty.Std().Seconds()
	e.failedAt = now
}

// Suspect records that u may have failed together with other upstreams of its failure
// domain. It is avoided like a failed one while others are available.
func (c *Chooser) Suspect(u ident.Upstream, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.engines[u]
	if !ok {
		return
	}
	e.penalty = max(c.penalty(e, now), c.cfg.FailurePenalty.Std().Seconds())
	e.failedAt = now
}

// ReportTokens records that a stream from u delivered n tokens in the given time. An engine
// that is slower than the mean is avoided until the observation has lost its weight.
func (c *Chooser) ReportTokens(u ident.Upstream, n int, elapsed time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.engines[u]
	if !ok || n <= 0 {
		return
	}
	const weight = 0.1
	gap := elapsed.Seconds() / float64(n)
	if c.meanGap == 0 {
		c.meanGap = gap
	}
	if e.tokenGapAt.IsZero() {
		e.tokenGap = c.meanGap
	}
	c.meanGap += weight / float64(len(c.list)) * (gap - c.meanGap)
	e.tokenGap += weight * (gap - e.tokenGap)
	e.tokenGapAt = now
}

// SetPace sets the time that u takes for the same work compared with the median of all upstreams, and the number of
// requests that it takes well, 0 if these are its slots.
func (c *Chooser) SetPace(u ident.Upstream, factor float64, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.engines[u]; ok {
		e.factor, e.limit = factor, limit
	}
}

// Load returns the estimated number of requests at u.
func (c *Chooser) Load(u ident.Upstream, now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.engines[u]; ok {
		return c.load(e, now)
	}
	return 0
}

// Restarted records that u has restarted with an empty prefix cache.
func (c *Chooser) Restarted(u ident.Upstream, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index.Restarted(u, now)
}

// NetFree returns the number of slots of this failure domain minus all requests estimated to
// be there, and the number of slots. Requests that exceed the slots of one engine are
// subtracted from the free slots of the others.
func (c *Chooser) NetFree(now time.Time) (net, slots float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.list {
		if !e.out && !e.Leaving {
			net += c.free(e, now)
			slots += e.slots(c.cfg.Slots)
		}
	}
	return net, slots
}

// FreeSlots returns the estimated number of free slots of this failure domain, which is
// reported to other domains as a DomainCapacity.
func (c *Chooser) FreeSlots(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	free := 0.0
	for _, e := range c.list {
		if !e.out && !e.Leaving {
			free += max(0, c.free(e, now))
		}
	}
	return int(free)
}

// Healthy reports whether an upstream is neither leaving nor out of rotation, and has not
// failed within the half-life of the penalty.
func (c *Chooser) Healthy(u ident.Upstream, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.engines[u]
	if !ok || e.out || e.Leaving {
		return false
	}
	return e.failedAt.IsZero() || now.Sub(e.failedAt) > c.cfg.PenaltyHalfLife.Std()
}

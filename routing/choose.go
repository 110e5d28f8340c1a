package routing

import (
	"math"
	"slices"
	"time"

	"crocuslug/ident"
)

// Choose decides where r is sent. It never chooses an upstream that is leaving, out of
// rotation, excluded or without the model. A new request is sent only to an upstream with a
// free slot. A resumed request is sent whenever any upstream is usable.
func (c *Chooser) Choose(r Request, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.group(r.Model)
	if r.Resumed {
		return c.resume(g, &r, now)
	}
	e, saved := c.cheapest(g, &r, now)
	if e == nil || c.free(e, now) < 1 {
		e, saved = c.mostFree(g.near, &r, now), 0
	}
	if e == nil || c.free(e, now) <= 0 {
		e = c.mostFree(g.all, &r, now)
		saved = 0
	}
	if e != nil && c.free(e, now) > 0 {
		return c.send(e, &r, saved, now)
	}
	if d, ok := c.spill(&r, now); ok {
		return Decision{Kind: SpillTo, Domain: d}
	}
	if e == nil && !c.anyUsable(g.all, &r) {
		return Decision{Kind: NoUpstream}
	}
	return Decision{Kind: Wait}
}

// anyUsable reports whether an engine in list serves r, however busy it is.
func (c *Chooser) anyUsable(list []*engine, r *Request) bool {
	return slices.ContainsFunc(list, func(e *engine) bool { return e.usable(r) })
}

// accepts reports whether e may be chosen for r now.
func (c *Chooser) accepts(e *engine, r *Request, now time.Time) bool {
	if !e.usable(r) || e.busy(r, c.cfg.PrefillRate, now) || r.Fits != nil && !r.Fits(e.Upstream) {
		return false
	}
	return r.MinFreeShare <= 0 || c.free(e, now) >= r.MinFreeShare*e.slots(c.cfg.Slots)
}

// send counts r as in flight at e and returns the decision to send it there.
func (c *Chooser) send(e *engine, r *Request, saved float64, now time.Time) Decision {
	e.addInFlight(1, now)
	c.index.RecordPrompt(e.Upstream, r.Blocks, now)
	return Decision{Kind: Send, Upstream: e.Upstream, SavedTokens: saved}
}

// group returns the engines that have m loaded.
func (c *Chooser) group(m Model) *group {
	if g, ok := c.groups[m]; ok {
		return g
	}
	if len(c.groups) >= maxGroups {
		clear(c.groups)
	}
	g := &group{}
	for _, e := range c.list {
		if !e.hasModel(m) {
			continue
		}
		g.all = append(g.all, e)
		if e.Near {
			g.near = append(g.near, e)
		}
	}
	c.groups[m] = g
	return g
}

// cheapest returns the engine with the least expected delay among random samples and the
// probable holders of the prompt's prefix, and the number of prompt tokens that its cache
// saves.
func (c *Chooser) cheapest(g *group, r *Request, now time.Time) (*engine, float64) {
	var best *engine
	var saved float64
	lowest := math.Inf(1)
	consider := func(e *engine, tokens float64) {
		tokens = math.Min(tokens, float64(r.PromptTokens))
		cost := c.delay(e, now) - tokens/c.cfg.PrefillRate
		if tokens > 0 && !e.Near {
			cost += c.cfg.FarCost.Std().Seconds()
		}
		if cost < lowest {
			best, saved, lowest = e, tokens, cost
		}
	}
	for _, h := range c.index.Holders(r.Blocks, now) {
		e, ok := c.engines[h.Upstream]
		tokens := r.tokens(h.Blocks, c.cfg.BlockTokens)
		if !ok || !c.accepts(e, r, now) || !e.hasModel(r.Model) || tokens/c.cfg.PrefillRate < c.cfg.MinSaving.Std().Seconds() {
			continue
		}
		consider(e, tokens)
	}
	for _, e := range c.sample(g.near, r, now) {
		if e != best {
			consider(e, 0)
		}
	}
	if c.cfg.FarCost > 0 {
		lowest -= c.cfg.FarCost.Std().Seconds()
		for _, e := range c.sample(g.all, r, now) {
			consider(e, 0)
		}
	}
	return best, saved
}

// tokens returns the size of a number of leading blocks. The last block may count
// fractionally.
func (r *Request) tokens(blocks, byDefault float64) float64 {
	if r.Sizes == nil {
		return blocks * byDefault
	}
	sum := 0.0
	for _, size := range r.Sizes {
		part := min(blocks, 1)
		if part <= 0 {
			break
		}
		sum += part * float64(size)
		blocks -= part
	}
	return sum
}

// recentPenalty is the fraction of the penalty of a failure above which the failure counts as
// recent, which is for three half-lives.
const recentPenalty = 0.125

// sample returns up to Choices different engines that accept r and have not failed recently.
// If there are none it returns one that has failed recently, or none.
func (c *Chooser) sample(list []*engine, r *Request, now time.Time) []*engine {
	const triesEach = 4
	c.sampled = c.sampled[:0]
	if len(list) == 0 {
		return c.sampled
	}
	recent := recentPenalty * c.cfg.FailurePenalty.Std().Seconds()
	for range triesEach * c.cfg.Choices {
		e := list[c.random()%uint64(len(list))]
		if !c.accepts(e, r, now) || c.penalty(e, now) > recent || slices.Contains(c.sampled, e) {
			continue
		}
		c.sampled = append(c.sampled, e)
		if len(c.sampled) == c.cfg.Choices {
			return c.sampled
		}
	}
	if len(c.sampled) > 0 {
		return c.sampled
	}
	var last *engine
	start := int(c.random() % uint64(len(list)))
	for i := range list {
		e := list[(start+i)%len(list)]
		if !c.accepts(e, r, now) {
			continue
		}
		if last = e; c.penalty(e, now) <= recent {
			break
		}
	}
	if last != nil {
		c.sampled = append(c.sampled, last)
	}
	return c.sampled
}

// mostFree returns the engine with the most free slots among those that accept r, or nil if
// there is none. The search starts at a random engine.
func (c *Chooser) mostFree(list []*engine, r *Request, now time.Time) *engine {
	var best *engine
	if len(list) == 0 {
		return best
	}
	most := math.Inf(-1)
	start := int(c.random() % uint64(len(list)))
	for i := range list {
		e := list[(start+i)%len(list)]
		if !c.accepts(e, r, now) {
			continue
		}
		if free := c.free(e, now); free > most {
			best, most = e, free
		}
	}
	return best
}

// resume distributes resumed requests in proportion to free slots. If no slot is free it
// chooses the engine that exceeds its slots the least.
func (c *Chooser) resume(g *group, r *Request, now time.Time) Decision {
	for _, list := range [][]*engine{g.near, g.all} {
		if e := c.proportional(list, r, now); e != nil {
			return c.send(e, r, 0, now)
		}
	}
	if e := c.mostFree(g.all, r, now); e != nil {
		return c.send(e, r, 0, now)
	}
	if d, ok := c.spill(r, now); ok {
		return Decision{Kind: SpillTo, Domain: d}
	}
	return Decision{Kind: NoUpstream}
}

// proportional returns a random engine that accepts r, with a probability proportional to its
// free slots, or nil if none has a free slot.
func (c *Chooser) proportional(list []*engine, r *Request, now time.Time) *engine {
	total := 0.0
	for _, e := range list {
		if c.accepts(e, r, now) {
			total += max(0, c.free(e, now))
		}
	}
	if total <= 0 {
		return nil
	}
	const mantissa = 1 << 53
	remaining := float64(c.random()%mantissa) / mantissa * total
	var last *engine
	for _, e := range list {
		free := c.free(e, now)
		if !c.accepts(e, r, now) || free <= 0 {
			continue
		}
		last = e
		remaining -= free
		if remaining < 0 {
			break
		}
	}
	return last
}

// spill returns the failure domain with the most free capacity that r has not visited. The
// number of hops is bounded as well, so a request never circulates.
func (c *Chooser) spill(r *Request, now time.Time) (ident.Domain, bool) {
	if len(r.Visited) >= c.cfg.MaxHops {
		return "", false
	}
	var best *DomainCapacity
	for d, room := range c.capacities {
		if d == c.domain || slices.Contains(r.Visited, d) || room.Free <= 0 {
			continue
		}
		if now.Sub(room.At) > c.cfg.CapacityExpiry.Std() {
			continue
		}
		if best == nil || room.Free > best.Free || room.Free == best.Free && d < best.Domain {
			best = room
		}
	}
	if best == nil {
		return "", false
	}
	best.Free--
	return best.Domain, true
}

// free returns the estimated number of free slots of e.
func (c *Chooser) free(e *engine, now time.Time) float64 {
	return e.slots(c.cfg.Slots) - c.load(e, now)
}

// load returns the estimated number of requests at e.
func (c *Chooser) load(e *engine, now time.Time) float64 {
	return e.load(c.priorLoad, c.cfg.ReportHalfLife.Std(), now)
}

// negligibleDelay is the time in seconds below which past failures and slowness are ignored,
// so that they do not decide between idle engines forever.
const negligibleDelay = 1e-3

// delay returns the time in seconds by which a new request is expected to be delayed at e.
func (c *Chooser) delay(e *engine, now time.Time) float64 {
	slots := e.slots(c.cfg.Slots)
	load := c.load(e, now)
	past := c.penalty(e, now) + c.slowness(e, now)
	if past < negligibleDelay {
		past = 0
	}
	seconds := load / slots * c.cfg.Congestion.Std().Seconds()
	seconds += (float64(e.unread) + e.othersUnread) / c.cfg.PrefillRate
	if load >= slots {
		seconds += (load - slots + 1) / slots * c.cfg.ServiceTime.Std().Seconds()
	}
	return seconds*e.pace() + (e.pace()-1)*c.cfg.AnswerTime.Std().Seconds() + past
}

// slowness returns the extra time in seconds that an answer of mean length takes at e
// compared with the mean of all engines.
func (c *Chooser) slowness(e *engine, now time.Time) float64 {
	if e.tokenGap <= c.meanGap || e.tokenGapAt.IsZero() {
		return 0
	}
	age := float64(now.Sub(e.tokenGapAt)) / float64(c.cfg.SlownessHalfLife)
	return (e.tokenGap - c.meanGap) * c.cfg.AnswerTokens * math.Exp2(-age)
}

// penalty returns the extra cost of e in seconds for past failures.
func (c *Chooser) penalty(e *engine, now time.Time) float64 {
	if e.penalty == 0 {
		return 0
	}
	return e.penalty * math.Exp2(-float64(now.Sub(e.failedAt))/float64(c.cfg.PenaltyHalfLife))
}

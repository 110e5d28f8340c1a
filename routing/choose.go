package routing

import (
	"math"
	"slices"
	"time"

	"crocuslug/ident"
)

// Choose decides where r goes. It never names an upstream that is leaving, out,
// excluded or without the model. A new request is sent only to an upstream with
// a free slot; a resumed one is sent whenever an upstream is left.
func (c *Chooser) Choose(r Request, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.group(r.Model)
	if r.Resumed {
		return c.resume(g, &r, now)
	}
	e, saved := c.pick(g, &r, now)
	if e == nil || c.free(e, now) < 1 {
		e, saved = c.roomiest(g.near, &r, now), 0
	}
	if e == nil || c.free(e, now) <= 0 {
		e = c.roomiest(g.all, &r, now)
		saved = 0
	}
	if e != nil && c.free(e, now) > 0 {
		return c.send(e, &r, saved, now)
	}
	if d, ok := c.spill(&r, now); ok {
		return Decision{Kind: SpillTo, Domain: d}
	}
	if e == nil && !c.any(g.all, &r) {
		return Decision{Kind: NoUpstream}
	}
	return Decision{Kind: Wait}
}

// any reports whether one of list serves r, however busy it is.
func (c *Chooser) any(list []*engine, r *Request) bool {
	return slices.ContainsFunc(list, func(e *engine) bool { return e.usable(r) })
}

// takes reports whether e may be chosen for r now.
func (c *Chooser) takes(e *engine, r *Request, now time.Time) bool {
	if !e.usable(r) || e.busy(r, c.cfg.PrefillRate, now) {
		return false
	}
	return r.Spare <= 0 || c.free(e, now) >= r.Spare*e.slots(c.cfg.Slots)
}

func (c *Chooser) send(e *engine, r *Request, saved float64, now time.Time) Decision {
	e.count(1, now)
	c.index.Note(e.Upstream, r.Blocks, now)
	return Decision{Kind: Send, Upstream: e.Upstream, SavedTokens: saved}
}

// group returns the engines that hold m.
func (c *Chooser) group(m Model) *group {
	if g, ok := c.groups[m]; ok {
		return g
	}
	if len(c.groups) >= maxGroups {
		clear(c.groups)
	}
	g := &group{}
	for _, e := range c.order {
		if !e.holds(m) {
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

// pick returns the cheapest of two random near engines and the probable holders
// of the prompt's prefix, with the prompt tokens that it saves.
func (c *Chooser) pick(g *group, r *Request, now time.Time) (*engine, float64) {
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
		if !ok || !c.takes(e, r, now) || !e.holds(r.Model) || tokens/c.cfg.PrefillRate < c.cfg.LeastSaving.Std().Seconds() {
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

// tokens returns the size of a number of leading blocks, the last of which may
// be held only in part.
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

// recentPenalty is the part of the penalty of a failure above which it counts
// as recent, which is for three half-lives.
const recentPenalty = 0.125

// sample returns up to Choices different usable engines that have not failed
// lately. If there are none it returns any usable one, or none.
func (c *Chooser) sample(list []*engine, r *Request, now time.Time) []*engine {
	const triesEach = 4
	c.drawn = c.drawn[:0]
	if len(list) == 0 {
		return c.drawn
	}
	recent := recentPenalty * c.cfg.FailurePenalty.Std().Seconds()
	for range triesEach * c.cfg.Choices {
		e := list[c.random()%uint64(len(list))]
		if !c.takes(e, r, now) || c.penalty(e, now) > recent || slices.Contains(c.drawn, e) {
			continue
		}
		c.drawn = append(c.drawn, e)
		if len(c.drawn) == c.cfg.Choices {
			return c.drawn
		}
	}
	if len(c.drawn) > 0 {
		return c.drawn
	}
	var last *engine
	start := int(c.random() % uint64(len(list)))
	for i := range list {
		e := list[(start+i)%len(list)]
		if !c.takes(e, r, now) {
			continue
		}
		if last = e; c.penalty(e, now) <= recent {
			break
		}
	}
	if last != nil {
		c.drawn = append(c.drawn, last)
	}
	return c.drawn
}

// roomiest returns the usable engine with the most free slots, starting at a
// random place, or nil if none is usable.
func (c *Chooser) roomiest(list []*engine, r *Request, now time.Time) *engine {
	var best *engine
	if len(list) == 0 {
		return best
	}
	most := math.Inf(-1)
	start := int(c.random() % uint64(len(list)))
	for i := range list {
		e := list[(start+i)%len(list)]
		if !c.takes(e, r, now) {
			continue
		}
		if free := c.free(e, now); free > most {
			best, most = e, free
		}
	}
	return best
}

// resume spreads a resumed request in proportion to free slots. If none is free
// it goes to the engine that is least over its slots.
func (c *Chooser) resume(g *group, r *Request, now time.Time) Decision {
	for _, list := range [][]*engine{g.near, g.all} {
		if e := c.proportional(list, r, now); e != nil {
			return c.send(e, r, 0, now)
		}
	}
	if e := c.roomiest(g.all, r, now); e != nil {
		return c.send(e, r, 0, now)
	}
	if d, ok := c.spill(r, now); ok {
		return Decision{Kind: SpillTo, Domain: d}
	}
	return Decision{Kind: NoUpstream}
}

func (c *Chooser) proportional(list []*engine, r *Request, now time.Time) *engine {
	total := 0.0
	for _, e := range list {
		if c.takes(e, r, now) {
			total += max(0, c.free(e, now))
		}
	}
	if total <= 0 {
		return nil
	}
	const mantissa = 1 << 53
	left := float64(c.random()%mantissa) / mantissa * total
	var last *engine
	for _, e := range list {
		free := c.free(e, now)
		if !c.takes(e, r, now) || free <= 0 {
			continue
		}
		last = e
		left -= free
		if left < 0 {
			break
		}
	}
	return last
}

// spill returns the failure domain with the most room that r has not visited.
// The number of hops is bounded as well, so a request never goes in a circle.
func (c *Chooser) spill(r *Request, now time.Time) (ident.Domain, bool) {
	if len(r.Visited) >= c.cfg.MaxHops {
		return "", false
	}
	var best *Room
	for d, room := range c.rooms {
		if d == c.domain || slices.Contains(r.Visited, d) || room.Free <= 0 {
			continue
		}
		if now.Sub(room.At) > c.cfg.RoomExpiry.Std() {
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

func (c *Chooser) free(e *engine, now time.Time) float64 {
	return e.slots(c.cfg.Slots) - c.load(e, now)
}

func (c *Chooser) load(e *engine, now time.Time) float64 {
	return e.load(c.prior, c.cfg.ReportHalfLife.Std(), now)
}

// negligible is the time in seconds below which past failures and slowness are
// forgotten, so that they do not decide between idle engines for ever.
const negligible = 1e-3

// delay is the time in seconds that a new request is expected to lose at e.
func (c *Chooser) delay(e *engine, now time.Time) float64 {
	slots := e.slots(c.cfg.Slots)
	load := c.load(e, now)
	past := c.penalty(e, now) + c.slowness(e, now)
	if past < negligible {
		past = 0
	}
	seconds := load/slots*c.cfg.Congestion.Std().Seconds() + past
	seconds += (float64(e.reading) + e.queued) / c.cfg.PrefillRate
	if load >= slots {
		seconds += (load - slots + 1) / slots * c.cfg.ServiceTime.Std().Seconds()
	}
	return seconds
}

// slowness is the time in seconds that an answer of the mean length takes more
// at e than at the mean engine.
func (c *Chooser) slowness(e *engine, now time.Time) float64 {
	if e.gap <= c.gap || e.paced.IsZero() {
		return 0
	}
	age := float64(now.Sub(e.paced)) / float64(c.cfg.PaceHalfLife)
	return (e.gap - c.gap) * c.cfg.AnswerTokens * math.Exp2(-age)
}

func (c *Chooser) penalty(e *engine, now time.Time) float64 {
	if e.penalty == 0 {
		return 0
	}
	return e.penalty * math.Exp2(-float64(now.Sub(e.failed))/float64(c.cfg.PenaltyHalfLife))
}

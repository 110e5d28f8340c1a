package poison

import (
	"slices"
	"time"
)

// crash is one crash of an engine and the runs lost with it.
type crash struct {
	engine Engine
	at     time.Time // of the first loss of a run
	known  time.Time // when this instance learned of it
	counts bool      // the reports of other instances have had time to arrive
	runs   []Run     // without cleared parts
	tell   time.Time // until when reports mention it
}

// parts returns the parts of all runs of c, each once and in order.
func (c *crash) parts() []Part {
	var out []Part
	for _, r := range c.runs {
		out = append(out, r.Content)
		out = append(out, r.Parts...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// crashOf returns the record of the crash of e at a time and creates it if there is none. t.mu
// must be held.
func (t *Tracker) crashOf(e Engine, at, now time.Time) *crash {
	for _, c := range t.crashes {
		if c.engine == e && c.at.Sub(at).Abs() < sameEngine {
			if at.Before(c.at) {
				c.at = at
			}
			return c
		}
	}
	if len(t.crashes) >= maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, 1)
		t.held = nil
	}
	c := &crash{engine: e, at: at, known: now}
	t.crashes = append(t.crashes, c)
	return c
}

// addRun adds a run to a crash, without the parts that have been cleared. t.mu must be held.
func (t *Tracker) addRun(c *crash, r Run, now time.Time) {
	if len(c.runs) >= maxRuns || slices.ContainsFunc(c.runs, func(o Run) bool { return o.Content == r.Content }) {
		return
	}
	suspected := func(p Part) bool {
		if t.cleared.after(p, c.at.Add(-clearLead)) {
			t.tell(p, now)
			return false
		}
		return true
	}
	if !suspected(r.Content) {
		return
	}
	kept := Run{Content: r.Content}
	for _, p := range r.Parts[:min(len(r.Parts), maxRunParts)] {
		if suspected(p) {
			kept.Parts = append(kept.Parts, p)
		}
	}
	c.runs = append(c.runs, kept)
	c.tell = now.Add(tellTime)
	t.pending = t.pending || c.counts
	if t.held != nil {
		t.hold(kept)
	}
}

// clear records that an answer was written for p at a time, and tells the other instances if p is
// suspected or banned here. t.mu must be held.
func (t *Tracker) clear(p Part, at, now time.Time) {
	t.cleared.add(p, at)
	suspected := t.clearCrashes(p, at)
	banned := t.clearBans(p)
	if suspected || banned {
		t.tell(p, now)
		t.pending = true
	}
}

// clearCrashes removes p, cleared at a time, from the crashes that it is cleared of, and reports
// whether there were any. A run whose content is cleared is removed: its own answer was written.
// t.mu must be held.
func (t *Tracker) clearCrashes(p Part, at time.Time) bool {
	if !t.isHeld(p) {
		return false
	}
	found := false
	for _, c := range t.crashes {
		if c.at.Sub(at) > clearLead {
			continue
		}
		n := len(c.runs)
		c.runs = slices.DeleteFunc(c.runs, func(r Run) bool { return r.Content == p })
		found = found || len(c.runs) < n
		for i, r := range c.runs {
			if k := slices.Index(r.Parts, p); k >= 0 {
				c.runs[i].Parts = slices.Concat(r.Parts[:k], r.Parts[k+1:])
				found = true
			}
		}
	}
	return found
}

// isHeld reports whether p may be a part of a crash. t.mu must be held.
func (t *Tracker) isHeld(p Part) bool {
	if t.held == nil {
		t.held = make(map[Part]bool)
		for _, c := range t.crashes {
			for _, r := range c.runs {
				t.hold(r)
			}
		}
	}
	return t.held[p]
}

// hold adds the parts of r to t.held. t.mu must be held.
func (t *Tracker) hold(r Run) {
	t.held[r.Content] = true
	for _, p := range r.Parts {
		t.held[p] = true
	}
}

// cleared holds when parts were cleared last, in two generations, of which the older one is
// dropped when the newer one is full or old.
type cleared struct {
	recent, former map[Part]time.Time
	since          time.Time // start of recent
}

// add records that p was cleared at a time.
func (c *cleared) add(p Part, at time.Time) {
	if c.recent == nil || at.Sub(c.since) > clearLead || len(c.recent) >= maxCleared {
		c.former, c.recent, c.since = c.recent, make(map[Part]time.Time), at
	}
	if at.After(c.recent[p]) {
		c.recent[p] = at
	}
}

// after reports whether p was cleared at or after a time.
func (c *cleared) after(p Part, from time.Time) bool {
	at, ok := c.last(p)
	return ok && !at.Before(from)
}

// last returns when p was cleared last, and whether it was.
func (c *cleared) last(p Part) (time.Time, bool) {
	if at, ok := c.recent[p]; ok {
		return at, true
	}
	at, ok := c.former[p]
	return at, ok
}

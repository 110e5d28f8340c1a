package registry

import (
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/store"
	"crocuslug/unit"
)

// Changes is what has changed since a revision, as one instance tells another.
type Changes struct {
	Upstreams []directory.Upstream // changed since the revision
	All       []ident.Upstream     // ids of all entries
	Lapsed    []ident.Upstream     `json:",omitempty"` // ids of those that are kept for their grace period
	// LapsedFor is what is left of these periods. Instances of earlier builds do not send it.
	LapsedFor map[ident.Upstream]unit.Duration `json:",omitempty"`
	// Restarted are those that were found by probes and that the store has not listed, with the time since then.
	// Instances of earlier builds do not send it.
	Restarted map[ident.Upstream]unit.Duration `json:",omitempty"`
}

// Since returns the changes since a revision.
func (r *Registry) Since(revision store.Version, now time.Time) Changes {
	r.mu.Lock()
	defer r.mu.Unlock()
	var c Changes
	for _, u := range r.newest() {
		c.All = append(c.All, u.ID)
		if u.Revision > revision {
			c.Upstreams = append(c.Upstreams, u)
		}
		if l, ok := r.lapsed[u.ID]; ok {
			c.addLapsed(u.ID, r.left(l, now))
		}
		if found, ok := r.restarted[u.ID]; ok {
			c.addRestarted(u.ID, now.Sub(found))
		}
	}
	return c
}

// left returns what is left of a grace period, which begins when the outage ends. r.mu must be held.
func (r *Registry) left(l lapse, now time.Time) time.Duration {
	if r.unavailable {
		return r.cfg.GracePeriod
	}
	return max(0, l.until.Sub(now))
}

// addLapsed adds an entry that is kept for the time left.
func (c *Changes) addLapsed(id ident.Upstream, left time.Duration) {
	if c.LapsedFor == nil {
		c.LapsedFor = make(map[ident.Upstream]unit.Duration)
	}
	c.Lapsed = append(c.Lapsed, id)
	c.LapsedFor[id] = unit.Duration(left)
}

// addRestarted adds an entry that the store has not listed, which was found at an age ago.
func (c *Changes) addRestarted(id ident.Upstream, age time.Duration) {
	if c.Restarted == nil {
		c.Restarted = make(map[ident.Upstream]unit.Duration)
	}
	c.Restarted[id] = unit.Duration(age)
}

// listed returns the ids of the entries that the store lists, and those that are kept for a grace period.
func (c Changes) listed() map[ident.Upstream]bool {
	listed := make(map[ident.Upstream]bool, len(c.All))
	for _, id := range c.All {
		if _, restarted := c.Restarted[id]; !restarted {
			listed[id] = true
		}
	}
	return listed
}

// Merge applies the changes that another instance knew at a revision when it was asked. That instance could
// read the store, so what it does not list was removed, unless this instance has just had an outage itself.
// What it keeps for a grace period is kept here until the same time.
func (r *Registry) Merge(c Changes, at store.Version, asked, now time.Time) Removals {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enterEra(at, now)
	listed := c.listed()
	for _, u := range c.Upstreams {
		if age, restarted := c.Restarted[u.ID]; restarted {
			r.setRestarted(u, asked.Add(-age.Std()))
		} else {
			r.set(u)
		}
	}
	var out Removals
	for id, old := range r.upstreams {
		_, unlisted := r.restarted[id]
		_, restarted := c.Restarted[id]
		switch {
		case listed[id] || unlisted && restarted || old.Revision > at:
		case r.unavailable:
			r.drop(id, at, now)
			out.Gone = append(out.Gone, id)
		default:
			r.remove(id, at, now, &out)
		}
	}
	for _, id := range c.Lapsed {
		left, stated := c.LapsedFor[id]
		if !stated {
			left = unit.Duration(r.cfg.GracePeriod)
		}
		if u, known := r.upstreams[id]; known && u.Revision <= at {
			r.keepLapsed(id, lapse{at, asked.Add(left.Std())}, now, &out)
		}
	}
	return out
}

package poison

import (
	"cmp"
	"slices"
	"time"
)

// ban is a set of parts. Requests that hold all of them are refused.
type ban struct {
	parts []Part // in order
	until time.Time
}

// candidate is a part with enough evidence, and the set to ban because of it.
type candidate struct {
	part    Part
	moments int
	set     []Part
}

// evaluate bans the sets of parts that the recorded crashes prove. t.mu must be held.
func (t *Tracker) evaluate(now time.Time) {
	for range maxBans {
		c, ok := t.strongest()
		if !ok {
			return
		}
		t.addBan(c.set, now.Add(banLifetime))
		t.note(Change{Parts: c.set, Banned: true, Moments: c.moments})
	}
}

// strongest returns the candidate with the most evidence that no ban covers. Each new ban changes
// what the others explain, so it is asked for one at a time. t.mu must be held.
func (t *Tracker) strongest() (best candidate, found bool) {
	for p, crashes := range t.crashesByPart() {
		c, ok := newCandidate(p, crashes)
		if !ok || slices.ContainsFunc(t.bans, func(b ban) bool { return subset(b.parts, c.set) }) {
			continue
		}
		if !found || cmp.Or(cmp.Compare(best.moments, c.moments), cmp.Compare(len(c.set), len(best.set)), cmp.Compare(c.part, best.part)) < 0 {
			best, found = c, true
		}
	}
	return best, found
}

// evidence is a crash with its parts.
type evidence struct {
	*crash
	all []Part
}

// crashesByPart returns the crashes that count against each part, in order of time. A crash that a
// ban explains does not count against other parts. t.mu must be held.
func (t *Tracker) crashesByPart() map[Part][]evidence {
	sorted := slices.SortedFunc(slices.Values(t.crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
	out := make(map[Part][]evidence)
	for _, c := range sorted {
		if !c.counts {
			continue
		}
		e := evidence{c, c.parts()}
		for _, p := range e.all {
			explained := func(b ban) bool { return !slices.Contains(b.parts, p) && subset(b.parts, e.all) }
			if !slices.ContainsFunc(t.bans, explained) {
				out[p] = append(out[p], e)
			}
		}
	}
	return out
}

// newCandidate returns p as a candidate if the crashes with it are evidence enough.
func newCandidate(p Part, crashes []evidence) (candidate, bool) {
	if len(crashes) < minMoments {
		return candidate{}, false
	}
	contents := contentsWith(p, crashes)
	c := candidate{part: p, moments: moments(crashes), set: common(crashes)}
	enough := len(contents) >= minContents
	if slices.Contains(contents, p) { // a whole content
		c.moments, enough = len(crashes), true
	}
	return c, enough && c.moments >= minMoments && len(c.set) <= maxBanParts
}

// contentsWith returns the contents of the runs with p.
func contentsWith(p Part, crashes []evidence) []Part {
	var out []Part
	for _, e := range crashes {
		for _, r := range e.runs {
			if r.holds(p) && !slices.Contains(out, r.Content) {
				out = append(out, r.Content)
			}
		}
	}
	return out
}

// moments returns the number of moments of crashes. A crash less than momentLength after the last
// one that was counted belongs to the same moment.
func moments(crashes []evidence) int {
	n := 0
	var last time.Time
	for _, e := range crashes {
		if n == 0 || e.at.Sub(last) >= momentLength {
			n++
			last = e.at
		}
	}
	return n
}

// common returns the parts that are in all of the crashes.
func common(crashes []evidence) []Part {
	return slices.DeleteFunc(slices.Clone(crashes[0].all), func(p Part) bool {
		return slices.ContainsFunc(crashes[1:], func(e evidence) bool { return !contains(e.all, p) })
	})
}

// addBan bans a set of parts, in place of larger sets that hold it, and reports whether it was not
// covered by another ban yet. t.mu must be held.
func (t *Tracker) addBan(set []Part, until time.Time) bool {
	for i, b := range t.bans {
		if subset(b.parts, set) {
			if len(b.parts) == len(set) && until.Sub(b.until) > banTolerance {
				t.bans[i].until = until
			}
			return false
		}
	}
	t.bans = slices.DeleteFunc(t.bans, func(b ban) bool { return subset(set, b.parts) })
	if len(t.bans) >= maxBans {
		t.bans = slices.Delete(t.bans, 0, 1)
	}
	t.bans = append(t.bans, ban{set, until})
	return true
}

// clearBans removes p from all bans and reports whether there were any. t.mu must be held.
func (t *Tracker) clearBans(p Part) bool {
	former := t.bans
	if !slices.ContainsFunc(former, func(b ban) bool { return contains(b.parts, p) }) {
		return false
	}
	t.bans = nil
	for _, b := range former {
		if !contains(b.parts, p) {
			t.addBan(b.parts, b.until)
			continue
		}
		t.note(Change{Parts: b.parts})
		rest := slices.DeleteFunc(slices.Clone(b.parts), func(q Part) bool { return q == p })
		if len(rest) > 0 && t.addBan(rest, b.until) {
			t.note(Change{Parts: rest, Banned: true})
		}
	}
	return true
}

// contains reports whether p is in set, which is in order.
func contains(set []Part, p Part) bool {
	_, ok := slices.BinarySearch(set, p)
	return ok
}

// subset reports whether all of a are in b, which is in order.
func subset(a, b []Part) bool {
	return !slices.ContainsFunc(a, func(p Part) bool { return !contains(b, p) })
}

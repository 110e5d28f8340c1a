package poison

import (
	"slices"
	"time"

	"crocuslug/unit"
)

// Report is what one instance tells the others. Crashes and cleared parts are told for a short
// time by each instance that learns of them. Bans are told as long as they last, so that an
// instance that starts, or was cut off, learns of them.
type Report struct {
	Crashes []Crash                `json:",omitempty"`
	Cleared map[Part]unit.Duration `json:",omitempty"` // time since each was cleared
	Bans    []Ban                  `json:",omitempty"`
}

// Crash is a crash of an engine and the runs lost with it.
type Crash struct {
	Engine Engine
	Age    unit.Duration
	Runs   []Run
}

// Ban is a set of parts. Requests that hold all of them are refused.
type Ban struct {
	Parts     []Part
	Remaining unit.Duration
}

// Bounds of reports.
const (
	tellTime         = 2 * time.Second // time for which a crash or a cleared part is told
	maxReportedParts = 512             // parts of crashes in one report
	maxTold          = 128             // cleared parts in one report
)

// tell adds a cleared part to the reports of the next time. t.mu must be held.
func (t *Tracker) tell(p Part, now time.Time) {
	if _, ok := t.telling[p]; ok || len(t.telling) < maxTold {
		t.telling[p] = now.Add(tellTime)
	}
}

// Report returns what the other instances are to be told at this time. Of many crashes, the latest
// are told.
func (t *Tracker) Report(now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out Report
	n := 0
	for _, c := range slices.Backward(t.crashes) {
		if !now.Before(c.tell) || len(c.runs) == 0 {
			continue
		}
		for _, r := range c.runs {
			n += 1 + len(r.Parts)
		}
		if n > maxReportedParts {
			break
		}
		out.Crashes = append(out.Crashes, Crash{Engine: c.engine, Age: durationOf(now.Sub(c.at)), Runs: slices.Clone(c.runs)})
	}
	for p, until := range t.telling {
		at, ok := t.cleared.last(p)
		if !ok || !now.Before(until) {
			continue
		}
		if out.Cleared == nil {
			out.Cleared = make(map[Part]unit.Duration)
		}
		out.Cleared[p] = durationOf(max(0, now.Sub(at)))
	}
	for _, b := range t.bans {
		if left := b.until.Sub(now); left > 0 {
			out.Bans = append(out.Bans, Ban{b.parts, durationOf(left)})
		}
	}
	return out
}

// Merge adds the report of another instance.
func (t *Tracker) Merge(r Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, age := range r.Cleared {
		t.mergeCleared(p, now.Add(-age.Std()), now)
	}
	for _, b := range r.Bans {
		t.mergeBan(b, now)
	}
	for _, c := range r.Crashes {
		if len(c.Runs) == 0 || c.Age.Std() > crashLifetime {
			continue
		}
		known := t.crashOf(c.Engine, now.Add(-c.Age.Std()), now)
		for _, run := range c.Runs {
			t.addRun(known, run, now)
		}
	}
}

// mergeCleared records that another instance cleared p, unless that is known. t.mu must be held.
func (t *Tracker) mergeCleared(p Part, at, now time.Time) {
	if now.Sub(at) > clearLead+tellTime || t.cleared.after(p, at.Add(-momentLength)) {
		return
	}
	t.clear(p, at, now)
}

// mergeBan adds a ban of another instance, without the parts that have been cleared here. t.mu
// must be held.
func (t *Tracker) mergeBan(b Ban, now time.Time) {
	if len(b.Parts) > maxBanParts {
		return
	}
	var set []Part
	for _, p := range b.Parts {
		if t.cleared.after(p, now.Add(-clearLead)) {
			t.tell(p, now)
			continue
		}
		set = append(set, p)
	}
	slices.Sort(set)
	left := min(b.Remaining.Std(), banLifetime)
	if len(set) > 0 && left > 0 && t.addBan(set, now.Add(left)) {
		t.note(Change{Parts: set, Banned: true})
	}
}

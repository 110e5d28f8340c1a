// Package poison finds the parts of prompts that make engines crash, and the requests to refuse
// because of them.
//
// A part of a prompt may crash each engine that begins to answer it, whatever else the request
// holds. Other requests that run on the engine are lost with it, so a single crash does not tell
// which of them was to blame. A part is blamed if
//
//   - runs with it were lost at three or more moments,
//   - these were runs of two or more contents, and
//   - no answer to a prompt with it has been written since, or shortly before.
//
// Parts that were lost together each time cannot be told apart. They are banned as a set, and
// only a request that holds the whole set is refused. A crash in which some of them are missing
// makes the set smaller, and so does an answer that clears some of them. The last part of a prompt
// belongs to its request alone and is not reported. The whole content of a request counts as one
// more part, so that a request that is sent again unchanged is refused by the same rules. For a
// content, three crashes are enough, also at one moment: it may be sent to several instances at once,
// and a sound content that is sent so often has mostly been answered shortly before.
//
// The runs of one crash are known to different instances, which exchange them in reports. A crash
// counts after a time in which the reports arrive. Reports hold ages and remaining times, since the
// clocks of instances differ. A Tracker only decides. It has no clock and no goroutine.
package poison

import (
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"crocuslug/ident"
	"crocuslug/prefix"
	"crocuslug/unit"
)

// Part identifies a part of a prompt for a model, at any place in the prompt, or the whole content
// of a request.
type Part uint64

// Parts returns the parts of a prompt that other requests may share: all but the last.
func Parts(model string, prompt []prefix.Part) []Part {
	if len(prompt) < 2 {
		return nil
	}
	shared := prompt[:min(len(prompt)-1, maxRunParts)]
	out := make([]Part, 0, len(shared))
	for _, p := range shared {
		if id := Part(xxh3.HashString(model + "\n" + p.Name)); !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// Run is what a request puts on an engine.
type Run struct {
	Content Part // the request as a whole
	Parts   []Part
}

// holds reports whether r holds p.
func (r Run) holds(p Part) bool { return r.Content == p || slices.Contains(r.Parts, p) }

// Engine is one incarnation of an engine.
type Engine struct {
	ID   ident.Upstream
	Born int64 // start of the incarnation by its own clock; 0 if not known
}

// Bounds of what counts as evidence.
const (
	minMoments    = 3                      // moments at which runs with a part are lost, or crashes for a whole content
	minContents   = 2                      // contents of these runs; one is enough to blame a whole content
	momentLength  = 250 * time.Millisecond // crashes within this time count once for a part, as when a failure domain is lost
	settleTime    = time.Second            // from when a crash is known until it counts
	clearLead     = 30 * time.Second       // an answer clears its parts of crashes up to this long after it
	sameEngine    = 5 * time.Second        // reports of crashes of one incarnation within this time describe one crash
	crashLifetime = 10 * time.Minute       // time for which a crash is evidence
	banLifetime   = time.Hour
	// banTolerance is the difference of remaining times up to which two bans are taken for the same.
	// Otherwise the delay of each report would extend the ban.
	banTolerance = time.Minute
)

// Bounds of memory.
const (
	maxCrashes  = 64   // crashes kept
	maxRuns     = 16   // runs kept of one crash
	maxRunParts = 16   // parts kept of one run
	maxBans     = 64   // sets of parts
	maxBanParts = 32   // parts in one set
	maxCleared  = 8192 // cleared parts in each of two generations
)

// Tracker records the crashes of engines and decides which requests to refuse. It is safe for
// concurrent use. Times passed to it must come from one clock.
type Tracker struct {
	mu      sync.Mutex
	crashes []*crash      // in order of their arrival here
	held    map[Part]bool // all parts of crashes, and cleared ones; nil if it has to be built
	bans    []ban
	cleared cleared
	telling map[Part]time.Time // cleared parts that reports mention, and until when
	changes []Change
	pending bool // the next tick evaluates the crashes
}

// Change is a set of parts that was banned, or is banned no more.
type Change struct {
	Parts   []Part
	Banned  bool
	Moments int // moments of crashes, or crashes for a whole content, that led to the ban; 0 if another instance found it
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{telling: make(map[Part]time.Time)}
}

// EngineCrashed records that engine e crashed at a time while it ran r.
func (t *Tracker) EngineCrashed(e Engine, r Run, at, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addRun(t.crashOf(e, at, now), r, now)
}

// Answered records that an answer to r has been written for so long that r cannot be to blame for
// crashes.
func (t *Tracker) Answered(r Run, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear(r.Content, now, now)
	for _, p := range r.Parts {
		t.clear(p, now, now)
	}
}

// Refused reports whether r has to be refused, and for how long.
func (t *Tracker) Refused(r Run, now time.Time) (remaining time.Duration, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.bans {
		left := b.until.Sub(now)
		if left <= 0 || slices.ContainsFunc(b.parts, func(p Part) bool { return !r.holds(p) }) {
			continue
		}
		remaining, refused = max(remaining, left), true
	}
	return remaining, refused
}

// Bans returns the number of sets of parts that are refused.
func (t *Tracker) Bans() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.bans)
}

// TakeChanges returns the changes of bans since the last call, for the log.
func (t *Tracker) TakeChanges() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.changes
	t.changes = nil
	return out
}

// Tick decides on the crashes that count by now and removes what has expired. It must be called
// several times a second.
func (t *Tracker) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.crashes {
		if !c.counts && now.Sub(c.known) >= settleTime {
			c.counts, t.pending = true, true
		}
	}
	if t.pending {
		t.pending = false
		t.evaluate(now)
	}
	n := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now.Sub(c.at) > crashLifetime })
	if len(t.crashes) < n {
		t.held = nil
	}
	for p, until := range t.telling {
		if !now.Before(until) {
			delete(t.telling, p)
		}
	}
	t.bans = slices.DeleteFunc(t.bans, func(b ban) bool {
		over := !now.Before(b.until)
		if over {
			t.note(Change{Parts: b.parts})
		}
		return over
	})
}

// note keeps a change for TakeChanges. t.mu must be held.
func (t *Tracker) note(c Change) {
	if len(t.changes) < maxBans {
		t.changes = append(t.changes, c)
	}
}

// durationOf returns d as it is written in reports, rounded to milliseconds.
func durationOf(d time.Duration) unit.Duration { return unit.Duration(d.Round(time.Millisecond)) }

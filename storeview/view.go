// Package storeview tracks how current an instance's knowledge of the platform's store is, and
// decides whether the instance watches the store itself.
//
// A watch that the store never answers looks like one that has nothing to report, so a watch that
// has not failed proves nothing. An instance therefore records until when its knowledge is
// confirmed: by an answer of the store, or by a peer that reports the same version together with
// the age of its own confirmation. A report takes time to arrive and is older than it says, so instances
// that counted each other's reports as new would keep their knowledge young without the store. A report
// therefore names the answer of the store that it goes back to, and counts once for that answer.
//
// In each failure domain one instance, the watcher, watches the store with short waits; with few
// failure domains there are more, so that the loss of one leaves another. The others ask a peer for
// changes as soon as one reports a higher version. An instance whose knowledge has not been
// confirmed for MaxAge watches the store itself, whoever else does.
package storeview

import (
	"maps"
	"slices"
	"sync"
	"time"

	"crocuslug/ident"
	"crocuslug/rendezvous"
	"crocuslug/store"
	"crocuslug/unit"
)

// Settings configures a View. Zero fields take the defaults.
type Settings struct {
	Watchers        int           // least number of watchers in all failure domains; 0 means 2
	MaxAge          time.Duration // age of the knowledge from which an instance watches the store itself; 0 means 2s
	CatchUpDelay    time.Duration // lag behind a peer after which a watcher asks for changes; 0 means 750ms
	CatchUpInterval time.Duration // least time between two requests for changes; 0 means 150ms
}

// Defaults of Settings.
const (
	defaultWatchers        = 2
	defaultMaxAge          = 2 * time.Second
	defaultCatchUpDelay    = 750 * time.Millisecond
	defaultCatchUpInterval = 150 * time.Millisecond
)

// View is the knowledge that one instance has of the store. Times are uptimes of the machine,
// which count the time in which it is suspended. The methods are safe for concurrent use.
type View struct {
	cfg    Settings
	source uint64

	mu          sync.Mutex
	seen        store.Version    // all changes up to this version are applied
	known       bool             // confirmed is set
	confirmed   time.Duration    // all changes made until then are applied
	answer      Answer           // that confirmed it
	answers     uint64           // of the store to this instance
	heard       map[uint64]heard // by Answer.Source
	watcher     bool             // one of the watchers of the failure domain
	failing     bool             // the last call of this instance to the store failed
	peerSeen    store.Version    // newer version that a peer reported when this instance fell behind
	behindSince time.Duration    // when peerSeen was reported
	asked       bool             // lastAsked is set
	lastAsked   time.Duration    // when a peer was last asked for changes
}

// Answer names an answer of the store by which knowledge was confirmed. The zero Answer names none.
type Answer struct {
	Source uint64 // names a run of the instance that the store answered
	Number uint64 // increases with each answer to that instance
}

// Confirmation says how current the knowledge of an instance is.
type Confirmation struct {
	Age time.Duration // all changes that were made longer ago are applied; 0 if the store has never been read
	Answer
}

// heard is the last answer to one instance by which others confirmed knowledge.
type heard struct {
	number uint64
	at     time.Duration // when it was reported
}

// Bounds of View.heard. An answer that is forgotten is far older than MaxAge.
const (
	heardFor  = time.Minute
	heardStep = 64 // new sources after which old ones are removed
)

// New returns the View of an instance that knows nothing yet. source names this run of the instance and
// must not be 0. Until SetPeers is called it is a watcher.
func New(cfg Settings, source uint64) *View {
	if cfg.Watchers <= 0 {
		cfg.Watchers = defaultWatchers
	}
	unit.SetDefault(&cfg.MaxAge, defaultMaxAge)
	unit.SetDefault(&cfg.CatchUpDelay, defaultCatchUpDelay)
	unit.SetDefault(&cfg.CatchUpInterval, defaultCatchUpInterval)
	return &View{cfg: cfg, source: source, watcher: true, heard: make(map[uint64]heard)}
}

// SetPeers sets the live instances of the failure domain, self included, and the number of failure
// domains with live instances. It reports whether self has become a watcher or ceased to be one.
func (v *View) SetPeers(domain ident.Domain, self ident.Instance, live []ident.Instance, domains int) bool {
	order := rendezvous.Order(string(domain), live)
	domains = max(1, domains)
	watchers := (v.cfg.Watchers + domains - 1) / domains
	watcher := slices.Contains(order[:min(watchers, len(order))], self)
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := v.watcher != watcher
	v.watcher = watcher
	return changed
}

// Watcher reports whether the instance is one of the watchers of its failure domain.
func (v *View) Watcher() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.watcher
}

// ShouldWatch reports whether the instance has to watch the store itself.
func (v *View) ShouldWatch(now time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.watcher || !v.fresh(now)
}

// Confirm records an answer of the store to this instance: all changes up to a version are applied, and
// it was the newest version at the time at.
func (v *View) Confirm(seen store.Version, at time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.seen = max(v.seen, seen)
	v.answers++
	v.confirm(Answer{v.source, v.answers}, at)
}

// ConfirmThrough records that all changes up to a version are applied, which a peer knew with
// confirmation c when it was asked at the time asked.
func (v *View) ConfirmThrough(seen store.Version, c Confirmation, asked, now time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.seen = max(v.seen, seen)
	v.hear(c, asked, now)
}

// hear confirms the knowledge by what a peer reported at the time at. Of the reports that go back to one
// answer of the store the oldest is right, since the others took longer to arrive. v.mu must be held.
func (v *View) hear(c Confirmation, at, now time.Duration) {
	if c.Age <= 0 || c.Source == 0 || c.Source == v.source {
		return
	}
	h, known := v.heard[c.Source]
	switch {
	case c.Number < h.number:
		return
	case c.Number == h.number:
		if v.answer == c.Answer {
			v.confirmed = min(v.confirmed, at-c.Age)
		}
		return
	}
	if !known && len(v.heard)%heardStep == heardStep-1 {
		maps.DeleteFunc(v.heard, func(_ uint64, h heard) bool { return now-h.at > heardFor })
	}
	v.heard[c.Source] = heard{c.Number, now}
	v.confirm(c.Answer, at-c.Age)
}

// confirm records that all changes made until at are applied, because of an answer of the store. v.mu must
// be held.
func (v *View) confirm(a Answer, at time.Duration) {
	if !v.known || at > v.confirmed {
		v.known, v.confirmed, v.answer = true, at, a
	}
}

// SetFailing records whether the last call of the instance to the store failed, and reports
// whether this has changed.
func (v *View) SetFailing(failing bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := v.failing != failing
	v.failing = failing
	return changed
}

// Report takes the version that a peer has seen and the confirmation of its knowledge.
// It reports whether to ask that peer for changes; the time of the request is recorded.
func (v *View) Report(seen store.Version, c Confirmation, now time.Duration) (ask bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if seen <= v.seen {
		v.hear(c, now, now)
	}
	if seen <= v.seen || !v.mayAsk(now) {
		return false
	}
	if v.peerSeen <= v.seen {
		v.peerSeen, v.behindSince = seen, now
	}
	ownWatch := v.watcher && !v.failing
	if ownWatch && now-v.behindSince < v.cfg.CatchUpDelay {
		return false // its watch normally brings the changes
	}
	v.asked, v.lastAsked = true, now
	return true
}

// MayAsk reports whether a peer may be asked for changes now, and if so records the request.
func (v *View) MayAsk(now time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.mayAsk(now) {
		return false
	}
	v.asked, v.lastAsked = true, now
	return true
}

// mayAsk reports whether CatchUpInterval has passed since the last request. v.mu must be held.
func (v *View) mayAsk(now time.Duration) bool {
	return !v.asked || now-v.lastAsked >= v.cfg.CatchUpInterval
}

// Seen returns the version up to which all changes are applied.
func (v *View) Seen() store.Version {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seen
}

// Age returns the age of the knowledge: all changes that were made longer ago are applied. It is at
// least 1ms, or 0 if the store has never been read.
func (v *View) Age(now time.Duration) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.age(now)
}

// age implements Age. v.mu must be held.
func (v *View) age(now time.Duration) time.Duration {
	if !v.known {
		return 0
	}
	return max(now-v.confirmed, time.Millisecond)
}

// Confirmation returns what to report to peers about this knowledge.
func (v *View) Confirmation(now time.Duration) Confirmation {
	v.mu.Lock()
	defer v.mu.Unlock()
	return Confirmation{v.age(now), v.answer}
}

// Unavailable reports whether the store can be read neither by this instance nor through peers.
func (v *View) Unavailable(now time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.failing && !v.fresh(now)
}

// fresh reports whether the knowledge was confirmed within MaxAge. v.mu must be held.
func (v *View) fresh(now time.Duration) bool {
	return v.known && now-v.confirmed <= v.cfg.MaxAge
}

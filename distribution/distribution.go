// Package distribution brings accepted configurations to every instance.
//
// A watch of the platform's service at each of many instances would wake them
// all at once and make them read at once. So only the first few instances of a
// failure domain, by name, hold a watch. They tell the others along a tree, by
// the difference from the revision before; whoever missed that hears of the
// newest revision within seconds, as each instance tells its revision to a
// random other one every second. A revision in force at an instance only rises:
// an older one, from a peer or from a stale read, is dropped.
//
// An instance that reaches neither the service nor anybody who does keeps the
// revision that it has, and its report says so.
package distribution

import (
	"math/rand/v2"
	"slices"
	"time"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/intent"
	"crocuslug/unit"
)

// Settings are the bounds of a Core. The zero value works.
type Settings struct {
	Watchers    int           // instances of a failure domain that hold a watch; 0 means 2
	Fanout      int           // instances that one tells of a new revision; 0 means 4
	Recent      int           // revisions from which a difference is offered; 0 means 8
	DeltaParts  int           // parts of a difference that is sent unasked; 0 means 64
	CutOffAfter unit.Duration // time without word of the platform's service; 0 means 30 s
	PullTimeout unit.Duration // time limit of a pull from a peer; 0 means 2 s
}

// Member is one live instance of the system.
type Member struct {
	Instance ident.Instance
	Domain   ident.Domain
}

// Delta turns the document of one revision into that of a later one.
type Delta struct {
	Base     ident.Revision
	Revision ident.Revision
	Digest   string // of the document that results
	Intent   intent.Intent
}

// Notice tells a peer the sender's revision. No answer is waited for.
type Notice struct {
	Revision ident.Revision
	SeenAgo  unit.Duration `json:",omitempty"` // age of the newest word of the platform's service; 0 means none is known
	Delta    *Delta        `json:",omitempty"`
}

// Ask asks a peer for what it has above a revision.
type Ask struct {
	Have ident.Revision
}

// Answer carries what an Ask asked for: a difference, a document, or neither
// if the peer has no later revision.
type Answer struct {
	Revision ident.Revision
	Digest   string                  `json:",omitempty"`
	Delta    *Delta                  `json:",omitempty"`
	Document *configuration.Document `json:",omitempty"`
}

// Action is what a Core wants done. Exactly one field is set.
type Action struct {
	Publish  *configuration.Document // put in force here
	Notify   *Notice                 // send to To
	Pull     *Ask                    // call To, then Answered or Failed
	ReadHead bool                    // read the head, then Accepted or HeadSeen
	To       ident.Instance
}

// Defaults of Settings, and times.
const (
	defaultWatchers    = 2
	defaultFanout      = 4
	defaultRecent      = 8
	defaultDeltaParts  = 64
	defaultCutOffAfter = 30 * time.Second
	defaultPullTimeout = 2 * time.Second
	firstRead          = 2 * time.Second  // wait of a new instance for its peers
	startJitter        = time.Second      // spread of first reads of watchers
	readJitter         = 4 * time.Second  // spread of first reads
	probeInterval      = 10 * time.Second // mean time between reads of a domain that is cut off, per watcher
	otherDomainOdds    = 4                // one in so many notices goes to another failure domain
)

// Core decides what one instance does to have the newest revision. It is not
// safe for use from several goroutines.
type Core struct {
	self   Member
	cfg    Settings
	random *rand.Rand

	domain []ident.Instance // of the own failure domain, self included, by name
	others []ident.Instance
	rank   int

	current  *configuration.Document
	digest   string
	recent   []*configuration.Document // before the current one, oldest first
	deltas   map[ident.Revision]*Delta // to the current one, by base
	seen     time.Time                 // newest word of the platform's service
	pullEnds time.Time
	nextRead time.Time
}

// New returns a core for self that starts at now without a document. The seed
// decides its random choices.
func New(self Member, seed uint64, now time.Time, cfg Settings) *Core {
	cfg.Watchers = orDefault(cfg.Watchers, defaultWatchers)
	cfg.Fanout = orDefault(cfg.Fanout, defaultFanout)
	cfg.Recent = orDefault(cfg.Recent, defaultRecent)
	cfg.DeltaParts = orDefault(cfg.DeltaParts, defaultDeltaParts)
	cfg.CutOffAfter = orDefault(cfg.CutOffAfter, unit.Duration(defaultCutOffAfter))
	cfg.PullTimeout = orDefault(cfg.PullTimeout, unit.Duration(defaultPullTimeout))
	c := &Core{
		self: self, cfg: cfg, random: rand.New(rand.NewPCG(seed, seed)),
		current: &configuration.Document{},
	}
	c.digest = configuration.Digest(*c.current)
	c.nextRead = now.Add(firstRead + c.jitter(readJitter))
	c.SetMembers(nil)
	return c
}

func orDefault[T int | unit.Duration](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}

// Revision returns the revision in force, 0 if there is none yet.
func (c *Core) Revision() ident.Revision {
	return c.current.Revision
}

// Watching reports whether this instance shall hold a watch.
func (c *Core) Watching() bool {
	return c.rank < c.cfg.Watchers
}

// StartDelay draws a wait before the first read of a watcher, so that instances
// that start together do not read at once.
func (c *Core) StartDelay() time.Duration {
	return c.jitter(startJitter)
}

// CutOff reports whether nobody in reach has had word of the platform's service
// lately, so that a newer revision may exist.
func (c *Core) CutOff(now time.Time) bool {
	return now.Sub(c.seen) > c.cfg.CutOffAfter.Std()
}

// SeenAgo returns the age of the newest word of the platform's service, or 0
// if there was none.
func (c *Core) SeenAgo(now time.Time) time.Duration {
	if c.seen.IsZero() {
		return 0
	}
	return max(now.Sub(c.seen), 1)
}

// SetMembers replaces the live instances. Self is added if it is missing.
func (c *Core) SetMembers(members []Member) {
	c.domain = []ident.Instance{c.self.Instance}
	c.others = nil
	for _, m := range members {
		switch {
		case m.Instance == c.self.Instance:
		case m.Domain == c.self.Domain:
			c.domain = append(c.domain, m.Instance)
		default:
			c.others = append(c.others, m.Instance)
		}
	}
	slices.Sort(c.domain)
	slices.Sort(c.others)
	c.rank, _ = slices.BinarySearch(c.domain, c.self.Instance)
}

// HeadSeen takes a read of the head that found revision rev.
func (c *Core) HeadSeen(now time.Time, rev ident.Revision) {
	if rev >= c.current.Revision {
		c.seen = now
	}
}

// Accepted takes a document that the head names or that was confirmed here.
func (c *Core) Accepted(now time.Time, doc configuration.Document) []Action {
	c.HeadSeen(now, doc.Revision)
	return c.raise(now, &doc, configuration.Digest(doc), "")
}

// Received takes a notice of a peer.
func (c *Core) Received(now time.Time, from ident.Instance, n Notice) []Action {
	if n.SeenAgo > 0 && n.Revision >= c.current.Revision {
		c.heard(now.Add(-n.SeenAgo.Std()))
	}
	if n.Revision < c.current.Revision {
		return []Action{c.notice(now, from, n.Revision)}
	}
	if n.Revision == c.current.Revision {
		return nil
	}
	if doc, ok := c.patch(n.Delta); ok {
		return c.raise(now, doc, n.Delta.Digest, from)
	}
	return c.pull(now, from)
}

// Asked returns the answer to a peer that asks.
func (c *Core) Asked(a Ask) Answer {
	if a.Have >= c.current.Revision {
		return Answer{Revision: c.current.Revision}
	}
	if d := c.delta(a.Have); d != nil && a.Have > 0 {
		return Answer{Revision: c.current.Revision, Digest: c.digest, Delta: d}
	}
	return Answer{Revision: c.current.Revision, Digest: c.digest, Document: c.current}
}

// Answered takes the answer of a peer to a pull.
func (c *Core) Answered(now time.Time, from ident.Instance, a Answer) []Action {
	c.pullEnds = time.Time{}
	if a.Revision <= c.current.Revision {
		return nil
	}
	if doc, ok := c.patch(a.Delta); ok {
		return c.raise(now, doc, a.Digest, from)
	}
	if a.Document == nil || a.Document.Revision != a.Revision || configuration.Digest(*a.Document) != a.Digest {
		return nil
	}
	return c.raise(now, a.Document, a.Digest, from)
}

// Failed takes word that a pull has failed.
func (c *Core) Failed() {
	c.pullEnds = time.Time{}
}

// Tick is to be called once a second.
func (c *Core) Tick(now time.Time) []Action {
	var actions []Action
	if to, ok := c.anyPeer(); ok {
		n := Notice{Revision: c.current.Revision, SeenAgo: unit.Duration(c.SeenAgo(now))}
		actions = append(actions, Action{To: to, Notify: &n})
		if c.current.Revision == 0 {
			actions = append(actions, c.pull(now, to)...)
		}
	}
	if c.wantsHead(now) {
		actions = append(actions, Action{ReadHead: true})
	}
	return actions
}

// wantsHead reports whether an instance without a watch reads the head now:
// when it has no document and peers gave none, and, seldom, when its domain is
// cut off.
func (c *Core) wantsHead(now time.Time) bool {
	if c.Watching() || now.Before(c.nextRead) {
		return false
	}
	spread := probeInterval * time.Duration(len(c.domain)) / time.Duration(c.cfg.Watchers)
	if c.current.Revision == 0 {
		spread = readJitter
	}
	c.nextRead = now.Add(time.Second + c.jitter(2*spread))
	return c.current.Revision == 0 || c.CutOff(now)
}

// raise puts doc in force if it is newer, and tells others.
func (c *Core) raise(now time.Time, doc *configuration.Document, digest string, from ident.Instance) []Action {
	if doc.Revision <= c.current.Revision {
		return nil
	}
	base := c.current.Revision
	c.recent = append(c.recent, c.current)
	if len(c.recent) > c.cfg.Recent {
		c.recent = slices.Delete(c.recent, 0, 1)
	}
	c.current = doc
	c.digest = digest
	c.deltas = make(map[ident.Revision]*Delta)
	actions := []Action{{Publish: doc}}
	for _, to := range c.told(from) {
		actions = append(actions, c.notice(now, to, base))
	}
	return actions
}

// told lists the instances to tell of a new revision that came from a peer, or
// from nobody: those below self in the tree of the failure domain, and the
// roots unless it came down the tree.
func (c *Core) told(from ident.Instance) []ident.Instance {
	var list []ident.Instance
	_, inDomain := slices.BinarySearch(c.domain, from)
	if !inDomain {
		list = append(list, c.domain[:min(c.cfg.Watchers, len(c.domain))]...)
	}
	first := c.cfg.Watchers + c.rank*c.cfg.Fanout
	for i := first; i < first+c.cfg.Fanout && i < len(c.domain); i++ {
		list = append(list, c.domain[i])
	}
	return slices.DeleteFunc(list, func(to ident.Instance) bool { return to == c.self.Instance || to == from })
}

// notice tells to the current revision, with the difference from base if that
// is known and small.
func (c *Core) notice(now time.Time, to ident.Instance, base ident.Revision) Action {
	n := Notice{Revision: c.current.Revision, SeenAgo: unit.Duration(c.SeenAgo(now))}
	if d := c.delta(base); d != nil && parts(d.Intent) <= c.cfg.DeltaParts {
		n.Delta = d
	}
	return Action{To: to, Notify: &n}
}

func (c *Core) pull(now time.Time, from ident.Instance) []Action {
	if now.Before(c.pullEnds) {
		return nil
	}
	c.pullEnds = now.Add(c.cfg.PullTimeout.Std())
	return []Action{{To: from, Pull: &Ask{Have: c.current.Revision}}}
}

// patch applies d if it starts from the current revision and gives its digest.
func (c *Core) patch(d *Delta) (*configuration.Document, bool) {
	if d == nil || d.Base != c.current.Revision {
		return nil, false
	}
	doc := intent.Merge(*c.current, d.Intent)
	doc.Revision = d.Revision
	if configuration.Digest(doc) != d.Digest {
		return nil, false
	}
	return &doc, true
}

// delta returns the difference from base to the current document, or nil if
// base is not known any more.
func (c *Core) delta(base ident.Revision) *Delta {
	if d, ok := c.deltas[base]; ok {
		return d
	}
	for _, doc := range c.recent {
		if doc.Revision == base {
			d := &Delta{base, c.current.Revision, c.digest, intent.Between(*doc, *c.current)}
			c.deltas[base] = d
			return d
		}
	}
	return nil
}

func (c *Core) heard(at time.Time) {
	if at.After(c.seen) {
		c.seen = at
	}
}

// anyPeer draws an instance, now and then from another failure domain.
func (c *Core) anyPeer() (ident.Instance, bool) {
	near := len(c.domain) - 1
	if len(c.others) > 0 && (near == 0 || c.random.IntN(otherDomainOdds) == 0) {
		return c.others[c.random.IntN(len(c.others))], true
	}
	if near == 0 {
		return "", false
	}
	i := c.random.IntN(near)
	if i >= c.rank {
		i++
	}
	return c.domain[i], true
}

func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(d)))
}

func parts(in intent.Intent) int {
	s, r := in.Set, in.Remove
	return len(s.Operators) + len(s.Workspaces) + len(s.Services) + len(s.Upstreams) + len(s.Rules) + len(s.Placements) +
		len(r.Operators) + len(r.Workspaces) + len(r.Services) + len(r.Upstreams) + len(r.Rules) + len(r.Placements)
}

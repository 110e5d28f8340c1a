// Package distribution distributes accepted configurations to all instances.
//
// If every instance watched the platform's key-value service, a new revision
// would make all of them read from it at the same time. Therefore only the first
// few instances of a failure domain, by name, hold a watch. They notify the other
// instances along a tree and send the difference from the previous revision. An
// instance that missed a notice learns of the newest revision within seconds,
// since every second each instance sends its revision to a random other one. The
// revision in force at an instance only increases: an older one, from a peer or
// from a stale read, is ignored.
//
// An instance that reaches neither the service nor a peer that does keeps its
// revision and reports that it is cut off.
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

// Settings are the settings of a Distributor. The zero value selects the
// defaults.
type Settings struct {
	Watchers        int           // instances of a failure domain that hold a watch; 0 means 2
	Fanout          int           // instances that one instance notifies of a new revision; 0 means 4
	RecentRevisions int           // earlier revisions from which a difference can be sent; 0 means 8
	MaxNoticeParts  int           // largest number of parts of a difference in a notice; 0 means 64
	CutOffAfter     unit.Duration // time without contact to the key-value service; 0 means 30 s
	PullTimeout     unit.Duration // time limit of a pull from a peer; 0 means 2 s
}

// Defaults of Settings, and fixed times.
const (
	defaultWatchers        = 2
	defaultFanout          = 4
	defaultRecentRevisions = 8
	defaultMaxNoticeParts  = 64
	defaultCutOffAfter     = 30 * time.Second
	defaultPullTimeout     = 2 * time.Second
	firstReadDelay         = 2 * time.Second  // time that a new instance waits for its peers before it reads the head
	startJitter            = time.Second      // range of the random delay of a watcher's first read
	readJitter             = 4 * time.Second  // range of the random delay of other first reads
	probeInterval          = 10 * time.Second // mean time between reads per watcher in a domain that is cut off
	otherDomainInterval    = 4                // one in this many notices goes to another failure domain
)

// Distributor decides how one instance obtains the newest revision and passes it
// on. It does no I/O and is not safe for concurrent use.
type Distributor struct {
	self   Member
	cfg    Settings
	random *rand.Rand

	domainInstances []ident.Instance // those of the own failure domain, including self, sorted by name
	otherInstances  []ident.Instance
	rank            int // index of self in domainInstances

	current      *configuration.Document
	digest       string
	recent       []*configuration.Document // documents before the current one, oldest first
	deltas       map[ident.Revision]*Delta // differences from earlier revisions to the current one
	storeContact time.Time                 // last known contact to the key-value service
	pullDeadline time.Time
	nextRead     time.Time
}

// New returns a Distributor for self that starts at now without a document. Its
// random choices are determined by seed.
func New(self Member, seed uint64, now time.Time, cfg Settings) *Distributor {
	cfg.Watchers = orDefault(cfg.Watchers, defaultWatchers)
	cfg.Fanout = orDefault(cfg.Fanout, defaultFanout)
	cfg.RecentRevisions = orDefault(cfg.RecentRevisions, defaultRecentRevisions)
	cfg.MaxNoticeParts = orDefault(cfg.MaxNoticeParts, defaultMaxNoticeParts)
	cfg.CutOffAfter = orDefault(cfg.CutOffAfter, unit.Duration(defaultCutOffAfter))
	cfg.PullTimeout = orDefault(cfg.PullTimeout, unit.Duration(defaultPullTimeout))
	c := &Distributor{
		self: self, cfg: cfg, random: rand.New(rand.NewPCG(seed, seed)),
		current: &configuration.Document{},
	}
	c.digest = configuration.Digest(*c.current)
	c.nextRead = now.Add(firstReadDelay + c.jitter(readJitter))
	c.SetMembers(nil)
	return c
}

func orDefault[T int | unit.Duration](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}

// Revision returns the revision in force, or 0 if there is none yet.
func (c *Distributor) Revision() ident.Revision {
	return c.current.Revision
}

// ShouldWatch reports whether this instance should hold a watch.
func (c *Distributor) ShouldWatch() bool {
	return c.rank < c.cfg.Watchers
}

// StartDelay returns a random delay for the first read of a watcher, so that
// instances that start together do not all read at the same time.
func (c *Distributor) StartDelay() time.Duration {
	return c.jitter(startJitter)
}

// CutOff reports whether, as far as this instance knows, neither it nor any peer
// that sends it notices has had contact to the key-value service within
// CutOffAfter. A newer revision may then exist.
func (c *Distributor) CutOff(now time.Time) bool {
	return now.Sub(c.storeContact) > c.cfg.CutOffAfter.Std()
}

// StoreContactAge returns the age of the last known contact to the key-value
// service, or 0 if there was none.
func (c *Distributor) StoreContactAge(now time.Time) time.Duration {
	if c.storeContact.IsZero() {
		return 0
	}
	return max(now.Sub(c.storeContact), 1)
}

// SetMembers replaces the list of live instances. Self is added if it is missing.
func (c *Distributor) SetMembers(members []Member) {
	c.domainInstances = []ident.Instance{c.self.Instance}
	c.otherInstances = nil
	for _, m := range members {
		switch {
		case m.Instance == c.self.Instance:
		case m.Domain == c.self.Domain:
			c.domainInstances = append(c.domainInstances, m.Instance)
		default:
			c.otherInstances = append(c.otherInstances, m.Instance)
		}
	}
	slices.Sort(c.domainInstances)
	slices.Sort(c.otherInstances)
	c.rank, _ = slices.BinarySearch(c.domainInstances, c.self.Instance)
}

// HandleHead records that a read of the head returned revision rev. A revision
// older than the current one is a stale read and does not count as contact.
func (c *Distributor) HandleHead(now time.Time, rev ident.Revision) {
	if rev >= c.current.Revision {
		c.storeContact = now
	}
}

// HandleDocument adopts a document that was read from the key-value service or
// confirmed at this instance.
func (c *Distributor) HandleDocument(now time.Time, doc configuration.Document) []Action {
	c.HandleHead(now, doc.Revision)
	return c.adopt(now, &doc, configuration.Digest(doc), "")
}

// HandleNotice handles a notice from a peer. A peer with an older revision is
// notified; from a peer with a newer one the difference is applied or pulled.
func (c *Distributor) HandleNotice(now time.Time, from ident.Instance, n Notice) []Action {
	if n.SeenAgo > 0 && n.Revision >= c.current.Revision {
		c.recordStoreContact(now.Add(-n.SeenAgo.Std()))
	}
	if n.Revision < c.current.Revision {
		return []Action{c.noticeTo(now, from, n.Revision)}
	}
	if n.Revision == c.current.Revision {
		return nil
	}
	if doc, ok := c.applyDelta(n.Delta); ok {
		return c.adopt(now, doc, n.Delta.Digest, from)
	}
	return c.pull(now, from)
}

// AnswerPull returns the response to the request of a peer.
func (c *Distributor) AnswerPull(r PullRequest) PullResponse {
	if r.Have >= c.current.Revision {
		return PullResponse{Revision: c.current.Revision}
	}
	if d := c.deltaFrom(r.Have); d != nil && r.Have > 0 {
		return PullResponse{Revision: c.current.Revision, Digest: c.digest, Delta: d}
	}
	return PullResponse{Revision: c.current.Revision, Digest: c.digest, Document: c.current}
}

// HandlePullResponse handles the response of a peer to a pull. A response whose
// content does not match its digest is ignored.
func (c *Distributor) HandlePullResponse(now time.Time, from ident.Instance, r PullResponse) []Action {
	c.pullDeadline = time.Time{}
	if r.Revision <= c.current.Revision {
		return nil
	}
	if doc, ok := c.applyDelta(r.Delta); ok {
		return c.adopt(now, doc, r.Digest, from)
	}
	if r.Document == nil || r.Document.Revision != r.Revision || configuration.Digest(*r.Document) != r.Digest {
		return nil
	}
	return c.adopt(now, r.Document, r.Digest, from)
}

// HandlePullFailure records that a pull has failed.
func (c *Distributor) HandlePullFailure() {
	c.pullDeadline = time.Time{}
}

// Tick returns the periodic actions. It must be called once a second.
func (c *Distributor) Tick(now time.Time) []Action {
	var actions []Action
	if to, ok := c.randomPeer(); ok {
		n := Notice{Revision: c.current.Revision, SeenAgo: unit.Duration(c.StoreContactAge(now))}
		actions = append(actions, Action{To: to, Notify: &n})
		if c.current.Revision == 0 {
			actions = append(actions, c.pull(now, to)...)
		}
	}
	if c.shouldReadHead(now) {
		actions = append(actions, Action{ReadHead: true})
	}
	return actions
}

// shouldReadHead reports whether an instance without a watch should read the head
// now. This is the case if it has not obtained a document from its peers and, at
// long intervals, if it is cut off.
func (c *Distributor) shouldReadHead(now time.Time) bool {
	if c.ShouldWatch() || now.Before(c.nextRead) {
		return false
	}
	meanDelay := probeInterval * time.Duration(len(c.domainInstances)) / time.Duration(c.cfg.Watchers)
	if c.current.Revision == 0 {
		meanDelay = readJitter
	}
	c.nextRead = now.Add(time.Second + c.jitter(2*meanDelay))
	return c.current.Revision == 0 || c.CutOff(now)
}

// adopt puts doc in force if it is newer than the current document, and notifies
// peers.
func (c *Distributor) adopt(now time.Time, doc *configuration.Document, digest string, from ident.Instance) []Action {
	if doc.Revision <= c.current.Revision {
		return nil
	}
	base := c.current.Revision
	c.recent = append(c.recent, c.current)
	if len(c.recent) > c.cfg.RecentRevisions {
		c.recent = slices.Delete(c.recent, 0, 1)
	}
	c.current = doc
	c.digest = digest
	c.deltas = make(map[ident.Revision]*Delta)
	actions := []Action{{Publish: doc}}
	for _, to := range c.peersToNotify(from) {
		actions = append(actions, c.noticeTo(now, to, base))
	}
	return actions
}

// peersToNotify returns the instances to notify of a new revision that was
// received from the peer from, which is empty if it was read or confirmed here.
// These are the children of self in the tree of the failure domain, and also the
// roots of the tree unless the revision came from the same failure domain.
func (c *Distributor) peersToNotify(from ident.Instance) []ident.Instance {
	var list []ident.Instance
	_, inDomain := slices.BinarySearch(c.domainInstances, from)
	if !inDomain {
		list = append(list, c.domainInstances[:min(c.cfg.Watchers, len(c.domainInstances))]...)
	}
	first := c.cfg.Watchers + c.rank*c.cfg.Fanout
	for i := first; i < first+c.cfg.Fanout && i < len(c.domainInstances); i++ {
		list = append(list, c.domainInstances[i])
	}
	return slices.DeleteFunc(list, func(to ident.Instance) bool { return to == c.self.Instance || to == from })
}

// noticeTo returns the action that notifies to of the current revision. The
// difference from base is included if it is known and small.
func (c *Distributor) noticeTo(now time.Time, to ident.Instance, base ident.Revision) Action {
	n := Notice{Revision: c.current.Revision, SeenAgo: unit.Duration(c.StoreContactAge(now))}
	if d := c.deltaFrom(base); d != nil && partCount(d.Intent) <= c.cfg.MaxNoticeParts {
		n.Delta = d
	}
	return Action{To: to, Notify: &n}
}

// pull returns the action that pulls from a peer, or none if another pull is in
// progress.
func (c *Distributor) pull(now time.Time, from ident.Instance) []Action {
	if now.Before(c.pullDeadline) {
		return nil
	}
	c.pullDeadline = now.Add(c.cfg.PullTimeout.Std())
	return []Action{{To: from, Pull: &PullRequest{Have: c.current.Revision}}}
}

// applyDelta returns the current document changed by d. It returns false if d has
// another base or the result does not match the digest of d.
func (c *Distributor) applyDelta(d *Delta) (*configuration.Document, bool) {
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

// deltaFrom returns the difference from base to the current document, or nil if
// base is not a recent revision.
func (c *Distributor) deltaFrom(base ident.Revision) *Delta {
	if d, ok := c.deltas[base]; ok {
		return d
	}
	for _, doc := range c.recent {
		if doc.Revision == base {
			d := &Delta{base, c.current.Revision, c.digest, intent.Difference(*doc, *c.current)}
			c.deltas[base] = d
			return d
		}
	}
	return nil
}

func (c *Distributor) recordStoreContact(at time.Time) {
	if at.After(c.storeContact) {
		c.storeContact = at
	}
}

// randomPeer returns a random instance, usually of the own failure domain, and
// false if there is none.
func (c *Distributor) randomPeer() (ident.Instance, bool) {
	domainPeers := len(c.domainInstances) - 1
	if len(c.otherInstances) > 0 && (domainPeers == 0 || c.random.IntN(otherDomainInterval) == 0) {
		return c.otherInstances[c.random.IntN(len(c.otherInstances))], true
	}
	if domainPeers == 0 {
		return "", false
	}
	i := c.random.IntN(domainPeers)
	if i >= c.rank {
		i++
	}
	return c.domainInstances[i], true
}

func (c *Distributor) jitter(d time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(d)))
}

// partCount returns the number of parts that an intent sets or removes.
func partCount(in intent.Intent) int {
	set, remove := in.Set, in.Remove
	return len(set.Operators) + len(set.Workspaces) + len(set.Services) + len(set.Upstreams) + len(set.Rules) + len(set.Placements) +
		len(remove.Operators) + len(remove.Workspaces) + len(remove.Services) + len(remove.Upstreams) + len(remove.Rules) + len(remove.Placements)
}

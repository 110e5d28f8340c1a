// Package membership decides which instances are live.
//
// Table follows SWIM (A. Das, I. Gupta and A. Motivala, SWIM: Scalable
// weakly-consistent infection-style process group membership protocol, DSN
// 2002): each period an instance probes one member; if no answer comes it asks
// a few others to probe, and only then suspects the member, which may refute
// the suspicion with a higher incarnation. News rides on the probes. Three
// things are added for failure domains that can be cut off from each other:
//
// Only the members of a failure domain pronounce each other dead. To the rest
// a domain that does not answer is cut off and its members are unreachable;
// they are kept and are live again when one of them answers.
//
// News is pushed to a few members at once, besides riding on probes, so that a
// departure is known everywhere before the next probes.
//
// Messages carry a digest of the sender's members. Tables that differ while
// there is no news exchange their members page by page.
//
// A Table has no goroutine, clock or random source of its own, and is not safe
// for use by several goroutines. The work of a tick and the size of a message
// do not depend on the number of members.
package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"crocuslug/ident"
)

// entry is a member with what this instance keeps about it.
type entry struct {
	Member
	since time.Time // when the state was learned
}

type heldNotice struct {
	Notice
	since time.Time
}

// domainState is what is known of another failure domain.
type domainState struct {
	members  ring
	failed   int // direct probes that failed in a row
	doubted  int // probes that are due at once
	cutSince time.Time
}

func (d *domainState) cut() bool {
	return !d.cutSince.IsZero()
}

// Table is the membership as one instance knows it.
type Table struct {
	cfg      Settings
	self     Member
	rand     func(n int) int
	entries  map[ident.Instance]*entry
	names    map[string]ident.Instance
	notices  map[string]heldNotice
	suspects map[ident.Instance]time.Time // deadlines, own domain only
	domains  map[ident.Domain]*domainState
	rumors   rumors
	digest   uint64
	view     *View // nil after a change

	own   ring // own domain, without self
	dead  ring
	order []ident.Domain // other domains, in the order of probing

	seq       uint64
	probes    map[uint64]*probe
	relays    map[uint64]relay
	lastTick  time.Time
	nextProbe time.Time
	nextPush  time.Time
	nextSweep time.Time
	nextSync  time.Time
	periods   int
}

// New returns a table that knows only self. rand returns a number from 0 to
// n-1. The incarnation of self must be above that of earlier runs of its name.
func New(cfg Settings, self Member, rand func(n int) int) *Table {
	self.State = Live
	t := &Table{
		cfg:      cfg.withDefaults(),
		self:     self,
		rand:     rand,
		entries:  make(map[ident.Instance]*entry),
		names:    make(map[string]ident.Instance),
		notices:  make(map[string]heldNotice),
		suspects: make(map[ident.Instance]time.Time),
		domains:  make(map[ident.Domain]*domainState),
		probes:   make(map[uint64]*probe),
		relays:   make(map[uint64]relay),
	}
	t.put(self, time.Time{})
	t.spread(rumor{member: self.Instance})
	return t
}

// View returns the present view. It is the same pointer until something changes.
func (t *Table) View() *View {
	if t.view != nil {
		return t.view
	}
	v := &View{Self: t.self.Instance}
	for _, e := range t.entries {
		if e.State == Dead {
			continue
		}
		m := e.Member
		if t.domain(m.Domain).cut() {
			m.State = Unreachable
		}
		v.Members = append(v.Members, m)
	}
	slices.SortFunc(v.Members, func(a, b Member) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	for _, k := range slices.Sorted(maps.Keys(t.notices)) {
		if strings.HasPrefix(k, doubtPrefix) {
			continue
		}
		v.Notices = append(v.Notices, t.notices[k].Notice)
	}
	t.view = v
	return v
}

func (t *Table) domain(id ident.Domain) *domainState {
	d := t.domains[id]
	if d != nil {
		return d
	}
	d = new(domainState)
	t.domains[id] = d
	if id != t.self.Domain {
		t.order = append(t.order, id)
	}
	return d
}

// hash is the share of a member in the digest. Suspicions pass and are no part.
func (m Member) hash() uint64 {
	if m.State == Dead {
		return 0
	}
	leaving := uint64(0)
	if m.State == Leaving {
		leaving = 1
	}
	return xxh3.HashStringSeed(string(m.Instance), m.Incarnation<<1|leaving)
}

// put enters m in place of what was known of it.
func (t *Table) put(m Member, now time.Time) {
	if old, ok := t.entries[m.Instance]; ok {
		t.digest ^= old.hash()
		t.ring(old.Member).remove(m.Instance)
	}
	t.digest ^= m.hash()
	t.entries[m.Instance] = &entry{Member: m, since: now}
	if m.Instance != t.self.Instance {
		t.ring(m).insert(m.Instance, t.rand)
	}
	delete(t.suspects, m.Instance)
	if m.State == Suspect && m.Domain == t.self.Domain {
		t.suspects[m.Instance] = now.Add(t.cfg.Suspicion)
	}
	t.view = nil
}

func (t *Table) drop(id ident.Instance) {
	e := t.entries[id]
	t.digest ^= e.hash()
	t.ring(e.Member).remove(id)
	delete(t.entries, id)
	delete(t.suspects, id)
	if t.names[e.Name] == id {
		delete(t.names, e.Name)
	}
	t.view = nil
}

func (t *Table) ring(m Member) *ring {
	switch {
	case m.State == Dead:
		return &t.dead
	case m.Domain == t.self.Domain:
		return &t.own
	default:
		return &t.domain(m.Domain).members
	}
}

// apply takes what another instance says of m, and reports whether it is news.
func (t *Table) apply(m Member, now time.Time) bool {
	if m.Instance == "" || m.State == Unreachable {
		return false
	}
	if m.Instance == t.self.Instance {
		t.refute(m, now)
		return false
	}
	old, known := t.entries[m.Instance]
	if known && !m.supersedes(old.Member) {
		return false
	}
	t.put(m, now)
	t.rename(m, now)
	return known || m.State != Dead
}

// refute answers a suspicion of this instance with a higher incarnation.
func (t *Table) refute(m Member, now time.Time) {
	if !m.supersedes(t.self) || m.State == Live {
		return
	}
	t.self.Incarnation = m.Incarnation + 1
	t.put(t.self, now)
	t.spread(rumor{member: t.self.Instance})
}

// rename pronounces the earlier run of a name dead.
func (t *Table) rename(m Member, now time.Time) {
	if m.Name == "" || m.State == Dead || m.Incarnation == 0 {
		return
	}
	before, ok := t.names[m.Name]
	if !ok || before == m.Instance {
		t.names[m.Name] = m.Instance
		return
	}
	loser := t.entries[before]
	if loser == nil || loser.Incarnation < m.Incarnation {
		t.names[m.Name] = m.Instance
	} else {
		loser = t.entries[m.Instance]
	}
	if loser != nil && loser.State != Dead {
		t.pronounce(loser.Member, Dead, now)
	}
}

// pronounce enters a verdict of this instance and spreads it.
func (t *Table) pronounce(m Member, s State, now time.Time) {
	m.State = s
	t.put(m, now)
	t.spread(rumor{member: m.Instance})
}

func (t *Table) spread(r rumor) {
	r.pushes = t.cfg.PushRounds
	t.rumors.add(r)
}

// Leave says that this instance is leaving and returns the messages that
// spread it.
func (t *Table) Leave(now time.Time) []Send {
	t.self.State = Leaving
	t.self.Incarnation++
	t.put(t.self, now)
	t.spread(rumor{member: t.self.Instance})
	return t.push(2 * t.cfg.Fanout)
}

// Announce spreads a notice and returns the messages that do so. A notice that
// is not newer than the one held is dropped.
func (t *Table) Announce(n Notice, now time.Time) []Send {
	if !t.applyNotice(n, now) {
		return nil
	}
	t.spread(rumor{notice: n.Key})
	return t.push(2 * t.cfg.Fanout)
}

// maxNotices bounds the notices that are remembered.
const maxNotices = 4096

func (t *Table) applyNotice(n Notice, now time.Time) bool {
	old, known := t.notices[n.Key]
	if n.Key == "" || t.foreignDoubt(n) || (known && old.Version >= n.Version) || (!known && len(t.notices) >= maxNotices) {
		return false
	}
	t.notices[n.Key] = heldNotice{Notice: n, since: now}
	t.view = nil
	return true
}

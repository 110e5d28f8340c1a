// Package membership tracks which instances are live, by gossip and without a leader.
//
// Table follows SWIM (A. Das, I. Gupta and A. Motivala, SWIM: Scalable
// weakly-consistent infection-style process group membership protocol, DSN
// 2002). In each period an instance probes one member. If the member does not
// answer, the instance asks a few other members to probe it, and suspects it only if
// they get no answer either. A suspected member may refute the suspicion with a
// higher incarnation. Probes also carry rumors, which are updates about members and
// notices. Three things are added to SWIM, since failure domains can be cut off from
// each other:
//
// Only members of the same failure domain declare each other dead. If a domain does
// not answer the members of another one, it counts as cut off there and its members
// as unreachable. They are kept and count as live again when one of them answers.
//
// Rumors are also pushed to a few members immediately, so that a departure is known
// everywhere before the next probes.
//
// Messages carry a digest of the sender's members. If digests differ while there
// are no rumors to push, the tables exchange their members page by page.
//
// A Table has no goroutine, clock or random source of its own, and is not safe for
// concurrent use. The work of a tick and the size of a message do not depend on the
// number of members.
package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"crocuslug/ident"
)

// entry is a member and the local time of its last change.
type entry struct {
	Member
	since time.Time // when the state was learned
}

// storedNotice is a notice and the local time at which it was received.
type storedNotice struct {
	Notice
	since time.Time
}

// domainState is the state of another failure domain as seen by this instance.
type domainState struct {
	members         ring
	failedProbes    int       // consecutive direct probes that failed
	pendingRechecks int       // probes to send in the next ticks
	cutOffSince     time.Time // zero if the domain is reachable
}

func (d *domainState) isCutOff() bool {
	return !d.cutOffSince.IsZero()
}

// Table holds the members and notices known to one instance.
type Table struct {
	cfg            Settings
	self           Member
	rand           func(n int) int
	entries        map[ident.Instance]*entry
	instanceByName map[string]ident.Instance // newest run of each name
	notices        map[string]storedNotice
	suspects       map[ident.Instance]time.Time // deadlines, own domain only
	domains        map[ident.Domain]*domainState
	rumors         rumors
	digest         uint64
	view           *View // nil after a change

	ownMembers     ring // own domain, without self
	deadMembers    ring
	foreignDomains []ident.Domain // other domains, in the order of probing

	seq         uint64
	probes      map[uint64]*probe
	relays      map[uint64]relay
	lastTick    time.Time
	nextProbe   time.Time
	nextPush    time.Time
	nextCleanup time.Time
	nextSync    time.Time
	periods     int // probe periods so far
}

// New returns a table that contains only self. The function rand returns a random
// number in [0, n). The incarnation of self must be higher than those of earlier runs
// with the same name.
func New(cfg Settings, self Member, rand func(n int) int) *Table {
	self.State = Live
	t := &Table{
		cfg:            cfg.withDefaults(),
		self:           self,
		rand:           rand,
		entries:        make(map[ident.Instance]*entry),
		instanceByName: make(map[string]ident.Instance),
		notices:        make(map[string]storedNotice),
		suspects:       make(map[ident.Instance]time.Time),
		domains:        make(map[ident.Domain]*domainState),
		probes:         make(map[uint64]*probe),
		relays:         make(map[uint64]relay),
	}
	t.store(self, time.Time{})
	t.spreadRumor(rumor{member: self.Instance})
	return t
}

// View returns the current view. It returns the same pointer until a change.
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
		if t.domain(m.Domain).isCutOff() {
			m.State = Unreachable
		}
		v.Members = append(v.Members, m)
	}
	slices.SortFunc(v.Members, func(a, b Member) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	for _, k := range slices.Sorted(maps.Keys(t.notices)) {
		if strings.HasPrefix(k, recheckPrefix) {
			continue
		}
		v.Notices = append(v.Notices, t.notices[k].Notice)
	}
	t.view = v
	return v
}

// domain returns the state of a domain and creates it if needed.
func (t *Table) domain(id ident.Domain) *domainState {
	d := t.domains[id]
	if d != nil {
		return d
	}
	d = new(domainState)
	t.domains[id] = d
	if id != t.self.Domain {
		t.foreignDomains = append(t.foreignDomains, id)
	}
	return d
}

// digestPart returns the contribution of a member to the digest. Suspicions are
// temporary and are not included.
func (m Member) digestPart() uint64 {
	if m.State == Dead {
		return 0
	}
	leaving := uint64(0)
	if m.State == Leaving {
		leaving = 1
	}
	return xxh3.HashStringSeed(string(m.Instance), m.Incarnation<<1|leaving)
}

// store replaces the record of a member by m.
func (t *Table) store(m Member, now time.Time) {
	if old, ok := t.entries[m.Instance]; ok {
		t.digest ^= old.digestPart()
		t.ring(old.Member).remove(m.Instance)
	}
	t.digest ^= m.digestPart()
	t.entries[m.Instance] = &entry{Member: m, since: now}
	if m.Instance != t.self.Instance {
		t.ring(m).insert(m.Instance, t.rand)
	}
	delete(t.suspects, m.Instance)
	if m.State == Suspect && m.Domain == t.self.Domain {
		t.suspects[m.Instance] = now.Add(t.cfg.SuspicionTimeout)
	}
	t.view = nil
}

// remove deletes the record of a member.
func (t *Table) remove(id ident.Instance) {
	e := t.entries[id]
	t.digest ^= e.digestPart()
	t.ring(e.Member).remove(id)
	delete(t.entries, id)
	delete(t.suspects, id)
	if t.instanceByName[e.Name] == id {
		delete(t.instanceByName, e.Name)
	}
	t.view = nil
}

// ring returns the ring in which m is kept for probing.
func (t *Table) ring(m Member) *ring {
	switch {
	case m.State == Dead:
		return &t.deadMembers
	case m.Domain == t.self.Domain:
		return &t.ownMembers
	default:
		return &t.domain(m.Domain).members
	}
}

// apply applies an update about m from another instance or the instance list. It
// reports whether the update is new and should be spread.
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
	t.store(m, now)
	t.declareOlderRunDead(m, now)
	return known || m.State != Dead
}

// refute overrides a suspicion or death of this instance with a higher incarnation.
func (t *Table) refute(m Member, now time.Time) {
	if !m.supersedes(t.self) || m.State == Live {
		return
	}
	t.self.Incarnation = m.Incarnation + 1
	t.store(t.self, now)
	t.spreadRumor(rumor{member: t.self.Instance})
}

// declareOlderRunDead declares the older of two runs with the same name dead.
func (t *Table) declareOlderRunDead(m Member, now time.Time) {
	if m.Name == "" || m.State == Dead || m.Incarnation == 0 {
		return
	}
	previous, ok := t.instanceByName[m.Name]
	if !ok || previous == m.Instance {
		t.instanceByName[m.Name] = m.Instance
		return
	}
	older := t.entries[previous]
	if older == nil || older.Incarnation < m.Incarnation {
		t.instanceByName[m.Name] = m.Instance
	} else {
		older = t.entries[m.Instance]
	}
	if older != nil && older.State != Dead {
		t.declare(older.Member, Dead, now)
	}
}

// declare sets the state of a member on the decision of this instance and spreads it.
func (t *Table) declare(m Member, s State, now time.Time) {
	m.State = s
	t.store(m, now)
	t.spreadRumor(rumor{member: m.Instance})
}

// spreadRumor starts to spread r.
func (t *Table) spreadRumor(r rumor) {
	r.remainingPushes = t.cfg.PushRounds
	t.rumors.add(r)
}

// Leave marks this instance as leaving and returns the messages that spread this.
func (t *Table) Leave(now time.Time) []Envelope {
	t.self.State = Leaving
	t.self.Incarnation++
	t.store(t.self, now)
	t.spreadRumor(rumor{member: t.self.Instance})
	return t.push(2 * t.cfg.Fanout)
}

// Announce starts to spread a notice and returns the messages that do so. A notice
// that is not newer than the stored one with the same key is ignored.
func (t *Table) Announce(n Notice, now time.Time) []Envelope {
	if !t.applyNotice(n, now) {
		return nil
	}
	t.spreadRumor(rumor{notice: n.Key})
	return t.push(2 * t.cfg.Fanout)
}

// maxNotices is the largest number of stored notices.
const maxNotices = 4096

// applyNotice stores n if it is new. It reports whether n was stored.
func (t *Table) applyNotice(n Notice, now time.Time) bool {
	old, known := t.notices[n.Key]
	if n.Key == "" || t.isForeignRecheck(n) || (known && old.Version >= n.Version) || (!known && len(t.notices) >= maxNotices) {
		return false
	}
	t.notices[n.Key] = storedNotice{Notice: n, since: now}
	t.view = nil
	return true
}

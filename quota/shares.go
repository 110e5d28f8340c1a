// Package quota enforces fleet-wide limits of workspaces by dividing them into
// shares that instances lend to each other.
//
// With N members each instance has a base share of 1/N of the limit. An instance
// with idle share, or with more share relative to its demand, gives some of it to a
// peer that reports a higher demand. It lowers its own share first, and the peer
// raises its share when the message arrives. This is an escrow protocol as in
// Barbará and Garcia-Molina, "The Demarcation Protocol", VLDB Journal 3(3), 1994.
// Messages carry totals that never decrease, so lost, repeated or reordered
// messages neither create nor destroy share.
//
// An unreachable member stays a member and keeps its share, and no instance uses
// more than it was given. When the list of instances no longer contains a member,
// the exchanges with it are undone and the base share grows. Share lent by one
// instance is never passed on to a third, and an instance never lends more than its
// base. The shares therefore sum to at most 1 while all instances have the same
// list. While k of N members are removed and j are added and not all instances know
// it yet, they sum to at most 1 + k/N + j/(N+j), provided that removed instances
// serve no requests. A token bucket that accumulates B seconds of the rate can
// exceed the limit once, by B times the limit.
package quota

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"crocuslug/ident"
)

// Shares holds the shares of one instance in the limits of all workspaces. Its
// methods are safe for concurrent use.
type Shares struct {
	mu          sync.Mutex
	cfg         Settings
	self        ident.Instance
	members     []ident.Instance // sorted, includes self
	unreachable map[ident.Instance]bool
	accounts    map[ident.Workspace]*account
	limit       func(ident.Workspace) float64
	peerCursor  int
	lastTick    time.Time
}

// New returns the shares of the instance self among members. The function limit
// returns the fleet-wide limit of a workspace in tokens per second, or 0 if the
// workspace is not limited. It must not block.
func New(cfg Settings, self ident.Instance, members []ident.Instance, limit func(ident.Workspace) float64) *Shares {
	return &Shares{
		cfg:         cfg.withDefaults(),
		self:        self,
		members:     withSelf(members, self),
		unreachable: make(map[ident.Instance]bool),
		accounts:    make(map[ident.Workspace]*account),
		limit:       limit,
	}
}

// SetMembers replaces the list of instances that share the limits. The list must
// be the full instance list, including unreachable instances. Exchanges with
// removed instances are undone. They are restored if the instance is listed again
// while its balance is still kept.
func (s *Shares) SetMembers(list []ident.Instance, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = withSelf(list, s.self)
	for _, a := range s.accounts {
		for name, p := range a.balances {
			switch {
			case s.isMember(name):
				p.removedAt = time.Time{}
			case p.removedAt.IsZero():
				p.removedAt = now
			case now.Sub(p.removedAt) > s.cfg.Keep.Std():
				delete(a.balances, name)
			}
		}
		a.recomputeTotals()
	}
	maps.DeleteFunc(s.unreachable, func(name ident.Instance, _ bool) bool { return !s.isMember(name) })
}

// withSelf returns the sorted list with self in it exactly once.
func withSelf(list []ident.Instance, self ident.Instance) []ident.Instance {
	members := append(slices.Clone(list), self)
	slices.Sort(members)
	return slices.Compact(members)
}

func (s *Shares) isMember(name ident.Instance) bool {
	_, ok := slices.BinarySearch(s.members, name)
	return ok
}

// PeerLost records that a member is unreachable. The member keeps its share and is
// sent no messages until PeerFound is called.
func (s *Shares) PeerLost(name ident.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable[name] = true
}

// PeerFound records that a member is reachable again.
func (s *Shares) PeerFound(name ident.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unreachable, name)
}

// AddDemand adds the cost in tokens of a request at this instance, whether or not
// the request was admitted. Workspaces without a limit are ignored.
func (s *Shares) AddDemand(w ident.Workspace, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit(w) > 0 {
		s.account(w).tickDemand += cost
	}
}

// Rate returns the rate in tokens per second that w may use at this instance, and
// whether w is limited at all.
func (s *Shares) Rate(w ident.Workspace) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.limit(w)
	if limit <= 0 {
		return 0, false
	}
	return limit * s.usableShare(w), true
}

// ConcurrencyLimit returns the number of requests of w that may run at this instance
// if fleetLimit requests may run in the whole fleet. It is rounded up, so each
// active instance may run up to one request more than its exact share.
func (s *Shares) ConcurrencyLimit(w ident.Workspace, fleetLimit int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(math.Ceil(float64(fleetLimit)*s.usableShare(w) - negligible))
}

// base returns the base share of an instance.
func (s *Shares) base() float64 {
	return 1 / float64(len(s.members))
}

// usableShare returns the fraction of the limit of w that this instance may use.
func (s *Shares) usableShare(w ident.Workspace) float64 {
	if a, ok := s.accounts[w]; ok {
		return math.Max(0, a.share(s.base()))
	}
	return s.base()
}

// account returns the account of w and creates it if needed.
func (s *Shares) account(w ident.Workspace) *account {
	a, ok := s.accounts[w]
	if !ok {
		a = &account{balances: make(map[ident.Instance]*balance)}
		s.accounts[w] = a
	}
	return a
}

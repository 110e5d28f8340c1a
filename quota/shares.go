// Package quota keeps a workspace's fleet-wide limit by shares that instances
// lend to each other.
//
// With N members each instance has a base of 1/N of the limit. An instance with
// idle or relatively more share gives some of it to a peer that told a higher
// demand: it lowers its own share first, and the peer raises its own when the
// message arrives (an escrow, as in Barbará and Garcia-Molina, "The Demarcation
// Protocol", VLDB Journal 3(3), 1994). Messages carry totals that only rise, so
// loss, repetition and reordering neither create nor destroy share.
//
// A member that is out of reach stays a member and keeps its share; nobody
// grows past what was given to it. Only when the list of instances no longer
// names a member is what was exchanged with it undone, and the base raised.
// What one lent is never passed on to a third, and what is lent out of a base
// never exceeds it. Therefore the shares sum to at most 1 while all go by the
// same list, and to at most 1 + k/N + j/(N+j) while k of N members are removed
// and j are added and not all instances know it yet. This holds if a removed
// instance serves no more. A rate bucket that saves up B seconds adds the limit
// times B once.
package quota

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"crocuslug/ident"
)

// Shares holds the shares of one instance. Its methods may be called from any
// goroutine; a lock makes each call one step.
type Shares struct {
	mu       sync.Mutex
	cfg      Settings
	me       ident.Instance
	members  []ident.Instance // sorted, with me
	lost     map[ident.Instance]bool
	accounts map[ident.Workspace]*account
	limit    func(ident.Workspace) float64
	turn     int
	ticked   time.Time
}

// New returns the shares of the instance me among members. The function limit
// returns the fleet-wide limit of a workspace in tokens per second, or 0 if it
// has none; it must not block.
func New(cfg Settings, me ident.Instance, members []ident.Instance, limit func(ident.Workspace) float64) *Shares {
	return &Shares{
		cfg:      cfg.withDefaults(),
		me:       me,
		members:  with(members, me),
		lost:     make(map[ident.Instance]bool),
		accounts: make(map[ident.Workspace]*account),
		limit:    limit,
	}
}

// SetMembers replaces the list of instances among which limits are shared. It is
// given what the instance list says, not what is in reach: an instance that is
// only out of reach must stay in it. What was exchanged with those that are gone
// is undone, and done again if they come back.
func (s *Shares) SetMembers(list []ident.Instance, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = with(list, s.me)
	for _, a := range s.accounts {
		for name, p := range a.pairs {
			switch {
			case s.member(name):
				p.gone = time.Time{}
			case p.gone.IsZero():
				p.gone = now
			case now.Sub(p.gone) > s.cfg.Keep.Std():
				delete(a.pairs, name)
			}
		}
		a.recount()
	}
	maps.DeleteFunc(s.lost, func(name ident.Instance, _ bool) bool { return !s.member(name) })
}

// with returns the sorted list with me in it once.
func with(list []ident.Instance, me ident.Instance) []ident.Instance {
	members := append(slices.Clone(list), me)
	slices.Sort(members)
	return slices.Compact(members)
}

func (s *Shares) member(name ident.Instance) bool {
	_, ok := slices.BinarySearch(s.members, name)
	return ok
}

// PeerLost notes that a member is out of reach. It keeps its share and gets no
// messages until PeerFound.
func (s *Shares) PeerLost(name ident.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost[name] = true
}

// PeerFound notes that a member is in reach again.
func (s *Shares) PeerFound(name ident.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lost, name)
}

// Demand adds cost in tokens that was offered here, admitted or not.
func (s *Shares) Demand(w ident.Workspace, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit(w) > 0 {
		s.account(w).asked += cost
	}
}

// Rate returns the tokens per second that w may use here, and whether it is
// limited at all.
func (s *Shares) Rate(w ident.Workspace) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.limit(w)
	if limit <= 0 {
		return 0, false
	}
	return limit * s.usable(w), true
}

// Concurrent returns the requests of w that may run here when most may run
// fleet-wide. A part of one is rounded up, so that up to one more than the
// share runs at each instance that is in use.
func (s *Shares) Concurrent(w ident.Workspace, most int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(math.Ceil(float64(most)*s.usable(w) - negligible))
}

func (s *Shares) base() float64 {
	return 1 / float64(len(s.members))
}

// usable returns the part of the limit of w that may be used here.
func (s *Shares) usable(w ident.Workspace) float64 {
	if a, ok := s.accounts[w]; ok {
		return math.Max(0, a.share(s.base()))
	}
	return s.base()
}

func (s *Shares) account(w ident.Workspace) *account {
	a, ok := s.accounts[w]
	if !ok {
		a = &account{pairs: make(map[ident.Instance]*pair)}
		s.accounts[w] = a
	}
	return a
}

package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"crocuslug/ident"
)

// Tick takes the demand since the last one and returns the messages to the next
// few peers in turn. It is called about once a second.
func (s *Shares) Tick(now time.Time) []Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe(now)
	var ms []Message
	for _, to := range s.nextPeers() {
		if rows := s.rows(to); len(rows) > 0 {
			ms = append(ms, Message{From: s.me, To: to, Rows: rows})
		}
	}
	return ms
}

// observe smooths the demand and forgets accounts that were never exchanged.
// The totals of the others must be kept, as the peers keep them too.
func (s *Shares) observe(now time.Time) {
	elapsed := now.Sub(s.ticked).Seconds()
	first := s.ticked.IsZero()
	s.ticked = now
	for w, a := range s.accounts {
		limit := s.limit(w)
		if !first && elapsed > 0 && limit > 0 {
			a.demand += s.cfg.Smooth * (a.asked/elapsed/limit - a.demand)
		}
		a.asked = 0
		if a.demand < negligible {
			a.demand = 0
		}
		if a.demand == 0 && !a.exchanged {
			delete(s.accounts, w)
		}
	}
}

// nextPeers returns the members in reach whose turn it is.
func (s *Shares) nextPeers() []ident.Instance {
	var reach []ident.Instance
	for _, name := range s.members {
		if name != s.me && !s.lost[name] {
			reach = append(reach, name)
		}
	}
	n := min(s.cfg.Fanout, len(reach))
	next := make([]ident.Instance, 0, n)
	for range n {
		s.turn++
		next = append(next, reach[s.turn%len(reach)])
	}
	return next
}

// rows returns the workspaces with something to tell a peer: demand on either
// side, or share that is lent or under way. If there are too many, those with
// the most at stake go.
func (s *Shares) rows(to ident.Instance) []Row {
	var rows []Row
	for w, a := range s.accounts {
		p, ok := a.pairs[to]
		if a.demand == 0 && (!ok || p.demand < negligible && p.quiet()) {
			continue
		}
		p = a.pair(to)
		s.repay(a, p)
		rows = append(rows, s.row(w, a, p))
	}
	slices.SortFunc(rows, func(a, b Row) int {
		if c := cmp.Compare(b.stake(), a.stake()); c != 0 {
			return c
		}
		return cmp.Compare(a.Workspace, b.Workspace)
	})
	return rows[:min(len(rows), s.cfg.MaxRows)]
}

func (r Row) stake() float64 {
	return math.Abs(r.Demand - r.Share)
}

func (s *Shares) row(w ident.Workspace, a *account, p *pair) Row {
	return Row{Workspace: w, Demand: a.demand, Share: a.share(s.base()), Given: p.given, Taken: p.taken}
}

// repay gives a peer back what is borrowed from it and idle.
func (s *Shares) repay(a *account, p *pair) {
	idle := a.share(s.base()) - s.cfg.Headroom*a.demand
	if back := math.Min(idle, p.net()); back > negligible {
		a.give(p, back)
	}
}

// Receive takes a message and returns the answer, if there is one to send. A
// message of an instance that is not a member is ignored.
func (s *Shares) Receive(m Message) (Message, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := Message{From: s.me, To: m.From, Answer: true}
	if m.From == s.me || !s.member(m.From) {
		return answer, false
	}
	for _, r := range m.Rows[:min(len(m.Rows), s.cfg.MaxRows)] {
		if s.limit(r.Workspace) <= 0 {
			continue
		}
		a := s.account(r.Workspace)
		p := a.pair(m.From)
		a.take(p, r.Given)
		p.acked = math.Max(p.acked, r.Taken)
		p.demand = r.Demand
		if m.Answer {
			continue
		}
		s.lend(a, p, r)
		answer.Rows = append(answer.Rows, s.row(r.Workspace, a, p))
	}
	return answer, len(answer.Rows) > 0
}

// lend gives the peer of p what it needs more, once it has all that was given.
func (s *Shares) lend(a *account, p *pair, r Row) {
	if p.given-p.acked > negligible {
		return
	}
	if amount := a.offer(p, r, s.base(), s.cfg); amount > negligible {
		a.give(p, amount)
	}
}

// Active returns the workspaces that have an account here, in order.
func (s *Shares) Active() []ident.Workspace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.accounts))
}

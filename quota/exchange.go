package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"crocuslug/ident"
)

// Tick updates the demand from the costs added since the last call and returns the
// messages to the next few peers in round-robin order. It should be called about
// once a second.
func (s *Shares) Tick(now time.Time) []Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateDemand(now)
	var ms []Message
	for _, to := range s.nextPeers() {
		if rows := s.rowsFor(to); len(rows) > 0 {
			ms = append(ms, Message{From: s.self, To: to, Rows: rows})
		}
	}
	return ms
}

// updateDemand smooths the demand of each account and deletes idle accounts that never
// exchanged share. The totals of other accounts must be kept because the peers keep
// theirs too.
func (s *Shares) updateDemand(now time.Time) {
	elapsed := now.Sub(s.lastTick).Seconds()
	first := s.lastTick.IsZero()
	s.lastTick = now
	for w, a := range s.accounts {
		limit := s.limit(w)
		if !first && elapsed > 0 && limit > 0 {
			a.demand += s.cfg.Smooth * (a.tickDemand/elapsed/limit - a.demand)
		}
		a.tickDemand = 0
		if a.demand < negligible {
			a.demand = 0
		}
		if a.demand == 0 && !a.exchanged {
			delete(s.accounts, w)
		}
	}
}

// nextPeers returns the next reachable members in round-robin order.
func (s *Shares) nextPeers() []ident.Instance {
	var reachable []ident.Instance
	for _, name := range s.members {
		if name != s.self && !s.unreachable[name] {
			reachable = append(reachable, name)
		}
	}
	n := min(s.cfg.Fanout, len(reachable))
	next := make([]ident.Instance, 0, n)
	for range n {
		s.peerCursor++
		next = append(next, reachable[s.peerCursor%len(reachable)])
	}
	return next
}

// rowsFor returns the rows to send to a peer. They cover the workspaces that have
// demand on either side or share that is lent or in transit. If there are more than
// fit into a message, those with the greatest imbalance are sent.
func (s *Shares) rowsFor(to ident.Instance) []Row {
	var rows []Row
	for w, a := range s.accounts {
		p, ok := a.balances[to]
		if a.demand == 0 && (!ok || p.demand < negligible && p.settled()) {
			continue
		}
		p = a.balance(to)
		s.repay(a, p)
		rows = append(rows, s.row(w, a, p))
	}
	slices.SortFunc(rows, func(a, b Row) int {
		if c := cmp.Compare(b.imbalance(), a.imbalance()); c != 0 {
			return c
		}
		return cmp.Compare(a.Workspace, b.Workspace)
	})
	return rows[:min(len(rows), s.cfg.MaxRows)]
}

// imbalance returns the difference between the demand and the share of the sender.
func (r Row) imbalance() float64 {
	return math.Abs(r.Demand - r.Share)
}

// row returns the row about w for the peer of p.
func (s *Shares) row(w ident.Workspace, a *account, p *balance) Row {
	return Row{Workspace: w, Demand: a.demand, Share: a.share(s.base()), Given: p.given, Taken: p.received}
}

// repay returns borrowed share that is idle to the peer of p.
func (s *Shares) repay(a *account, p *balance) {
	idle := a.share(s.base()) - s.cfg.Headroom*a.demand
	if excess := math.Min(idle, p.net()); excess > negligible {
		a.give(p, excess)
	}
}

// Receive processes a message. It returns an answer and whether the answer is to
// be sent. Messages from instances that are not members are ignored.
func (s *Shares) Receive(m Message) (Message, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := Message{From: s.self, To: m.From, Answer: true}
	if m.From == s.self || !s.isMember(m.From) {
		return answer, false
	}
	for _, r := range m.Rows[:min(len(m.Rows), s.cfg.MaxRows)] {
		if s.limit(r.Workspace) <= 0 {
			continue
		}
		a := s.account(r.Workspace)
		p := a.balance(m.From)
		a.receive(p, r.Given)
		p.acknowledged = math.Max(p.acknowledged, r.Taken)
		p.demand = r.Demand
		if m.Answer {
			continue
		}
		s.lend(a, p, r)
		answer.Rows = append(answer.Rows, s.row(r.Workspace, a, p))
	}
	return answer, len(answer.Rows) > 0
}

// lend gives more share to the peer of p if the peer needs it and has acknowledged
// everything given before.
func (s *Shares) lend(a *account, p *balance, r Row) {
	if p.given-p.acknowledged > negligible {
		return
	}
	if amount := a.transferAmount(p, r, s.base(), s.cfg); amount > negligible {
		a.give(p, amount)
	}
}

// ActiveWorkspaces returns the workspaces that have an account at this instance,
// sorted.
func (s *Shares) ActiveWorkspaces() []ident.Workspace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.accounts))
}

package membership

import (
	"maps"
	"slices"
	"time"

	"crocuslug/ident"
)

// maxPageMembers is the largest number of members in one page of a synchronization.
const maxPageMembers = 32

// minSyncInterval is the shortest time between two synchronizations started by a table.
const minSyncInterval = 15 * time.Second

// Receive processes a message and returns the messages to send.
func (t *Table) Receive(m Message, now time.Time) []Envelope {
	from := m.Sender.Instance
	if from == "" || from == t.self.Instance {
		return nil
	}
	t.applyUpdates(m, now)
	out := t.answer(from, m, now)
	return append(out, t.pushIfDue(now)...)
}

// applyUpdates applies the rumors of a message and spreads those that are new. Pages of
// a synchronization are not spread, since others know their content already.
func (t *Table) applyUpdates(m Message, now time.Time) {
	page := m.Kind == SyncPage
	for _, u := range append([]Member{m.Sender}, m.Members...) {
		if t.apply(u, now) && !page {
			t.spreadRumor(rumor{member: u.Instance})
		}
	}
	for _, n := range m.Notices {
		if t.applyNotice(n, now) && !page {
			t.spreadRumor(rumor{notice: n.Key})
			t.handleRecheck(n)
		}
	}
}

// answer returns the messages that answer m.
func (t *Table) answer(from ident.Instance, m Message, now time.Time) []Envelope {
	switch m.Kind {
	case Ping:
		return []Envelope{t.message(from, Message{Kind: Ack, Seq: m.Seq})}
	case PingRequest:
		return t.relay(from, m, now)
	case Ack:
		return t.handleAck(from, m, now)
	case Sync:
		return []Envelope{t.syncPage(from, m.Target)}
	case SyncPage:
		return t.requestNextPage(from, m)
	default:
		return nil
	}
}

// relay pings a member on behalf of another one.
func (t *Table) relay(from ident.Instance, m Message, now time.Time) []Envelope {
	if t.entries[m.Target] == nil {
		return nil
	}
	t.seq++
	t.relays[t.seq] = relay{to: from, seq: m.Seq, sentAt: now}
	return []Envelope{t.message(m.Target, Message{Kind: Ping, Seq: t.seq})}
}

// handleAck forwards the answer to a relayed ping or completes the own probe.
func (t *Table) handleAck(from ident.Instance, m Message, now time.Time) []Envelope {
	if r, ok := t.relays[m.Seq]; ok {
		delete(t.relays, m.Seq)
		return []Envelope{t.message(r.to, Message{Kind: Ack, Seq: r.seq})}
	}
	p := t.probes[m.Seq]
	if p == nil {
		return nil
	}
	p.acked = true
	if p.target != from {
		return nil
	}
	t.recordReachable(from, now)
	return t.syncIfNeeded(from, m, now)
}

// syncIfNeeded asks for the members of another table if its digest differs although
// there are no rumors to push here that would explain the difference.
func (t *Table) syncIfNeeded(from ident.Instance, m Message, now time.Time) []Envelope {
	if m.Digest == t.digest || t.rumors.hasPushes() || now.Before(t.nextSync) {
		return nil
	}
	t.nextSync = now.Add(minSyncInterval)
	return []Envelope{t.message(from, Message{Kind: Sync})}
}

// syncPage returns the page of members that follow previous, including dead members.
func (t *Table) syncPage(to, previous ident.Instance) Envelope {
	ids := slices.Sorted(maps.Keys(t.entries))
	i, found := slices.BinarySearch(ids, previous)
	if found {
		i++
	}
	end := min(i+maxPageMembers, len(ids))
	m := Message{Kind: SyncPage, Sender: t.self}
	for _, id := range ids[i:end] {
		m.Members = append(m.Members, t.entries[id].Member)
	}
	if end < len(ids) {
		m.Target = ids[end-1]
		return Envelope{To: to, Message: m}
	}
	t.attachRumors(&m)
	return Envelope{To: to, Message: m}
}

// requestNextPage asks for the next page of a synchronization if there is one.
func (t *Table) requestNextPage(from ident.Instance, m Message) []Envelope {
	if m.Target == "" {
		return nil
	}
	return []Envelope{t.message(from, Message{Kind: Sync, Target: m.Target})}
}

// ApplyInstanceList applies a snapshot of the platform's instance list. The list may
// be out of date. It introduces new and leaving members, but does not override the
// states that the members themselves have reported.
func (t *Table) ApplyInstanceList(list []Member, now time.Time) {
	listed := make(map[ident.Instance]bool, len(list))
	for _, m := range list {
		listed[m.Instance] = true
		if m.Instance == t.self.Instance {
			continue
		}
		if old, known := t.entries[m.Instance]; known && m.State == Leaving {
			m.Incarnation = old.Incarnation
		}
		if t.apply(m, now) && m.State == Leaving {
			t.spreadRumor(rumor{member: m.Instance})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[id]
		d := t.domain(e.Domain)
		if !listed[id] && e.State != Dead && d.isCutOff() && now.Sub(d.cutOffSince) >= t.cfg.UnlistedRetention {
			t.declare(e.Member, Dead, now)
		}
	}
}

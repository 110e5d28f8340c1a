package membership

import (
	"maps"
	"slices"
	"time"

	"crocuslug/ident"
)

// pageMembers bounds the members in one page of a synchronization.
const pageMembers = 32

// syncInterval is the shortest time between two synchronizations of a table.
const syncInterval = 15 * time.Second

// Receive takes a message and returns what is to be sent in answer.
func (t *Table) Receive(m Message, now time.Time) []Send {
	from := m.Sender.Instance
	if from == "" || from == t.self.Instance {
		return nil
	}
	t.learn(m, now)
	out := t.answer(from, m, now)
	return append(out, t.pushDue(now)...)
}

// learn takes in the rumours of a message. Pages of a synchronization are old
// news and are not spread.
func (t *Table) learn(m Message, now time.Time) {
	page := m.Kind == SyncPage
	for _, u := range append([]Member{m.Sender}, m.Members...) {
		if t.apply(u, now) && !page {
			t.spread(rumor{member: u.Instance})
		}
	}
	for _, n := range m.Notices {
		if t.applyNotice(n, now) && !page {
			t.spread(rumor{notice: n.Key})
			t.doubt(n)
		}
	}
}

func (t *Table) answer(from ident.Instance, m Message, now time.Time) []Send {
	switch m.Kind {
	case Ping:
		return []Send{t.message(from, Message{Kind: Ack, Seq: m.Seq})}
	case PingRequest:
		return t.relay(from, m, now)
	case Ack:
		return t.acked(from, m, now)
	case Sync:
		return []Send{t.page(from, m.Target)}
	case SyncPage:
		return t.nextPage(from, m)
	default:
		return nil
	}
}

// relay pings a member on behalf of another.
func (t *Table) relay(from ident.Instance, m Message, now time.Time) []Send {
	if t.entries[m.Target] == nil {
		return nil
	}
	t.seq++
	t.relays[t.seq] = relay{to: from, seq: m.Seq, at: now}
	return []Send{t.message(m.Target, Message{Kind: Ping, Seq: t.seq})}
}

func (t *Table) acked(from ident.Instance, m Message, now time.Time) []Send {
	if r, ok := t.relays[m.Seq]; ok {
		delete(t.relays, m.Seq)
		return []Send{t.message(r.to, Message{Kind: Ack, Seq: r.seq})}
	}
	p := t.probes[m.Seq]
	if p == nil {
		return nil
	}
	p.acked = true
	if p.target != from {
		return nil
	}
	t.reached(from, now)
	return t.syncDue(from, m, now)
}

// syncDue asks for the members of another table if it differs without news.
func (t *Table) syncDue(from ident.Instance, m Message, now time.Time) []Send {
	if m.Digest == t.digest || t.rumors.hot() || now.Before(t.nextSync) {
		return nil
	}
	t.nextSync = now.Add(syncInterval)
	return []Send{t.message(from, Message{Kind: Sync})}
}

// page returns the members after a given one, the dead included.
func (t *Table) page(to, after ident.Instance) Send {
	ids := slices.Sorted(maps.Keys(t.entries))
	i, found := slices.BinarySearch(ids, after)
	if found {
		i++
	}
	end := min(i+pageMembers, len(ids))
	m := Message{Kind: SyncPage, Sender: t.self}
	for _, id := range ids[i:end] {
		m.Members = append(m.Members, t.entries[id].Member)
	}
	if end < len(ids) {
		m.Target = ids[end-1]
		return Send{To: to, Message: m}
	}
	t.attach(&m)
	return Send{To: to, Message: m}
}

func (t *Table) nextPage(from ident.Instance, m Message) []Send {
	if m.Target == "" {
		return nil
	}
	return []Send{t.message(from, Message{Kind: Sync, Target: m.Target})}
}

// Listing takes a snapshot of the platform's instance list. The list lags: it
// introduces members and departures, but does not overrule what the members
// themselves have shown.
func (t *Table) Listing(list []Member, now time.Time) {
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
			t.spread(rumor{member: m.Instance})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[id]
		d := t.domain(e.Domain)
		if !listed[id] && e.State != Dead && d.cut() && now.Sub(d.cutSince) >= t.cfg.UnlistedKeep {
			t.pronounce(e.Member, Dead, now)
		}
	}
}

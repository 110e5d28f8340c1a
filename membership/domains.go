package membership

import (
	"strings"
	"time"

	"crocuslug/ident"
)

// doubtPrefix starts the keys of notices that ask the members of a domain to
// probe another, because one of them found that it went out of reach or came
// back. Both domains follow in the key. Other domains do not pass them on.
const doubtPrefix = "Doubt/"

// doubtInterval is the shortest time between two such notices on a domain.
const doubtInterval = 5 * time.Second

// foreignTurn returns the next member to probe of the next other domain.
func (t *Table) foreignTurn() ident.Instance {
	if len(t.order) == 0 {
		return ""
	}
	d := t.order[0]
	t.order = append(t.order[1:], d)
	return t.domain(d).members.turn()
}

// probeDoubted probes one member of each domain that is in doubt.
func (t *Table) probeDoubted(now time.Time) []Send {
	var out []Send
	for _, id := range t.order {
		d := t.domain(id)
		if d.doubted > 0 {
			d.doubted--
			out = append(out, t.probe(d.members.turn(), now)...)
		}
	}
	return out
}

// missed takes in that a member of another domain did not answer.
func (t *Table) missed(id ident.Domain, now time.Time) {
	d := t.domain(id)
	d.failed++
	if d.cut() {
		return
	}
	if d.failed >= t.cfg.CutProbes {
		d.cutSince = now
		t.view = nil
		return
	}
	if d.failed == 1 {
		d.doubted = t.cfg.CutProbes
		return
	}
	t.raiseDoubt(id, now)
}

// reached takes in that a member has answered this instance directly.
func (t *Table) reached(id ident.Instance, now time.Time) {
	e := t.entries[id]
	if e == nil || e.Domain == t.self.Domain {
		return
	}
	d := t.domain(e.Domain)
	d.failed = 0
	d.doubted = 0
	if d.cut() {
		d.cutSince = time.Time{}
		t.view = nil
		t.raiseDoubt(e.Domain, now)
	}
}

// ownDoubts starts the keys of the doubts of the own domain.
func (t *Table) ownDoubts() string {
	return doubtPrefix + string(t.self.Domain) + "/"
}

// foreignDoubt reports whether n is a doubt of another domain.
func (t *Table) foreignDoubt(n Notice) bool {
	return strings.HasPrefix(n.Key, doubtPrefix) && !strings.HasPrefix(n.Key, t.ownDoubts())
}

func (t *Table) raiseDoubt(id ident.Domain, now time.Time) {
	key := t.ownDoubts() + string(id)
	if held, ok := t.notices[key]; ok && now.Sub(held.since) < doubtInterval {
		return
	}
	if t.applyNotice(Notice{Key: key, Version: uint64(now.UnixMilli())}, now) {
		t.spread(rumor{notice: key})
	}
}

// doubt follows a notice that asks to probe a domain.
func (t *Table) doubt(n Notice) {
	id, ok := strings.CutPrefix(n.Key, t.ownDoubts())
	if d := t.domains[ident.Domain(id)]; ok && d != nil && ident.Domain(id) != t.self.Domain {
		d.doubted = t.cfg.CutProbes
	}
}

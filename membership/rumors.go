package membership

import (
	"cmp"
	"slices"

	"crocuslug/ident"
)

// maxRumors bounds the rumours that are being spread at a time.
const maxRumors = 1024

// rumor is a piece of news that is being spread. Its content is looked up when
// it is sent, so that only the newest is passed on.
type rumor struct {
	member ident.Instance
	notice string
	sends  int
	pushes int // pushes left
}

// rumors holds what is being spread, by how often it has been sent.
type rumors struct {
	list []*rumor
}

// add starts the spread of r anew.
func (rs *rumors) add(r rumor) {
	rs.list = slices.DeleteFunc(rs.list, func(old *rumor) bool {
		return old.member == r.member && old.notice == r.notice
	})
	if len(rs.list) >= maxRumors {
		rs.list = rs.list[:maxRumors-1]
	}
	rs.list = append([]*rumor{&r}, rs.list...)
}

// hot reports whether there is something to push.
func (rs *rumors) hot() bool {
	return slices.ContainsFunc(rs.list, func(r *rumor) bool { return r.pushes > 0 })
}

// pushed ends a round of pushing.
func (rs *rumors) pushed() {
	for _, r := range rs.list {
		r.pushes = max(0, r.pushes-1)
	}
}

// attach adds the rumours that were sent least to m, up to a bound in bytes.
func (t *Table) attach(m *Message) {
	room := t.cfg.PiggybackBytes
	for _, r := range t.rumors.list {
		size := t.attachOne(m, r, room)
		if size == 0 {
			continue
		}
		room -= size
		r.sends++
	}
	t.rumors.list = slices.DeleteFunc(t.rumors.list, func(r *rumor) bool { return r.sends >= t.cfg.RumorSends })
	slices.SortStableFunc(t.rumors.list, func(a, b *rumor) int { return cmp.Compare(a.sends, b.sends) })
}

// attachOne adds one rumour and returns its size, or 0 if it does not fit.
func (t *Table) attachOne(m *Message, r *rumor, room int) int {
	if r.notice != "" {
		n, ok := t.notices[r.notice]
		if !ok || n.size() > room {
			return 0
		}
		m.Notices = append(m.Notices, n.Notice)
		return n.size()
	}
	e, ok := t.entries[r.member]
	if !ok || e.size() > room {
		return 0
	}
	m.Members = append(m.Members, e.Member)
	return e.size()
}

package membership

import (
	"cmp"
	"slices"

	"crocuslug/ident"
)

// maxRumors is the largest number of rumors that are spread at the same time.
const maxRumors = 1024

// rumor is an update about a member or a notice that is being spread. Its content
// is looked up when it is sent, so that only the newest version is passed on. Either
// member or notice is set.
type rumor struct {
	member          ident.Instance
	notice          string // key of the notice
	sends           int    // messages that have carried it
	remainingPushes int    // pushes still to be done
}

// rumors holds the rumors being spread, sorted by the number of sends.
type rumors struct {
	list []*rumor
}

// add starts to spread r, or restarts it if r is already being spread.
func (rs *rumors) add(r rumor) {
	rs.list = slices.DeleteFunc(rs.list, func(old *rumor) bool {
		return old.member == r.member && old.notice == r.notice
	})
	if len(rs.list) >= maxRumors {
		rs.list = rs.list[:maxRumors-1]
	}
	rs.list = append([]*rumor{&r}, rs.list...)
}

// hasPushes reports whether there are rumors to push.
func (rs *rumors) hasPushes() bool {
	return slices.ContainsFunc(rs.list, func(r *rumor) bool { return r.remainingPushes > 0 })
}

// finishPush counts a completed push of all rumors.
func (rs *rumors) finishPush() {
	for _, r := range rs.list {
		r.remainingPushes = max(0, r.remainingPushes-1)
	}
}

// attachRumors adds the rumors with the fewest sends to m, up to PiggybackBytes.
func (t *Table) attachRumors(m *Message) {
	budget := t.cfg.PiggybackBytes
	for _, r := range t.rumors.list {
		size := t.attachRumor(m, r, budget)
		if size == 0 {
			continue
		}
		budget -= size
		r.sends++
	}
	t.rumors.list = slices.DeleteFunc(t.rumors.list, func(r *rumor) bool { return r.sends >= t.cfg.RumorSends })
	slices.SortStableFunc(t.rumors.list, func(a, b *rumor) int { return cmp.Compare(a.sends, b.sends) })
}

// attachRumor adds one rumor to m and returns its size in bytes. It returns 0 if the
// rumor exceeds budget or its content is no longer known.
func (t *Table) attachRumor(m *Message, r *rumor, budget int) int {
	if r.notice != "" {
		n, ok := t.notices[r.notice]
		if !ok || n.size() > budget {
			return 0
		}
		m.Notices = append(m.Notices, n.Notice)
		return n.size()
	}
	e, ok := t.entries[r.member]
	if !ok || e.size() > budget {
		return 0
	}
	m.Members = append(m.Members, e.Member)
	return e.size()
}

package daemon

import (
	"strings"

	"crocuslug/ident"
	"crocuslug/membership"
)

// leavingKey begins the keys of the notices that upstreams are leaving.
const leavingKey = "leaving/"

// Values of the notices.
const (
	noticeLeaving = "Leaving"
	noticeServing = "Serving"
)

// SetLeaving tells all instances that an upstream takes no new work, or does
// again. What runs there goes on.
func (d *Daemon) SetLeaving(u ident.Upstream, leaving bool) {
	n := membership.Notice{Key: leavingKey + string(u), Version: uint64(d.opt.Timer.Now().UnixNano()), Value: noticeServing}
	if leaving {
		n.Value = noticeLeaving
	}
	d.members.Announce(n)
}

// readNotices passes on which upstreams are leaving. It runs on the control
// goroutine of members.
func (d *Daemon) readNotices(v *membership.View) {
	doc := d.doc.Load()
	for _, n := range v.Notices {
		name, ok := strings.CutPrefix(n.Key, leavingKey)
		if !ok {
			continue
		}
		u := ident.Upstream(name)
		leaving := n.Value == noticeLeaving || doc.upstreams[u].Leaving
		d.chooser.SetLeaving(u, leaving)
		d.plain.SetLeaving(u, leaving)
	}
}

// Waiting returns how many generations and calls to plain services wait for
// admission here and how many of the admitted ones run.
func (d *Daemon) Waiting() (waiting, running int) {
	w, r := d.line.queue.Len()
	sw, sr := d.services.queue.Len()
	return w + sw, r + sr
}

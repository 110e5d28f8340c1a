package daemon

import (
	"strings"
	"time"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/membership"
)

// leavingKey begins the keys of the notices that upstreams are leaving.
const leavingKey = "leaving/"

// Values of the notices.
const (
	noticeLeaving = "Leaving"
	noticeServing = "Serving"
	// noticeSignalled is of an upstream that refused new work because it leaves.
	noticeSignalled = "Signalled"
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

// signalLife is how long an upstream that signalled its leaving gets no new work.
// One that is back by then is found by a new request.
const signalLife = 30 * time.Second

// signalTick is the interval of looking for signals whose time is over.
const signalTick = time.Second

// signalled tells all instances that an upstream refused new work because it
// leaves. It runs on the loop.
func (d *Daemon) signalled(u ident.Upstream) {
	key := leavingKey + string(u)
	others := 0
	for _, n := range d.members.View().Notices {
		switch {
		case n.Value != noticeLeaving && !d.signalHolds(n):
		case n.Key == key:
			return
		case d.sameService(u, ident.Upstream(strings.TrimPrefix(n.Key, leavingKey))):
			others++
		}
	}
	if !d.maySignal(u, others) {
		return
	}
	d.chooser.SetLeaving(u, true)
	d.plain.SetLeaving(u, true)
	d.log.Info().Str("Upstream", string(u)).Msg("upstream signals that it leaves")
	d.members.Announce(membership.Notice{Key: key, Version: uint64(d.opt.Timer.Now().UnixNano()), Value: noticeSignalled})
}

func (d *Daemon) sameService(a, b ident.Upstream) bool {
	doc := d.doc.Load()
	return doc.upstreams[a].Service == doc.upstreams[b].Service
}

// maySignal reports whether one more upstream of a service is believed to leave.
// Plain services answer 503 when they are overloaded, too, so no more than half
// of one service's upstreams are.
func (d *Daemon) maySignal(u ident.Upstream, others int) bool {
	doc := d.doc.Load()
	service := doc.upstreams[u].Service
	if doc.kinds[service] != configuration.Plain {
		return true
	}
	all := 0
	for _, o := range doc.Upstreams {
		if o.Service == service {
			all++
		}
	}
	return 2*(others+1) <= all
}

// signalHolds reports whether n is a signal whose time is not over.
func (d *Daemon) signalHolds(n membership.Notice) bool {
	return n.Value == noticeSignalled && d.opt.Timer.Now().Sub(time.Unix(0, int64(n.Version))) < signalLife
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
		leaving := n.Value == noticeLeaving || doc.upstreams[u].Leaving || d.signalHolds(n)
		d.chooser.SetLeaving(u, leaving)
		d.plain.SetLeaving(u, leaving)
	}
}

// Waiting returns how many generations and calls to plain services wait for
// admission here and how many of the admitted ones run.
func (d *Daemon) Waiting() (waiting, running int) {
	w, r := d.line.Admission.Len()
	sw, sr := d.services.Admission.Len()
	return w + sw, r + sr
}

package daemon

import (
	"strings"
	"time"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/membership"
)

// leavingPrefix is the prefix of the keys of notices about leaving upstreams. The name of the
// upstream follows it.
const leavingPrefix = "leaving/"

// Values of notices about leaving upstreams.
const (
	noticeLeaving = "Leaving"
	noticeServing = "Serving"
	// noticeSignalled marks an upstream that refused new work because it is leaving.
	noticeSignalled = "Signalled"
)

// AnnounceUpstreamLeaving tells all instances whether an upstream is leaving. A leaving
// upstream gets no new work; work in progress there continues.
func (d *Daemon) AnnounceUpstreamLeaving(u ident.Upstream, leaving bool) {
	n := membership.Notice{Key: leavingPrefix + string(u), Version: uint64(d.opt.Timer.Now().UnixNano()), Value: noticeServing}
	if leaving {
		n.Value = noticeLeaving
	}
	d.members.Announce(n)
}

// signalLifetime is how long an upstream that signalled that it is leaving gets no new work.
// After that it gets requests again, which shows whether it has come back.
const signalLifetime = 30 * time.Second

// signalCheckInterval is how often expired signals are looked for.
const signalCheckInterval = time.Second

// announceSignal tells all instances that an upstream refused new work because it is leaving.
// It does nothing if they know already or mayBelieveSignal returns false. It runs on the
// control loop.
func (d *Daemon) announceSignal(u ident.Upstream) {
	key := leavingPrefix + string(u)
	leavingOthers := 0
	for _, n := range d.members.View().Notices {
		switch {
		case n.Value != noticeLeaving && !d.signalInForce(n):
		case n.Key == key:
			return
		case d.sameService(u, ident.Upstream(strings.TrimPrefix(n.Key, leavingPrefix))):
			leavingOthers++
		}
	}
	if !d.mayBelieveSignal(u, leavingOthers) {
		return
	}
	d.engineChooser.SetLeaving(u, true)
	d.serviceChooser.SetLeaving(u, true)
	d.log.Info().Str("Upstream", string(u)).Msg("upstream refused new work because it is leaving; it gets no new work for a while")
	d.members.Announce(membership.Notice{Key: key, Version: uint64(d.opt.Timer.Now().UnixNano()), Value: noticeSignalled})
}

func (d *Daemon) sameService(a, b ident.Upstream) bool {
	doc := d.doc.Load()
	return doc.upstreams[a].Service == doc.upstreams[b].Service
}

// mayBelieveSignal reports whether u may be treated as leaving when leavingOthers upstreams of
// its service already are. Plain services also answer with status 503 when they are overloaded,
// so at most half of a service's upstreams are treated as leaving.
func (d *Daemon) mayBelieveSignal(u ident.Upstream, leavingOthers int) bool {
	doc := d.doc.Load()
	service := doc.upstreams[u].Service
	if doc.kinds[service] != configuration.Plain {
		return true
	}
	upstreams := 0
	for _, o := range doc.Upstreams {
		if o.Service == service {
			upstreams++
		}
	}
	return 2*(leavingOthers+1) <= upstreams
}

// signalInForce reports whether n is a signal that has not expired.
func (d *Daemon) signalInForce(n membership.Notice) bool {
	return n.Value == noticeSignalled && d.opt.Timer.Now().Sub(time.Unix(0, int64(n.Version))) < signalLifetime
}

// applyLeavingNotices tells the choosers which upstreams are leaving. It is called when the
// membership or the configuration changes, and by the timer when signals may have expired.
func (d *Daemon) applyLeavingNotices(v *membership.View) {
	doc := d.doc.Load()
	for _, n := range v.Notices {
		name, ok := strings.CutPrefix(n.Key, leavingPrefix)
		if !ok {
			continue
		}
		u := ident.Upstream(name)
		leaving := n.Value == noticeLeaving || doc.upstreams[u].Leaving || d.signalInForce(n)
		d.engineChooser.SetLeaving(u, leaving)
		d.serviceChooser.SetLeaving(u, leaving)
	}
}

// AdmissionCounts returns how many generations and calls to plain services wait for admission
// here, and how many admitted ones are running.
func (d *Daemon) AdmissionCounts() (waiting, running int) {
	w, r := d.generationQueue.Admission.Len()
	sw, sr := d.serviceQueue.Admission.Len()
	return w + sw, r + sr
}

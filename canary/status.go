package canary

import (
	"slices"
	"time"

	"crocuslug/ident"
	"crocuslug/rendezvous"
)

// Constants of the writes of the status.
const (
	rankDelay    = 300 * time.Millisecond // between the instances that may write
	repeatDelay  = 500 * time.Millisecond // before a write without effect is repeated
	idleTime     = 500 * time.Millisecond // for which nothing is in progress on the former builds before Done
	forceBefore  = 1500 * time.Millisecond
	observedTime = 2 * time.Second // for which the new build has had all new work before Done, if the deadline allows
)

// writing is what this instance is about to write.
type writing struct {
	want  State
	since time.Time
	last  time.Time
	idle  time.Time // time since which nothing is in progress on the former builds; zero if something is
}

// due reports whether this instance writes a state now.
func (w *writing) due(want State, rank int, now time.Time) bool {
	if w.want != want {
		w.want, w.since, w.last = want, now, time.Time{}
	}
	if now.Sub(w.since) < time.Duration(rank)*rankDelay || !w.last.IsZero() && now.Sub(w.last) < repeatDelay {
		return false
	}
	w.last = now
	return true
}

// wanted returns the state that the status entry ought to have, or "" if it has it.
func (s *service) wanted(t *Tracker, inProgress int, now time.Time) State {
	d := s.delivery
	var current State
	if s.status.To == d.order.To && s.status.Version > d.order.Version {
		current = s.status.State
	}
	switch {
	case d.withdrawn || d.verdict == Done || current == Done || current == RolledBack:
		return ""
	case d.verdict == RolledBack:
		return RolledBack
	case d.mayFinish(t.inSync, inProgress, now):
		return Done
	case current != Running:
		return Running
	}
	return ""
}

// mayFinish reports whether the former upstreams may stop.
func (d *delivery) mayFinish(inSync bool, inProgress int, now time.Time) bool {
	if inProgress > 0 {
		d.writing.idle = time.Time{}
	} else if d.writing.idle.IsZero() {
		d.writing.idle = now
	}
	if !inSync || d.promoted.IsZero() {
		return false
	}
	if !now.Before(d.deadline().Add(-forceBefore)) {
		return true
	}
	return now.Sub(d.promoted) >= rampTime+observedTime && !d.writing.idle.IsZero() && now.Sub(d.writing.idle) >= idleTime
}

// Writes returns the status entries to be written now. The function formerInProgress returns the number of requests in
// progress at upstreams of other builds than the new one, of this instance and its peers.
func (t *Tracker) Writes(now time.Time, formerInProgress func(s ident.Service, to ident.Build) int) []Status {
	type target struct {
		service    ident.Service
		to         ident.Build
		inProgress int
	}
	// The function is called without the lock, since it may lead back to the Tracker.
	var targets []target
	t.mu.Lock()
	t.advance(now)
	for name, s := range t.services {
		if d := s.delivery; d != nil && !d.withdrawn && d.verdict != Done {
			targets = append(targets, target{service: name, to: d.order.To})
		}
	}
	t.mu.Unlock()
	for i, g := range targets {
		targets[i].inProgress = formerInProgress(g.service, g.to)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Status
	for _, g := range targets {
		s := t.services[g.service]
		if s.delivery == nil || s.delivery.order.To != g.to {
			continue
		}
		want := s.wanted(t, g.inProgress, now)
		if want == "" {
			s.delivery.writing.want = ""
			continue
		}
		if s.delivery.writing.due(want, t.rank(s.delivery), now) {
			out = append(out, Status{Service: g.service, To: g.to, State: want, Version: s.status.Version})
		}
	}
	return out
}

// rank returns the place of this instance among those that may write. t.mu must be held.
func (t *Tracker) rank(d *delivery) int {
	i := slices.Index(rendezvous.Order(d.key(), t.live), t.self.instance)
	if i < 0 {
		return len(t.live)
	}
	return i
}

package canary

import (
	"cmp"
	"slices"
	"time"
)

// advance brings the phases up to date. t.mu must be held.
func (t *Tracker) advance(now time.Time) {
	if now.After(t.now) {
		t.now = now
	}
	switch {
	case t.inSync && t.syncSince.IsZero():
		t.syncSince = now
	case !t.inSync && t.lostSince.IsZero():
		t.lostSince = now
	}
	lost := !t.inSync && now.Sub(t.lostSince) >= time.Duration(lostPart*float64(t.cfg.RollbackWithin))
	for _, s := range t.services {
		if h := s.heard; h != nil && h.verdict == "" && now.Sub(s.heardAt) > heardTime {
			s.heard = nil
		}
		d := s.delivery
		if d == nil || !d.active() {
			continue
		}
		switch {
		case d.judge(now):
			s.rollBack(d, now)
		case lost:
			d.promoted = time.Time{}
		case d.promoted.IsZero() && t.inSync && d.mayPromote(now):
			d.promote(now)
		}
	}
}

// rollBack records that the build of a delivery is bad.
func (s *service) rollBack(d *delivery, now time.Time) {
	d.end(RolledBack, now)
	s.refused[d.order.To] = max(s.refused[d.order.To], d.order.Version)
}

// deliveryOf returns the delivery of which another instance tells, or nil if it is over or unknown. A newer order than
// the one read here keeps new work from its build until it is read. t.mu must be held.
func (t *Tracker) deliveryOf(e Evidence, now time.Time) *delivery {
	s, ok := t.services[e.Service]
	if !ok {
		if len(t.services) >= maxHeard {
			return nil
		}
		s = t.service(e.Service)
	}
	if d := s.delivery; d != nil && e.Version <= d.order.Version {
		if d.is(e.To, e.Version) {
			return d
		}
		return nil
	}
	if s.status.To == e.To && s.status.Version > e.Version && (s.status.State == Done || s.status.State == RolledBack) {
		return nil
	}
	if s.heard == nil || s.heard.order.Version < e.Version {
		s.heard = newDelivery(Order{Service: e.Service, To: e.To, Version: e.Version}, t.self, now)
	}
	if !s.heard.is(e.To, e.Version) {
		return nil
	}
	s.heardAt = now
	return s.heard
}

// mergeInto adds what another instance has told of a delivery. t.mu must be held.
func (t *Tracker) mergeInto(d *delivery, e Evidence, now time.Time) {
	if d.verdict != "" {
		return
	}
	if e.RolledBack {
		t.services[e.Service].rollBack(d, now)
		return
	}
	if d.withdrawn {
		return
	}
	d.older(e.Age.Std(), now)
	d.merge(e.Instances, t.self, now)
}

// Views returns the deliveries in progress and those that have ended.
func (t *Tracker) Views(now time.Time) []View {
	if t.off() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	var out []View
	for name, s := range t.services {
		d := s.delivery
		if d == nil {
			continue
		}
		all := d.known.all
		out = append(out, View{
			Service: name, To: d.order.To, Phase: string(d.phase()), Share: d.share(t.cfg, now),
			New: int(all.New[answers]), Former: int(all.Former[answers]), Bad: int(all.New.bad()),
		})
	}
	slices.SortFunc(out, func(a, b View) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

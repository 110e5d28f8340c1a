package fleet

import (
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/store"
)

// A failure domain counts as failed when several of its upstreams are found dead within
// a short time. A single dead upstream may have crashed on its own.
const (
	domainFailureCount  = 2                       // upstreams
	domainFailureWindow = 1500 * time.Millisecond // within which they are found dead; also how long the domain counts as failed
)

// recordDeath records that u is dead. If enough upstreams of its failure domain died
// recently, the chooser avoids the other upstreams there. f.mu must be held.
func (f *Fleet) recordDeath(u directory.Upstream, now time.Time) {
	f.lostAt[u.ID] = now
	n := 0
	for id, at := range f.lostAt {
		switch {
		case now.Sub(at) > domainFailureWindow:
			delete(f.lostAt, id)
		case f.upstreams[id].Domain == u.Domain && f.upstreams[id].Service == u.Service:
			n++
		}
	}
	if n < domainFailureCount || now.Sub(f.domainFailedAt[u.Domain]) < domainFailureWindow/2 {
		return
	}
	f.domainFailedAt[u.Domain] = now
	f.log.Warn().Str("Hit", string(u.Domain)).Int("Dead", n).Msg("failure domain hit; its upstreams are avoided")
	g := f.services[u.Service]
	for _, v := range g.list {
		if v.Domain == u.Domain {
			g.chooser.Suspect(v.ID, now)
		}
	}
}

// DomainFailed reports whether a failure domain has lost several upstreams at once
// within domainFailureWindow.
func (f *Fleet) DomainFailed(domain ident.Domain, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.domainFailedAt[domain]
	return ok && now.Sub(at) <= domainFailureWindow
}

// FailedDomains returns the number of failure domains that have lost several upstreams at
// once within domainFailureWindow, as seen by this instance.
func (f *Fleet) FailedDomains(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, at := range f.domainFailedAt {
		if now.Sub(at) <= domainFailureWindow {
			n++
		}
	}
	return n
}

// FoundDead returns the upstreams that this instance found dead within
// domainFailureWindow.
func (f *Fleet) FoundDead(now time.Time) []ident.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []ident.Upstream
	for id, at := range f.foundDead {
		if now.Sub(at) > domainFailureWindow {
			delete(f.foundDead, id)
			continue
		}
		out = append(out, id)
	}
	return out
}

// ReportPeerLoss records an upstream that another instance has found dead. It is avoided
// here as well but stays in rotation until it fails here, because the fault may lie in
// the connection between the other instance and the upstream.
func (f *Fleet) ReportPeerLoss(id ident.Upstream, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok := f.upstreams[id]
	if !ok {
		return
	}
	if at, ok := f.lostAt[id]; ok && now.Sub(at) <= domainFailureWindow {
		return
	}
	f.services[u.Service].chooser.Suspect(id, now)
	f.recordDeath(u, now)
}

// Times for which FoundReplaced returns an upstream. An instance tells a few others at a time, so that
// those who were told tell it too for a while: the time until all know grows with the logarithm of
// their number.
const (
	replacedReportTime = 3 * time.Second // found here
	replacedRelayTime  = time.Second     // learned from another instance
)

// FoundReplaced returns the upstreams that were recently found replaced, here or by another instance,
// with the revisions of their entries.
func (f *Fleet) FoundReplaced(now time.Time) map[ident.Upstream]store.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out map[ident.Upstream]store.Version
	for id, at := range f.foundReplaced {
		revision, ok := f.replaced[id]
		if !ok || now.Sub(at) > replacedReportTime {
			delete(f.foundReplaced, id)
			continue
		}
		if out == nil {
			out = make(map[ident.Upstream]store.Version)
		}
		out[id] = revision
	}
	return out
}

// ReportPeerReplaced records that another instance has found an upstream replaced, whose entry had
// a revision. It gets no more requests here either, since each of them would be refused.
func (f *Fleet) ReportPeerReplaced(id ident.Upstream, revision store.Version, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok := f.upstreams[id]
	if _, known := f.replaced[id]; !ok || known || u.Revision > revision {
		return
	}
	f.replaced[id] = u.Revision
	f.foundReplaced[id] = now.Add(replacedRelayTime - replacedReportTime)
	f.services[u.Service].updateCandidates(f)
}

// ReportReplaced records that this instance has found an upstream replaced whose entry has a revision,
// other than by a request.
func (f *Fleet) ReportReplaced(id ident.Upstream, revision store.Version, now time.Time) {
	f.ReportPeerReplaced(id, revision, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.replaced[id]; ok {
		f.foundReplaced[id] = now
	}
}

// Forgive forgets what this instance has found out about the upstreams of a failure domain while it was
// cut off from them.
func (f *Fleet) Forgive(domain ident.Domain, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.services {
		var names, others []ident.Upstream
		for _, u := range g.list {
			names = append(names, u.ID)
			if u.Domain != domain {
				others = append(others, u.ID)
				continue
			}
			delete(g.trials, u.ID)
			delete(g.backingOff, u.ID)
			delete(f.foundDead, u.ID)
			delete(f.lostAt, u.ID)
			g.chooser.SetOut(u.ID, false)
		}
		f.applyHealth(g, g.tracker.SetUpstreams(others, now), now) // the state of the rest is reset
		f.applyHealth(g, g.tracker.SetUpstreams(names, now), now)
	}
	delete(f.domainFailedAt, domain)
}

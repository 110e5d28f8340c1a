package edge

import (
	"context"
	"net/http"
	"time"

	"crocuslug/directory"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/unit"
)

// While the store is unreachable, no entry tells under which id a crashed upstream has started
// again. The platform gives the address of an upstream to no other service for
// settings.Edge.ReuseAfter after its end, so within that time whichever upstream answers at the
// address belongs to the same service.
//
// Later probes cannot tell which upstream that is, but an answer under another id still proves that the
// former one is gone. Without it each instance would learn that by requests that are turned away, all
// at once when a failure domain is lost and its streams need the other upstreams.
var restartProbeShares = []float64{0.62, 0.68, 1.1, 2.2} // of ReuseAfter, counted from the last contact with the upstream

const (
	restartProbeTimeout = 150 * time.Millisecond
	// reuseMargin is the longest transit of data on a stream that is not given up as silent. An
	// answer must arrive this long before the end of ReuseAfter.
	reuseMargin       = 600 * time.Millisecond
	restartReportTime = 3 * time.Second // time for which digests report a restart that was found here
	restartRelayTime  = time.Second     // and one that was learned from another instance
)

// restart says that an upstream has started again under a new id.
type restart struct {
	Former, New ident.Upstream
	Age         *unit.Duration `json:",omitempty"` // since a probe found it; instances of earlier builds do not send it

	found time.Time // by a probe; zero if that is not known
	until time.Time // end of its report in digests
}

// foundAt returns when a probe found a restart of which a peer tells now, or zero if the peer does not say so.
func (r restart) foundAt(now time.Time) time.Time {
	if r.Age == nil {
		return time.Time{}
	}
	return now.Add(-r.Age.Std())
}

// scheduleRestartProbes schedules probes of the address of a lost upstream, to find the id under
// which it has started again. lastContact is the uptime of the last contact with it; 0 means that
// there was none.
func (e *Edge) scheduleRestartProbes(u directory.Upstream, k fleet.Outcome, lastContact time.Duration) {
	if e.cfg.ReuseAfter <= 0 || lastContact == 0 {
		return
	}
	up, reuse := e.timer.Uptime(), e.cfg.ReuseAfter.Std()
	if k == fleet.Replaced {
		// The new process already answers at the address.
		e.tasks.Go(func() { e.probeRestart(u, lastContact) })
		return
	}
	for _, share := range restartProbeShares {
		at := lastContact + time.Duration(share*float64(reuse))
		if at <= up {
			continue
		}
		e.timer.After(at-up, func(time.Time) {
			e.tasks.Go(func() { e.probeRestart(u, lastContact) })
		})
	}
}

// probeRestart asks the address of a lost upstream which upstream answers there, and registers it
// under its new id. If the answer comes too long after lastContact, the uptime of the last contact, another
// service may have the address, and the former upstream is only recorded as replaced. It does nothing if the
// store has named a newer upstream at that address, or if the upstream has asked for a rest.
func (e *Edge) probeRestart(u directory.Upstream, lastContact time.Duration) {
	if e.registry.ByAddress(u.Address).ID != u.ID || !e.rests.TakeProbe(u.ID, e.timer.Now()) {
		return
	}
	path := e.ports.UpstreamPorts.ProbePath
	if d := e.current.Load(); d != nil {
		if s := d.Service(u.Service); s != nil && s.HealthPath != "" {
			path = s.HealthPath
		}
	}
	ctx, cancel := context.WithTimeout(e.ctx, restartProbeTimeout)
	defer cancel()
	const maxBody = 64 << 10 // bytes
	ans, err := e.exchange.Do(ctx, u.Address, &exchange.Request{Method: http.MethodGet, Target: path, Host: u.Address, Header: http.Header{}, MaxBody: maxBody, Fresh: true})
	if err != nil {
		return // it has not started again yet
	}
	defer ans.Close()
	id := e.ports.UpstreamPorts.UpstreamID(ans.Header)
	if _, err := ans.ReadBody(); err != nil || id == "" || id == u.ID || ans.Status != http.StatusOK {
		return
	}
	now := e.timer.Now()
	since := e.timer.Uptime() - lastContact
	if since >= e.cfg.ReuseAfter.Std()-reuseMargin {
		e.fleet.ReportReplaced(u.ID, u.Revision, now)
		e.log.Info().Str("Upstream", string(u.ID)).Str("Address", u.Address).Str("Now", string(id)).Dur("SinceContactMs", since).Msg("probe found an upstream replaced")
		return
	}
	if !e.registry.RecordRestart(u.ID, id, now, now) {
		return
	}
	e.mu.Lock()
	e.restarts = append(e.restarts, restart{Former: u.ID, New: id, found: now, until: now.Add(restartReportTime)})
	e.mu.Unlock()
	e.log.Info().Str("Upstream", string(id)).Str("Former", string(u.ID)).Str("Address", u.Address).Dur("SinceContactMs", since).Msg("probe found a restarted upstream while the store does not list it")
	e.publish(now)
}

// recentRestarts returns the restarts to report in digests and drops older ones. The caller holds
// e.mu.
func (e *Edge) recentRestarts(now time.Time) []restart {
	n := 0
	for _, r := range e.restarts {
		if now.Before(r.until) {
			e.restarts[n] = r
			n++
		}
	}
	e.restarts = e.restarts[:n]
	out := append([]restart(nil), e.restarts...)
	for i, r := range out {
		if !r.found.IsZero() {
			age := unit.Duration(now.Sub(r.found))
			out[i].Age = &age
		}
	}
	return out
}

// applyRestarts registers the restarts that a peer reports.
func (e *Edge) applyRestarts(list []restart, from ident.Instance, now time.Time) {
	changed := false
	for _, r := range list {
		found := r.foundAt(now)
		if e.registry.RecordRestart(r.Former, r.New, found, now) {
			changed = true
			e.mu.Lock()
			e.restarts = append(e.restarts, restart{Former: r.Former, New: r.New, found: found, until: now.Add(restartRelayTime)})
			e.mu.Unlock()
			e.log.Info().Str("Upstream", string(r.New)).Str("Former", string(r.Former)).Str("Peer", string(from)).Bool("AgeKnown", r.Age != nil).Msg("peer reported a restarted upstream")
		}
	}
	if changed {
		e.publish(now)
	}
}

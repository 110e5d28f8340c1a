package edge

import (
	"context"
	"net/http"
	"time"

	"crocuslug/directory"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/ident"
)

// While the store is away nobody tells under which id a crashed upstream has
// started again. For a while after its end its address goes to no other service,
// so whoever answers there within that time is the same service again.
const (
	firstLook   = 0.62 // of that time, from the last word of the upstream
	secondLook  = 0.68
	lookLimit   = 150 * time.Millisecond
	reuseMargin = 600 * time.Millisecond // longest way of a word whose stream was not given up as silent; an answer must come so much before the end of that time
	toldFor     = 3 * time.Second        // for which digests tell of a restart
)

// restart is an upstream that was found under a new id.
type restart struct {
	Former, New ident.Upstream
	until       time.Time // for which it is told
}

// lost plans to look for an upstream that was lost, at the address where it was.
func (e *Edge) lost(u directory.Upstream, k fleet.Outcome, heard time.Duration) {
	if e.cfg.ReuseAfter <= 0 || heard == 0 {
		return
	}
	up, reuse := e.timer.Uptime(), e.cfg.ReuseAfter.Std()
	if k == fleet.Replaced {
		e.tasks.Go(func() { e.look(u, heard+reuse-reuseMargin) }) // whoever it is, it is there now
		return
	}
	for _, share := range []float64{firstLook, secondLook} {
		at := heard + time.Duration(share*float64(reuse))
		if at <= up {
			continue
		}
		e.timer.After(at-up, func(time.Time) {
			e.tasks.Go(func() { e.look(u, heard+reuse-reuseMargin) })
		})
	}
}

// look asks who is at the address of a lost upstream, unless the store has told.
func (e *Edge) look(u directory.Upstream, until time.Duration) {
	if e.registry.ByAddress(u.Address).ID != u.ID {
		return
	}
	path := e.ports.Upstream.ProbePath
	if d := e.current.Load(); d != nil {
		if s := d.Service(u.Service); s != nil && s.HealthPath != "" {
			path = s.HealthPath
		}
	}
	ctx, cancel := context.WithTimeout(e.ctx, lookLimit)
	defer cancel()
	ans, err := e.exchange.Do(ctx, u.Address, &exchange.Request{Method: http.MethodGet, Target: path, Host: u.Address, Header: http.Header{}, Fresh: true})
	if err != nil {
		return // it is not back yet
	}
	defer ans.Close()
	id := e.ports.Identity(ans.Header)
	if _, err := ans.Whole(); err != nil || id == "" || id == u.ID || ans.Status != http.StatusOK {
		return
	}
	if e.timer.Uptime() >= until || !e.registry.RecordRestart(u.ID, id) {
		return
	}
	now := e.timer.Now()
	e.mu.Lock()
	e.restarts = append(e.restarts, restart{u.ID, id, now.Add(toldFor)})
	e.mu.Unlock()
	e.log.Info().Str("Upstream", string(id)).Str("Former", string(u.ID)).Str("Address", u.Address).Msg("upstream found again without the store")
	e.publish(now)
}

// told returns the restarts that digests tell of. The lock is held.
func (e *Edge) told(now time.Time) []restart {
	n := 0
	for _, r := range e.restarts {
		if now.Before(r.until) {
			e.restarts[n] = r
			n++
		}
	}
	e.restarts = e.restarts[:n]
	return append([]restart(nil), e.restarts...)
}

// takeRestarts takes in what a peer found.
func (e *Edge) takeRestarts(list []restart, from ident.Instance, now time.Time) {
	changed := false
	for _, r := range list {
		if e.registry.RecordRestart(r.Former, r.New) {
			changed = true
			e.log.Info().Str("Upstream", string(r.New)).Str("Former", string(r.Former)).Str("Peer", string(from)).Msg("upstream found again by a peer")
		}
	}
	if changed {
		e.publish(now)
	}
}

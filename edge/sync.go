package edge

import (
	"context"
	"time"

	"crocuslug/ident"
)

// knowsBuilds reports whether this instance would know of a second build of a service: a live peer or
// the store would have told it.
func (e *Edge) knowsBuilds(now time.Time) bool {
	fresh := !e.view.Unavailable(e.timer.Uptime()) && e.builds.Settled(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.peers) == 0 {
		return true
	}
	for _, p := range e.peers {
		if e.peerAlive(p, now) {
			return true
		}
	}
	return fresh
}

// syncWindow is the time within which an instance hears of a second build that others use, by digests.
const syncWindow = time.Second

// pauseLimit is the time without a tick from which the process counts as paused.
const pauseLimit = 500 * time.Millisecond

// inSync reports whether this instance knows of builds what the others know: its knowledge of the store is
// current, or it hears at least half of the digests that it expects. After a pause of the process neither is
// known: digests and answers of the store have waited meanwhile.
func (e *Edge) inSync(now time.Time) bool {
	up := e.timer.Uptime()
	age := e.view.Age(up)
	current := age > 0 && age <= maxAge(e.cfg.Drain.Std()) && e.builds.Settled(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.peers) == 0 {
		return true
	}
	if up-e.lastTick > pauseLimit && e.lastTick > 0 || up-e.resumed < syncWindow && e.resumed > 0 {
		return false
	}
	if current {
		return true
	}
	return e.inTouch(now)
}

// inTouch reports whether this instance hears at least half of the digests that it expects. The caller holds
// e.mu.
func (e *Edge) inTouch(now time.Time) bool {
	const rounds = int(syncWindow / digestInterval)
	near, far, heard := 0, 0, 0
	for _, p := range e.peers {
		if p.domain == e.cfg.Domain {
			near++
		} else {
			far++
		}
		if !p.lastDigest.IsZero() && now.Sub(p.lastDigest) <= syncWindow {
			heard++
		}
	}
	farHeard := min(far, rounds*farDigests)
	if far > maxSingleTurnPeers {
		farHeard = farDigests
	}
	return 2*heard >= min(near, rounds*nearDigests)+farHeard
}

// recordTick records that this process runs.
func (e *Edge) recordTick() {
	up := e.timer.Uptime()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastTick > 0 && up-e.lastTick > pauseLimit {
		e.resumed = up
	}
	e.lastTick = up
}

// waitForBuilds returns once this instance would know of a second build of a service or knows of one,
// but no later than it has settled. After all instances have started again at once, their callers take
// their streams up before any instance has heard another one, and most callers try again only once.
func (e *Edge) waitForBuilds(ctx context.Context, service ident.Service) {
	began := e.timer.Now()
	now := began
	for ctx.Err() == nil && e.ctx.Err() == nil && !e.builds.Several(service, now) && !e.knowsBuilds(now) && !e.builds.Settled(now) {
		e.sleep(buildsCheckInterval)
		now = e.timer.Now()
	}
	if now.After(began) {
		e.meters.Observe("BuildsAwaitedUs", now.Sub(began))
	}
}

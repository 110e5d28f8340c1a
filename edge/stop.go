package edge

import (
	"context"
	"time"

	"crocuslug/directory"
	"crocuslug/dispatch"
	"crocuslug/work"
)

// Times of a planned shutdown.
const (
	closeDelay = 2600 * time.Millisecond // the load balancer checks every second and needs two failed checks
	killMargin = 400 * time.Millisecond  // part of the grace period that is kept for Stop
	endMargin  = 150 * time.Millisecond  // part of killMargin in which the requests in progress are refused
)

// streamStartShare is the part of the grace period after which a leaving instance starts no more
// streams. A stream takes most of the rest.
const streamStartShare = 0.12

// tooLate reports whether the shutdown of the instance may cut a request that was read at the time now. A
// stream takes most of the grace period. Other requests come late only on connections that are kept open
// because their callers were still sending; until the listener is closed, they have as long as the callers
// of all instances that leave.
func (e *Edge) tooLate(w *work.Work, now time.Time) bool {
	if !e.leaving.Load() {
		return false
	}
	began, grace := time.Unix(0, e.leaveBegan.Load()), e.cfg.Grace.Std()
	if w.Route.Kind == directory.Streaming {
		return now.Sub(began) > time.Duration(streamStartShare*float64(grace))
	}
	return now.Sub(began) >= e.closeAfter() && w.Deadline.After(began.Add(grace-killMargin))
}

// closeAfter returns the time after the begin of a planned shutdown when connections are accepted no more.
func (e *Edge) closeAfter() time.Duration { return min(closeDelay, e.cfg.Grace.Std()/2) }

// Leave shuts the instance down in a planned way: it stops accepting connections after a delay, in
// which the load balancer notices, and waits for the requests in progress to end, up to the grace
// period.
func (e *Edge) Leave() {
	began := e.timer.Now()
	e.leaveBegan.Store(began.UnixNano())
	e.leaving.Store(true)
	e.server.Leave()
	e.log.Info().Int("Connections", e.server.Connections().Open).Msg("leaving")
	e.tasks.Go(e.handOverOrigins)
	e.sleep(e.closeAfter())
	e.server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e.timer.After(e.cfg.Grace.Std()-killMargin-e.timer.Now().Sub(began), func(time.Time) { cancel() })
	if err := e.server.Wait(ctx); err != nil {
		e.log.Warn().Int("Connections", e.server.Connections().Open).Msg("grace period is over; refusing the requests in progress")
		e.endRequests()
	}
	e.log.Info().Dur("TookMs", e.timer.Now().Sub(began)).Msg("left")
}

// endRequests refuses the requests in progress. Streams that have begun are cut.
func (e *Edge) endRequests() {
	e.server.EndRequests(dispatch.ErrLeaving)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e.timer.After(endMargin, func(time.Time) { cancel() })
	if err := e.server.Wait(ctx); err != nil {
		e.log.Warn().Int("Connections", e.server.Connections().Open).Msg("closing the connections that are still open")
	}
}

// Stop ends the instance at once.
func (e *Edge) Stop() {
	for _, s := range e.subs {
		s.Stop()
	}
	e.cancel()
	e.tasks.Close()
	e.server.Close()
	if err := e.admin.Shutdown(); err != nil {
		e.log.Warn().Err(err).Msg("could not shut down the server for readiness and metrics")
	}
	e.meters.Stop()
	e.client.Close()
	e.link.Stop()
	e.relays.Stop()
	e.exchange.Close()
	e.tasks.Wait()
	e.log.Info().Msg("stopped")
}

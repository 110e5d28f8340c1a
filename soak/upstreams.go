package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"syscall"
	"time"

	"crocuslug/ident"
)

// Bounds of the users' platform for upstreams that name a limit and for requests that crash upstreams.
const (
	settleTime     = 3 * time.Second // from the first limit, or from the third crash, until the bound holds
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5 // times what the limit allows in limitWindow
	limitSlack     = 5   // requests
	crashesKnown   = 3
	maxCrashesMore = 3
	restStart      = 500 * time.Millisecond // from an answer that asks for a rest until the bound holds
	maxInRest      = 2
	drainTime      = 2 * time.Second
	toldTime       = 1500 * time.Millisecond // until all instances know what one was told, with some to spare
)

// Lengths of these faults.
const (
	limitTime     = 9 * time.Second
	restsTime     = 9 * time.Second
	maxRest       = 4 * time.Second
	leavingTime   = 6 * time.Second
	crashTime     = 8 * time.Second
	crashPoll     = 10 * time.Millisecond  // between two looks whether an upstream has crashed
	crashDown     = time.Second            // until it starts again
	crashInterval = 250 * time.Millisecond // between two requests that crash upstreams
	crashBody     = "crash "               // begin of their ids and bodies
)

// nameLimits lets an upstream of each service name a limit for a while. It checks that the upstream
// does not get more, unless an unplanned fault goes on or went on shortly before.
func (s *Soak) nameLimits(ctx context.Context, r *rand.Rand) {
	began := s.currentFaultState()
	limits := make(map[string]float64)
	for _, service := range []ident.Service{engineService, plainService} {
		running := s.cluster.recorder.running(service, s.clock.Now().Add(-time.Second))
		if len(running) == 0 {
			continue
		}
		limit := fmt.Sprintf("%.1f", 0.5+3*r.Float64())
		u := running[r.IntN(len(running))]
		limits[u], _ = strconv.ParseFloat(limit, 64) // as formatted above
		s.cluster.recorder.setStatement(u, statement{limit: limit})
	}
	named := s.clock.Now()
	s.clock.pause(ctx, limitTime)
	for u, limit := range limits {
		most := s.cluster.recorder.most(u, named.Add(settleTime), limitWindow)
		s.cluster.recorder.setStatement(u, statement{})
		allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack
		s.mu.Lock()
		if s.undisturbed(began) {
			s.countCheck("limit kept to")
			if float64(most) > allowed {
				s.reportViolationLocked("%s: named a limit of %v a second and got %d requests in %v, want at most %.0f", u, limit, most, limitWindow, allowed)
			}
		}
		s.mu.Unlock()
	}
}

// askForRests lets an upstream of each service turn all requests away and ask for a rest, for a while. It
// checks that the instances keep the rests, unless an unplanned fault goes on or went on shortly before.
func (s *Soak) askForRests(ctx context.Context, r *rand.Rand) {
	began := s.currentFaultState()
	rest := time.Second + time.Duration(r.IntN(int(maxRest-time.Second)))
	asked := s.runningOfEach(r)
	for _, u := range asked {
		s.cluster.recorder.setStatement(u, statement{rest: strconv.FormatFloat(rest.Seconds(), 'f', 3, 64)})
	}
	s.clock.pause(ctx, restsTime)
	for _, u := range asked {
		most := s.cluster.recorder.mostTurnedAway(u, restStart, rest)
		s.cluster.recorder.setStatement(u, statement{})
		s.mu.Lock()
		if s.undisturbed(began) {
			s.countCheck("rest kept")
			// Each instance learns of the rest by a request of its own, and may send two more.
			if allowed := len(s.cluster.instances) * (1 + maxInRest); most > allowed {
				s.reportViolationLocked("%s: asked for rests of %v and got %d requests in one of them, want at most %d", u, rest, most, allowed)
			}
		}
		s.mu.Unlock()
	}
}

// sayLeaving lets an upstream of each service say in its answers that it is leaving, while its entry in the
// store does not say so. It checks that it soon gets no more requests, unless an unplanned fault goes on or
// went on shortly before, and stops it and starts it again.
func (s *Soak) sayLeaving(ctx context.Context, r *rand.Rand) {
	began := s.currentFaultState()
	leaving := s.runningOfEach(r)
	for _, u := range leaving {
		s.cluster.recorder.setStatement(u, statement{leaving: "1"})
	}
	set := s.clock.Now()
	s.clock.pause(ctx, leavingTime)
	var restarts sync.WaitGroup
	for _, u := range leaving {
		n := s.cluster.recorder.afterSaid(u, set, drainTime+toldTime)
		s.mu.Lock()
		if s.undisturbed(began) {
			s.countCheck("leaving upstream left alone")
			if n > 0 {
				s.reportViolationLocked("%s: said in its answers that it is leaving and ran %d requests later than %v after that, want none", u, n, drainTime+toldTime)
			}
		}
		s.mu.Unlock()
		address := s.cluster.recorder.addressOf(u)
		for _, p := range s.cluster.upstreams {
			if p.proxy.addr() == address {
				restarts.Go(func() {
					s.restart(ctx, p.process, syscall.SIGTERM, randomDuration(r, 100*time.Millisecond, time.Second))
				})
			}
		}
	}
	restarts.Wait()
}

// runningOfEach returns an upstream of each service that has run a request in the last second.
func (s *Soak) runningOfEach(r *rand.Rand) []string {
	var out []string
	for _, service := range []ident.Service{engineService, plainService} {
		if running := s.cluster.recorder.running(service, s.clock.Now().Add(-time.Second)); len(running) > 0 {
			out = append(out, running[r.IntN(len(running))])
		}
	}
	return out
}

// crashUpstreams sends a request that crashes each plain service that runs it, again and again. It
// starts them again, and checks that they soon do not get it any more.
func (s *Soak) crashUpstreams(ctx context.Context, r *rand.Rand) {
	id := fmt.Sprintf("%s%d", crashBody, r.Uint32())
	end := s.clock.Now().Add(crashTime)
	var running sync.WaitGroup
	for _, u := range s.cluster.upstreams {
		running.Go(func() { s.startAgain(ctx, u, end) })
	}
	var third time.Time
	known := 0
	for s.clock.Now().Before(end) && ctx.Err() == nil {
		in := s.randomInstance(r)
		running.Go(func() { s.requestOnceWith(in.listen, id, "/safe/x", id) })
		s.clock.pause(ctx, crashInterval)
		if n := s.cluster.recorder.count(id); third.IsZero() && n >= crashesKnown {
			third = s.clock.Now()
		} else if known == 0 && !third.IsZero() && s.clock.since(third) > settleTime {
			known = n
		}
	}
	running.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.cluster.recorder.count(id); known > 0 && s.activeCount == 1 {
		s.countCheck("crashing content refused")
		if n > known+maxCrashesMore {
			s.reportViolationLocked("%q: ran %d times later than %v after it had crashed %d upstreams, want at most %d", id, n-known, settleTime, crashesKnown, maxCrashesMore)
		}
	}
}

// startAgain starts an upstream again whenever it has exited by itself, until a time. Connections to
// it are refused meanwhile.
func (s *Soak) startAgain(ctx context.Context, u *upstream, until time.Time) {
	for over := false; !over; {
		s.clock.pause(ctx, crashPoll)
		over = !s.clock.Now().Before(until) || ctx.Err() != nil
		if u.running() || u.isLeaving() {
			continue
		}
		if err := u.proxy.setDown(true); err != nil {
			s.reportViolation("%s: closing its listener: %v", u.name, err)
		}
		s.clock.pause(ctx, crashDown)
		_ = u.start() // a failure shows as an upstream that does not return
		if err := u.proxy.setDown(false); err != nil {
			s.reportViolation("%s: opening its listener again: %v", u.name, err)
		}
	}
}

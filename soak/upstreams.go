package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds of the users' platform for requests that crash upstreams.
const (
	settleTime     = 3 * time.Second // from the third crash until the bound holds
	crashesKnown   = 3
	maxCrashesMore = 3
)

// Times of this fault.
const (
	crashTime     = 8 * time.Second
	crashPoll     = 10 * time.Millisecond  // between two looks whether an upstream has crashed
	crashDown     = time.Second            // until it starts again
	crashInterval = 250 * time.Millisecond // between two requests that crash upstreams
	crashBody     = "crash "               // begin of their ids and bodies
)

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

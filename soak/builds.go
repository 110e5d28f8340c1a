package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"crocuslug/ident"
)

// firstBuild is the build of all engines at the start of a run.
const firstBuild = ident.Build("v1")

// Bounds of the users' platform for services whose engines have several builds.
const (
	maxMixed        = 2   // streams with pieces of two builds
	minTakenUp      = 12  // streams that must be taken up for minKeptShare to hold
	minKeptShare    = 0.5 // of the share of new streams that begin, for streams that are taken up
	enginesServing  = 2   // of the build of a stream that is taken up
	engineStartTime = 2 * time.Second
	inTouchTime     = 3 * time.Second // since the last start, signal or pause of an instance, for it to count
)

// Times of a rollout.
const (
	minRolloutGap = 300 * time.Millisecond // between two engines
	maxRolloutGap = 1500 * time.Millisecond
)

// rollOut replaces some engines by ones of a new build, or brings them to the build of another engine,
// one after the other.
func (s *Soak) rollOut(ctx context.Context, r *rand.Rand) {
	var engines []*upstream
	for _, u := range s.cluster.upstreams {
		if u.build() != "" {
			engines = append(engines, u)
		}
	}
	build := engines[r.IntN(len(engines))].build()
	if r.IntN(2) == 0 {
		build = ident.Build(fmt.Sprintf("v%d", 2+r.IntN(1000)))
	}
	order := r.Perm(len(engines))[:1+r.IntN(len(engines))]
	var running sync.WaitGroup
	for _, i := range order {
		u := engines[i]
		running.Go(func() {
			u.replaceArg(buildFlag, string(build))
			s.restart(ctx, u.process, syscall.SIGTERM, 0)
		})
		s.clock.pause(ctx, randomDuration(r, minRolloutGap, maxRolloutGap))
	}
	running.Wait()
}

// rolloutsInSeries is the number of rollouts at the start of the faults.
const rolloutsInSeries = 2

// rollOutBesideKills makes rollouts one after the other while instances are killed, so that callers
// take streams up elsewhere.
func (s *Soak) rollOutBesideKills(ctx context.Context, r *rand.Rand) {
	for range rolloutsInSeries {
		var running sync.WaitGroup
		series := rand.New(rand.NewPCG(r.Uint64(), 1))
		s.beginFault(enginesRolledOut)
		running.Go(func() {
			enginesRolledOut.run(ctx, s, series)
			s.endFault(enginesRolledOut)
		})
		for range s.cluster.instances {
			s.clock.pause(ctx, randomDuration(r, time.Second, 2*time.Second))
			s.beginFault(instanceKilled)
			instanceKilled.run(ctx, s, r)
			s.endFault(instanceKilled)
		}
		running.Wait()
	}
}

// inTouch reports whether an instance has been undisturbed for so long that streams taken up there count.
func (s *Soak) inTouch(in *instance) bool {
	_, changed := in.incarnation()
	return s.clock.since(changed) > inTouchTime
}

// serves reports whether enough engines of a build serve that a stream of it must go on.
func (cl *cluster) serves(build ident.Build) bool {
	n := 0
	for _, u := range cl.upstreams {
		_, started := u.incarnation()
		if u.build() == build && u.running() && !u.isLeaving() && cl.clock.since(started) > engineStartTime {
			n++
		}
	}
	return n >= enginesServing
}

// countBegun counts a new stream, which brought a piece or not.
func (s *Soak) countBegun(begun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.figures.FirstTries++
	if begun {
		s.figures.Begun++
	}
}

// recordTakenUp counts a stream that was taken up, if it had to go on, and checks its builds.
func (s *Soak) recordTakenUp(held *heldStream, counts, wentOn bool) {
	s.mu.Lock()
	if counts {
		s.figures.TakenUp++
		if wentOn {
			s.figures.Kept++
		}
	}
	s.mu.Unlock()
	s.recordBuilds(held)
}

// recordBuilds counts a stream with pieces of two builds, once.
func (s *Soak) recordBuilds(held *heldStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCheck("one build a stream")
	if len(held.builds) < 2 || held.mixed {
		return
	}
	held.mixed = true
	s.figures.Mixed++
	if s.figures.Mixed > maxMixed {
		s.reportViolationLocked("%s: got pieces of builds %v, the %d. such stream, want at most %d", held.origin, held.builds, s.figures.Mixed, maxMixed)
	}
}

// checkBuilds checks that streams that were taken up went on.
func (s *Soak) checkBuilds() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.figures.TakenUp < minTakenUp {
		return
	}
	s.countCheck("streams go on when taken up")
	kept := float64(s.figures.Kept) / float64(s.figures.TakenUp)
	if least := minKeptShare * float64(s.figures.Begun) / float64(max(1, s.figures.FirstTries)); kept < least {
		s.reportViolationLocked("streams taken up: %d of %d went on, want a share of at least %.2f", s.figures.Kept, s.figures.TakenUp, least)
	}
}

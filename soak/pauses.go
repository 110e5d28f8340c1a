package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Lengths and number of the pauses of a series. A sound upstream may be silent for about a second.
const (
	minPause      = 300 * time.Millisecond
	maxPause      = 1200 * time.Millisecond
	minPauseGap   = 150 * time.Millisecond // between two pauses; upstreams renew their registration in it
	maxPauseGap   = 400 * time.Millisecond
	pauseCount    = 12 // pauses of one series, which lasts about 12 s
	plannedCount  = 4  // kinds of planned work that overlap a series at the start of a run
	maxPlannedGap = 2 * time.Second
)

// pauseScope is a choice of upstreams that pause together.
type pauseScope struct {
	name   string
	choose func(s *Soak, r *rand.Rand) []*upstream
}

// pauseScopes lists the choices of upstreams that pause together.
var pauseScopes = []pauseScope{
	{"pause of an upstream", func(s *Soak, r *rand.Rand) []*upstream {
		return []*upstream{s.randomUpstream(r)}
	}},
	{"pause of several upstreams", func(s *Soak, r *rand.Rand) []*upstream {
		all := s.cluster.upstreams
		var out []*upstream
		for _, i := range r.Perm(len(all))[:2+r.IntN(len(all)-2)] {
			out = append(out, all[i])
		}
		return out
	}},
	{"pause of a failure domain", func(s *Soak, r *rand.Rand) []*upstream {
		d := r.IntN(domainCount) * (enginesPerDomain + 1)
		return s.cluster.upstreams[d : d+enginesPerDomain+1]
	}},
	{"pause of all upstreams", func(s *Soak, _ *rand.Rand) []*upstream { return s.cluster.upstreams }},
}

// pauseSeries makes sound upstreams silent for a moment, several times in a row, so that one
// stream meets several pauses. Each scope occurs three times. Upstreams that are leaving do not
// pause, since they end at a set time.
func (s *Soak) pauseSeries(ctx context.Context, r *rand.Rand) {
	order := r.Perm(pauseCount)
	for _, i := range order {
		scope := pauseScopes[i%len(pauseScopes)]
		length := randomDuration(r, minPause, maxPause)
		s.countFault(scope.name)
		var paused sync.WaitGroup
		for _, u := range scope.choose(s, r) {
			if !u.isLeaving() {
				paused.Go(func() { s.freeze(ctx, u.process, length) })
			}
		}
		paused.Wait()
		s.clock.pause(ctx, randomDuration(r, minPauseGap, maxPauseGap))
	}
}

// pauseBesidePlannedWork runs a series of pauses and planned work at the same time. Neither may
// cut a connection.
func (s *Soak) pauseBesidePlannedWork(ctx context.Context, r *rand.Rand) {
	var running sync.WaitGroup
	series := rand.New(rand.NewPCG(r.Uint64(), 1))
	running.Go(func() { s.pauseSeries(ctx, series) })
	for _, i := range r.Perm(len(plannedWork))[:plannedCount] {
		s.clock.pause(ctx, randomDuration(r, minPauseGap, maxPlannedGap))
		f, random := plannedWork[i], rand.New(rand.NewPCG(r.Uint64(), 1))
		s.countFault(f.name)
		running.Go(func() { f.run(ctx, s, random) })
	}
	running.Wait()
}

// plannedWork lists the planned work that overlaps pauses. Changes of the configuration are listed
// twice, since there are many kinds of them.
var plannedWork = []fault{
	configurationChange,
	configurationChange,
	upstreamLeaves,
	instanceLeaves,
	instanceReload,
}

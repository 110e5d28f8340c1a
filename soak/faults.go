package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fault is one kind of fault.
type fault struct {
	name    string
	planned bool                                             // callers must not notice it without another fault, as a graceful stop
	run     func(ctx context.Context, s *Soak, r *rand.Rand) // returns when the fault is over
}

// randomDuration returns a random duration in [low, high).
func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

func (s *Soak) randomUpstream(r *rand.Rand) *upstream {
	return s.cluster.upstreams[r.IntN(len(s.cluster.upstreams))]
}

func (s *Soak) randomInstance(r *rand.Rand) *instance {
	return s.cluster.instances[r.IntN(len(s.cluster.instances))]
}

// restart sends a terminating signal to a process and starts it again after the given time. A process
// that does not exit within stopTimeout is killed.
func (s *Soak) restart(ctx context.Context, p *process, sig syscall.Signal, after time.Duration) {
	p.setLeaving(true)
	defer p.setLeaving(false)
	done := p.exit()
	p.signal(sig)
	limit := s.clock.After(stopTimeout, func(time.Time) { p.signal(syscall.SIGKILL) })
	<-done
	limit.Stop()
	s.clock.pause(ctx, after)
	_ = p.start() // a failure shows as an instance or upstream that does not return
}

func (s *Soak) freeze(ctx context.Context, p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	s.clock.pause(ctx, d)
	p.signal(syscall.SIGCONT)
}

func (s *Soak) setModeFor(ctx context.Context, p *proxy, m mode, d time.Duration) {
	p.setMode(m)
	s.clock.pause(ctx, d)
	p.setMode(pass)
	if m == silent || m == dropOutbound {
		p.reset() // bytes were dropped or held up, so the open connections are unusable
	}
}

// injectStoreFault asks the store for a fault of its own. It reports a violation if the store refuses.
func (s *Soak) injectStoreFault(ctx context.Context, kind string) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	body := strings.NewReader(`{"Kind":"` + kind + `"}`)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.cluster.storeAddress+"/standin/faults", body)
	if err != nil {
		s.reportViolation("fault %s of the store: %v", kind, err)
		return
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return // the store is frozen by another fault
	}
	_ = res.Body.Close()
	if res.StatusCode >= http.StatusMultipleChoices {
		s.reportViolation("fault %s of the store: got status %d, want success", kind, res.StatusCode)
	}
}

// Faults that also overlap each other or pauses of sound upstreams.
var (
	upstreamLeaves = fault{"upstream leaves", true, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.restart(ctx, s.randomUpstream(r).process, syscall.SIGTERM, randomDuration(r, 100*time.Millisecond, time.Second))
	}}
	instanceLeaves = fault{"instance leaves", true, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.restart(ctx, s.randomInstance(r).process, syscall.SIGTERM, randomDuration(r, 100*time.Millisecond, time.Second))
	}}
	instanceKilled = fault{"instance killed", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.restart(ctx, s.randomInstance(r).process, syscall.SIGKILL, randomDuration(r, 100*time.Millisecond, time.Second))
	}}
	enginesRolledOut = fault{"engines rolled out", false, func(ctx context.Context, s *Soak, r *rand.Rand) { s.rollOut(ctx, r) }}
	instanceReload   = fault{"instance reads its settings again", true, func(_ context.Context, s *Soak, r *rand.Rand) {
		s.randomInstance(r).signal(syscall.SIGHUP)
	}}
)

// faults lists all kinds of faults.
var faults = []fault{
	{"upstream killed", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.restart(ctx, s.randomUpstream(r).process, syscall.SIGKILL, randomDuration(r, 300*time.Millisecond, 2*time.Second))
	}},
	{"upstreams of a domain killed", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		d, after := r.IntN(domainCount), randomDuration(r, 500*time.Millisecond, 1500*time.Millisecond)
		var all sync.WaitGroup
		for n := range enginesPerDomain {
			all.Add(1)
			go func() {
				defer all.Done()
				s.restart(ctx, s.cluster.upstreams[d*(enginesPerDomain+1)+n].process, syscall.SIGKILL, after)
			}()
		}
		all.Wait()
	}},
	{"upstream frozen", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.freeze(ctx, s.randomUpstream(r).process, randomDuration(r, 300*time.Millisecond, 2*time.Second))
	}},
	upstreamLeaves,
	{"connections to an upstream reset", false, func(_ context.Context, s *Soak, r *rand.Rand) { s.randomUpstream(r).proxy.reset() }},
	{"way to an upstream silent", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.setModeFor(ctx, s.randomUpstream(r).proxy, silent, randomDuration(r, 500*time.Millisecond, 2*time.Second))
	}},
	{"way to an upstream cut outward", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.setModeFor(ctx, s.randomUpstream(r).proxy, dropOutbound, randomDuration(r, 500*time.Millisecond, 2*time.Second))
	}},
	{"way to an upstream slow", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.setModeFor(ctx, s.randomUpstream(r).proxy, slow, randomDuration(r, 500*time.Millisecond, 2*time.Second))
	}},
	instanceKilled,
	{"instance frozen", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.freeze(ctx, s.randomInstance(r).process, randomDuration(r, 200*time.Millisecond, 1500*time.Millisecond))
	}},
	instanceLeaves,
	instanceReload,
	enginesRolledOut,
	{"upstreams name limits", true, func(ctx context.Context, s *Soak, r *rand.Rand) { s.nameLimits(ctx, r) }},
	{"upstreams ask for rests", true, func(ctx context.Context, s *Soak, r *rand.Rand) { s.askForRests(ctx, r) }},
	{"upstreams say that they leave", true, func(ctx context.Context, s *Soak, r *rand.Rand) { s.sayLeaving(ctx, r) }},
	{"content crashes upstreams", false, func(ctx context.Context, s *Soak, r *rand.Rand) { s.crashUpstreams(ctx, r) }},
	{"store silent for an instance", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.setModeFor(ctx, s.randomInstance(r).store, silent, randomDuration(r, time.Second, 4*time.Second))
	}},
	{"store refuses an instance", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		p := s.randomInstance(r).store
		p.setMode(refusing)
		p.reset()
		s.clock.pause(ctx, randomDuration(r, time.Second, 4*time.Second))
		p.setMode(pass)
	}},
	{"connections to the store silent", true, func(ctx context.Context, s *Soak, _ *rand.Rand) {
		s.injectStoreFault(ctx, "Silence")
		s.clock.pause(ctx, configurationInterval+configurationDelay+time.Second) // until a later change must be in force
	}},
	{"store restored from a copy", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.injectStoreFault(ctx, "Copy")
		s.clock.pause(ctx, randomDuration(r, time.Second, 5*time.Second))
		s.injectStoreFault(ctx, "Restore")
		s.clock.pause(ctx, configurationInterval+time.Second) // until the operator has written again
	}},
	{"store frozen", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.freeze(ctx, s.cluster.storeProcess, randomDuration(r, 500*time.Millisecond, 3*time.Second))
	}},
}

// plannedAlonePeriod is the period, in faults, at which a planned fault runs without any
// other, so that a connection that it cuts is detected. Each second one runs beside pauses
// of sound upstreams, which are no fault.
const plannedAlonePeriod = 6

// injectFaults begins with pauses beside planned work. Then it starts faults at random intervals
// until the period for faults is over, and waits for the last of them. Every
// plannedAlonePeriod-th fault is a planned one without others.
func (s *Soak) injectFaults(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.cfg.Seed, 0))
	pauses := rand.New(rand.NewPCG(s.cfg.Seed, pauseStream))
	if !s.cfg.NoFault {
		s.pauseBesidePlannedWork(ctx, pauses)
	}
	end := s.clock.Now().Add(s.cfg.FaultPeriod)
	var running sync.WaitGroup
	if !s.cfg.NoFault && s.clock.Now().Before(end) {
		rollouts := rand.New(rand.NewPCG(s.cfg.Seed, rolloutStream))
		running.Go(func() { s.rollOutBesideKills(ctx, rollouts) })
	}
	for n := 0; s.clock.Now().Before(end) && ctx.Err() == nil; n++ {
		f := faults[r.IntN(len(faults))]
		alone := n%plannedAlonePeriod == plannedAlonePeriod-1
		for alone && !f.planned {
			f = faults[r.IntN(len(faults))]
		}
		seed := r.Uint64()
		wait := randomDuration(r, minFaultInterval, maxFaultInterval)
		if s.cfg.NoFault {
			s.clock.pause(ctx, wait)
			continue
		}
		if alone {
			running.Wait()
			s.clock.pause(ctx, faultFreePeriod+time.Second)
		}
		s.beginFault(f)
		running.Go(func() {
			f.run(ctx, s, rand.New(rand.NewPCG(seed, 1)))
			s.endFault(f)
		})
		if alone && n/plannedAlonePeriod%2 == 1 {
			s.pauseSeries(ctx, pauses)
		}
		if alone {
			running.Wait()
		}
		for s.activeFaults() >= maxActiveFaults && ctx.Err() == nil {
			s.clock.pause(ctx, minFaultInterval)
		}
		s.clock.pause(ctx, wait)
	}
	running.Wait()
}

// Streams of the random source of pauses and rollouts. Streams 0 and up to the number of callers
// belong to the faults and the callers.
const (
	pauseStream   = 1 << 32
	rolloutStream = 1 << 33
)

// countFault counts planned work or a pause.
func (s *Soak) countFault(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.figures.Faults[name]++
}

func (s *Soak) beginFault(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.figures.Faults[f.name]++
	if !f.planned {
		s.activeCount++
		s.faultEpoch++
		s.lastFault = s.clock.Now()
	}
}

func (s *Soak) endFault(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !f.planned {
		s.activeCount--
		s.faultEpoch++
		s.lastFault = s.clock.Now()
	}
}

func (s *Soak) activeFaults() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeCount
}

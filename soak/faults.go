package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// fault is one kind of trouble. It returns when the trouble is over.
type fault struct {
	name    string
	planned bool // cuts nothing if it is alone
	run     func(ctx context.Context, s *Soak, r *rand.Rand)
}

// between returns a time from low to high.
func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

func (s *Soak) anyUpstream(r *rand.Rand) *upstream {
	return s.world.upstreams[r.IntN(len(s.world.upstreams))]
}

func (s *Soak) anyInstance(r *rand.Rand) *instance {
	return s.world.instances[r.IntN(len(s.world.instances))]
}

// restart sends a signal that ends a process and starts it again after a while.
func (s *Soak) restart(ctx context.Context, p *process, sig syscall.Signal, after time.Duration) {
	done := p.ended()
	p.signal(sig)
	limit := s.clock.After(graceOfStop, func(time.Time) { p.signal(syscall.SIGKILL) })
	<-done
	limit.Stop()
	s.clock.pause(ctx, after)
	_ = p.start() // a failure shows as an instance or upstream that stays away
}

func (s *Soak) freeze(ctx context.Context, p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	s.clock.pause(ctx, d)
	p.signal(syscall.SIGCONT)
}

func (s *Soak) disturb(ctx context.Context, p *proxy, m mode, d time.Duration) {
	p.set(m)
	s.clock.pause(ctx, d)
	p.set(pass)
	if m == silent || m == oneWay {
		p.reset() // what was lost leaves connections that are of no use
	}
}

// faults are all kinds.
var faults = []fault{
	{"upstream killed", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.restart(ctx, s.anyUpstream(r).process, syscall.SIGKILL, between(r, 300*time.Millisecond, 2*time.Second))
	}},
	{"upstreams of a domain killed", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		d, after := r.IntN(domains), between(r, 500*time.Millisecond, 1500*time.Millisecond)
		var all sync.WaitGroup
		for n := range enginesEach {
			all.Add(1)
			go func() {
				defer all.Done()
				s.restart(ctx, s.world.upstreams[d*(enginesEach+1)+n].process, syscall.SIGKILL, after)
			}()
		}
		all.Wait()
	}},
	{"upstream frozen", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.freeze(ctx, s.anyUpstream(r).process, between(r, 300*time.Millisecond, 2*time.Second))
	}},
	{"upstream leaves", true, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.restart(ctx, s.anyUpstream(r).process, syscall.SIGTERM, between(r, 100*time.Millisecond, time.Second))
	}},
	{"connections to an upstream reset", false, func(_ context.Context, s *Soak, r *rand.Rand) { s.anyUpstream(r).proxy.reset() }},
	{"way to an upstream silent", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.disturb(ctx, s.anyUpstream(r).proxy, silent, between(r, 500*time.Millisecond, 2*time.Second))
	}},
	{"way to an upstream cut outward", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.disturb(ctx, s.anyUpstream(r).proxy, oneWay, between(r, 500*time.Millisecond, 2*time.Second))
	}},
	{"way to an upstream slow", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.disturb(ctx, s.anyUpstream(r).proxy, slow, between(r, 500*time.Millisecond, 2*time.Second))
	}},
	{"instance killed", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.restart(ctx, s.anyInstance(r).process, syscall.SIGKILL, between(r, 100*time.Millisecond, time.Second))
	}},
	{"instance frozen", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.freeze(ctx, s.anyInstance(r).process, between(r, 200*time.Millisecond, 1500*time.Millisecond))
	}},
	{"instance leaves", true, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.restart(ctx, s.anyInstance(r).process, syscall.SIGTERM, between(r, 100*time.Millisecond, time.Second))
	}},
	{"instance reads its settings again", true, func(_ context.Context, s *Soak, r *rand.Rand) { s.anyInstance(r).signal(syscall.SIGHUP) }},
	{"store silent for an instance", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.disturb(ctx, s.anyInstance(r).store, silent, between(r, time.Second, 4*time.Second))
	}},
	{"store refuses an instance", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		p := s.anyInstance(r).store
		p.set(refusing)
		p.reset()
		s.clock.pause(ctx, between(r, time.Second, 4*time.Second))
		p.set(pass)
	}},
	{"store frozen", false, func(ctx context.Context, s *Soak, r *rand.Rand) {
		s.freeze(ctx, s.world.storeProc, between(r, 500*time.Millisecond, 3*time.Second))
	}},
}

// aloneEach is how often planned work comes with nothing else going on, so that
// what it cuts shows.
const aloneEach = 6

// inject lets faults come until the time is over, each planned one at times
// alone, and waits for the last of them.
func (s *Soak) inject(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.cfg.Seed, 0))
	end := s.clock.Now().Add(s.cfg.For)
	var running sync.WaitGroup
	for n := 0; s.clock.Now().Before(end) && ctx.Err() == nil; n++ {
		f := faults[r.IntN(len(faults))]
		alone := n%aloneEach == aloneEach-1
		for alone && !f.planned {
			f = faults[r.IntN(len(faults))]
		}
		seed := r.Uint64()
		wait := between(r, leastPause, faultSpacing)
		if s.cfg.NoFault {
			s.clock.pause(ctx, wait)
			continue
		}
		if alone {
			running.Wait()
			s.clock.pause(ctx, calmAfter+time.Second)
		}
		s.begin(f)
		running.Add(1)
		go func() {
			defer running.Done()
			f.run(ctx, s, rand.New(rand.NewPCG(seed, 1)))
			s.end(f)
		}()
		if alone {
			running.Wait()
		}
		for s.activeFaults() >= mostFaults && ctx.Err() == nil {
			s.clock.pause(ctx, leastPause)
		}
		s.clock.pause(ctx, wait)
	}
	running.Wait()
}

func (s *Soak) begin(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.figures.Faults[f.name]++
	if !f.planned {
		s.active++
		s.epoch++
		s.lastFault = s.clock.Now()
	}
}

func (s *Soak) end(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !f.planned {
		s.active--
		s.epoch++
		s.lastFault = s.clock.Now()
	}
}

func (s *Soak) activeFaults() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"crocuslug/timer"
)

// Settings of a run.
type Settings struct {
	Seed    uint64
	For     time.Duration // in which faults are injected
	Callers int           // 0 means 12
	Bin     string        // directory with the programs crocuslug and standin
	Dir     string        // for logs; it exists
	NoFault bool          // injects none; for comparison
}

const defaultCallers = 12

// Figures are the outcome of a run.
type Figures struct {
	Seed       uint64
	Requests   int
	Statuses   map[int]int
	Cut        int // connections that ended without a whole answer
	Faults     map[string]int
	Checked    map[string]int // promises, by how often each was checked
	Violations []string
}

// Soak is one run.
type Soak struct {
	cfg   Settings
	clock clock
	world *world

	mu        sync.Mutex
	figures   Figures
	refused   map[string]time.Time // unsafe requests that were refused as not run
	unsafe    []string
	ready     []*instance
	epoch     int // rises when a fault begins or ends
	lastFault time.Time
	active    int // faults
	ended     bool
	final     bool // the faults are over and all must be served
	routes    []*newRoute
}

// newRoute is a route that was added, and where it was seen in force.
type newRoute struct {
	prefix string
	at     time.Time
	seen   map[*instance]int // incarnation
}

// maxViolations bounds what is kept.
const maxViolations = 20

// Times around faults.
const (
	calmAfter    = 4 * time.Second // a planned stop in flight counts only with nothing else this long before
	settleTime   = 8 * time.Second // after the last fault, before all must be served
	finalTime    = 3 * time.Second // in which all must be served
	watchReady   = 200 * time.Millisecond
	checkEvery   = 300 * time.Millisecond
	changeEvery  = 4 * time.Second
	crossing     = 200 * time.Millisecond // lost_slack_ms of the users' sheets
	graceOfStop  = 10 * time.Second
	leastPause   = 250 * time.Millisecond
	mostFaults   = 3 // at once
	faultSpacing = 700 * time.Millisecond
)

// Run plays one run and returns what it found. The error is of the machinery,
// not of the system.
func Run(ctx context.Context, cfg Settings) (Figures, error) {
	if cfg.Callers == 0 {
		cfg.Callers = defaultCallers
	}
	c := clock{timer.New()}
	clockCtx, stopClock := context.WithCancel(context.Background())
	defer stopClock()
	go c.Run(clockCtx)
	s := &Soak{cfg: cfg, clock: c, refused: make(map[string]time.Time)}
	s.figures = Figures{Seed: cfg.Seed, Statuses: map[int]int{}, Faults: map[string]int{}, Checked: map[string]int{}}
	w, err := newWorld(ctx, c, cfg.Bin, cfg.Dir)
	if w != nil {
		defer w.stop()
	}
	if err != nil {
		return s.figures, err
	}
	s.world = w
	s.lastFault = s.clock.Now()
	var running sync.WaitGroup
	background, stopBackground := context.WithCancel(ctx)
	for _, f := range []func(context.Context){s.watchReady, s.changeConfiguration, s.checkRoutes} {
		running.Add(1)
		go func() {
			defer running.Done()
			f(background)
		}()
	}
	var callers sync.WaitGroup
	for n := range cfg.Callers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			c := &caller{s: s, random: rand.New(rand.NewPCG(cfg.Seed, uint64(n)+1))}
			c.run(n)
		}()
	}
	s.inject(ctx)
	s.clock.pause(ctx, settleTime)
	s.mu.Lock()
	s.final = true
	s.mu.Unlock()
	s.clock.pause(ctx, finalTime)
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	callers.Wait()
	stopBackground()
	running.Wait()
	s.checkRuns()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.figures, nil
}

func (s *Soak) over() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

func (s *Soak) violate(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violateLocked(format, args...)
}

func (s *Soak) violateLocked(format string, args ...any) {
	if len(s.figures.Violations) < maxViolations {
		text := s.clock.Now().UTC().Format("15:04:05.000") + " " + fmt.Sprintf(format, args...)
		s.figures.Violations = append(s.figures.Violations, text)
		fmt.Fprintln(os.Stderr, "violation:", text)
	}
}

func (s *Soak) checked(promise string) { s.figures.Checked[promise]++ }

// asked notes a request, of which runs are counted at the end.
func (s *Soak) asked(id string, unsafe bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.figures.Requests++
	if unsafe {
		s.unsafe = append(s.unsafe, id)
	}
}

// moment tells whether something disturbs the system.
type moment struct {
	epoch int
	calm  bool
	final bool
}

func (s *Soak) calmNow() moment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return moment{s.epoch, s.active == 0 && s.clock.since(s.lastFault) > calmAfter, s.final}
}

// answered takes the status of a whole answer.
func (s *Soak) answered(id string, status int, unsafe bool, began moment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.figures.Statuses[status]++
	s.checked("own whole answer")
	switch {
	case status == http.StatusServiceUnavailable && unsafe:
		s.refused[id] = s.clock.Now()
	case status == http.StatusUnauthorized || status == http.StatusNotFound:
		s.violateLocked("%s: got %d for a request that every configuration allows", id, status)
	}
	if began.final {
		s.checked("served after the faults")
		if status != http.StatusOK {
			s.violateLocked("%s: got %d after the faults were over", id, status)
		}
	}
}

// cut takes a connection that ended without a whole answer. With nothing but
// planned work going on that must not be, unless the request crossed the close:
// it was not passed on, and the connection ended right after it was written.
func (s *Soak) cut(in *instance, id string, sent time.Time, began moment) {
	crossed := s.clock.since(sent) <= crossing && s.world.recorder.count(id) == 0
	s.mu.Lock()
	defer s.mu.Unlock()
	s.figures.Cut++
	if !crossed && began.calm && began.epoch == s.epoch {
		s.violateLocked("%s: cut at %s with nothing but planned work going on", id, in.name)
	}
}

// checkRuns holds what ran against what callers were told.
func (s *Soak) checkRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.unsafe {
		s.checked("runs at most once")
		if n := s.world.recorder.count(id); n > 1 {
			s.violateLocked("%s: may run once and ran %d times", id, n)
		}
	}
	for id := range s.refused {
		s.checked("not run is true")
		if n := s.world.recorder.count(id); n > 0 {
			s.violateLocked("%s: refused as not run, and ran %d times", id, n)
		}
	}
}

// watchReady asks the instances as a balancer does.
func (s *Soak) watchReady(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []*instance
		for _, in := range s.world.instances {
			if in.isReady() {
				ready = append(ready, in)
			}
		}
		s.mu.Lock()
		s.ready = ready
		s.mu.Unlock()
		s.clock.pause(ctx, watchReady)
	}
}

func (s *Soak) pickReady(random *rand.Rand) *instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ready) == 0 {
		return nil
	}
	return s.ready[random.IntN(len(s.ready))]
}

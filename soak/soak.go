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

// Settings are the settings of a run.
type Settings struct {
	Seed        uint64
	FaultPeriod time.Duration // period in which faults are injected
	Callers     int           // 0 means 12
	ProgramDir  string        // directory that contains the programs crocuslug and standin
	Former      string        // program of an earlier build that instances run by turns with that in ProgramDir; "" for none
	LogDir      string        // existing directory for logs and settings files
	NoFault     bool          // injects no faults, as a baseline
}

const defaultCallers = 12

// Figures are the results of a run.
type Figures struct {
	Seed       uint64
	Requests   int
	Statuses   map[int]int
	Cut        int            // connections that ended before a complete answer
	Faults     map[string]int // number of faults by name
	Checked    map[string]int // number of checks by promise
	Begun      int            // new streams that brought a piece, of FirstTries
	FirstTries int            // new streams
	Kept       int            // streams that went on when they were taken up, of TakenUp
	TakenUp    int            // streams that were taken up while two engines of their build served
	Mixed      int            // streams with pieces of two builds
	Reasons    map[string]int // cut streams, refusals and failed attempts in the instances' logs, by reason
	Violations []string
}

// Soak is the state of one run.
type Soak struct {
	cfg     Settings
	clock   clock
	cluster *cluster

	configurationMu sync.Mutex // held while the configuration is changed

	mu             sync.Mutex
	figures        Figures
	refused        map[string]time.Time // ids of unsafe requests that were refused as not run
	unsafe         []string             // ids of requests that may run at most once
	readyInstances []*instance          // instances that reported ready at the last poll
	faultEpoch     int                  // incremented when an unplanned fault begins or ends
	lastFault      time.Time            // when an unplanned fault last began or ended; zero before the first
	activeCount    int                  // number of unplanned faults in progress
	stopping       bool                 // callers stop
	recovered      bool                 // the system had time to recover from the last fault and must serve all requests
	addedRoutes    []*addedRoute
}

// addedRoute is a route that was added during the run.
type addedRoute struct {
	prefix  string
	addedAt time.Time
	seenBy  map[*instance]int // incarnation of each instance at which the route was in force
}

// maxViolations is the number of violations that are recorded and printed.
const maxViolations = 20

// Intervals and limits of a run.
const (
	faultFreePeriod       = 4 * time.Second        // time without faults after which a planned stop must cut nothing
	recoveryTime          = 8 * time.Second        // time to recover after the last fault
	recoveredPeriod       = 3 * time.Second        // period after recovery in which all requests must be served
	readinessInterval     = 200 * time.Millisecond // between readiness polls
	routeCheckInterval    = 300 * time.Millisecond // between checks of the added routes
	configurationInterval = 4 * time.Second        // between changes of the configuration
	closeRaceLimit        = 200 * time.Millisecond // lost_slack_ms of the users' data sheets
	stopTimeout           = 20 * time.Second       // longer than the grace period; until a process that was asked to stop is killed
	minFaultInterval      = 250 * time.Millisecond // shortest time between the starts of two faults
	maxActiveFaults       = 3                      // unplanned faults in progress at once
	maxFaultInterval      = 700 * time.Millisecond // longest random time between the starts of two faults
)

// Run performs one run and returns its figures, violations included. An error means
// that the run could not be performed, not that the system broke a promise.
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
	cl, err := newCluster(ctx, c, cfg.ProgramDir, cfg.Former, cfg.LogDir)
	if cl != nil {
		defer cl.stop()
	}
	if err != nil {
		return s.figures, err
	}
	s.cluster = cl
	var running sync.WaitGroup
	background, stopBackground := context.WithCancel(ctx)
	for _, f := range []func(context.Context){s.pollReadiness, s.addRoutes, s.checkRoutes} {
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
			c := &caller{soak: s, random: rand.New(rand.NewPCG(cfg.Seed, uint64(n)+1))}
			c.run(n)
		}()
	}
	s.injectFaults(ctx)
	s.clock.pause(ctx, recoveryTime)
	s.mu.Lock()
	s.recovered = true
	s.mu.Unlock()
	s.clock.pause(ctx, recoveredPeriod)
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	callers.Wait()
	stopBackground()
	running.Wait()
	s.checkRuns()
	s.checkBuilds()
	reasons := s.countInstanceReasons()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.figures.Reasons = reasons
	return s.figures, nil
}

func (s *Soak) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Soak) reportViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportViolationLocked(format, args...)
}

func (s *Soak) reportViolationLocked(format string, args ...any) {
	if len(s.figures.Violations) < maxViolations {
		text := s.clock.Now().UTC().Format("15:04:05.000") + " " + fmt.Sprintf(format, args...)
		s.figures.Violations = append(s.figures.Violations, text)
		fmt.Fprintln(os.Stderr, "violation:", text)
	}
}

func (s *Soak) countCheck(promise string) { s.figures.Checked[promise]++ }

// countRequest counts a request. The runs of an unsafe one are checked at the end.
func (s *Soak) countRequest(id string, unsafe bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.figures.Requests++
	if unsafe {
		s.unsafe = append(s.unsafe, id)
	}
}

// faultState is the state of the fault injection when a request began.
type faultState struct {
	epoch     int
	faultFree bool // no unplanned fault was in progress, nor had been for faultFreePeriod
	recovered bool
}

func (s *Soak) currentFaultState() faultState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return faultState{s.faultEpoch, s.activeCount == 0 && s.clock.since(s.lastFault) > faultFreePeriod, s.recovered}
}

// deadlineShare is the share of its time that a request must have used before a failure may be put
// down to its deadline.
const deadlineShare = 0.7

// recordAnswer records a complete answer to a request with a time limit and checks its status.
// Without an unplanned fault a request may be refused as not run at any time, and fail only at its
// deadline.
func (s *Soak) recordAnswer(id string, status int, unsafe bool, sent time.Time, limit time.Duration, began faultState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.figures.Statuses[status]++
	s.countCheck("own whole answer")
	took := s.clock.since(sent)
	if s.undisturbed(began) {
		s.countCheck("no early failure without a fault")
		if status > http.StatusInternalServerError && status != http.StatusServiceUnavailable && took < time.Duration(deadlineShare*float64(limit)) {
			s.reportViolationLocked("%s: got status %d after %v without an unplanned fault, want none before the deadline of %v", id, status, took, limit)
		}
	}
	switch {
	case status == http.StatusServiceUnavailable && unsafe:
		s.refused[id] = s.clock.Now()
	case status == http.StatusUnauthorized || status == http.StatusNotFound:
		s.reportViolationLocked("%s: got status %d for a request that every configuration allows", id, status)
	}
	if began.recovered {
		s.countCheck("served after the faults")
		if status != http.StatusOK {
			s.reportViolationLocked("%s: got status %d after the faults, want 200", id, status)
		}
	}
}

// undisturbed reports whether no unplanned fault has affected a request. The caller holds s.mu.
func (s *Soak) undisturbed(began faultState) bool {
	return began.faultFree && began.epoch == s.faultEpoch
}

// recordCut records a connection that ended before a complete answer. Without an unplanned
// fault that is a violation, unless the request and the close of an idle connection
// crossed: no upstream ran it, and the connection ended shortly after the write.
func (s *Soak) recordCut(in *instance, id string, sent time.Time, began faultState) {
	took := s.clock.since(sent)
	crossed := took <= closeRaceLimit && s.cluster.recorder.count(id) == 0
	s.mu.Lock()
	defer s.mu.Unlock()
	s.figures.Cut++
	if !crossed && s.undisturbed(began) {
		s.reportViolationLocked("%s: connection to %s cut after %v without an unplanned fault", id, in.name, took)
	}
}

// checkRuns compares the recorded runs of unsafe requests with the answers that callers got.
func (s *Soak) checkRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.unsafe {
		s.countCheck("runs at most once")
		if n := s.cluster.recorder.count(id); n > 1 {
			s.reportViolationLocked("%s: may run at most once, but ran %d times", id, n)
		}
	}
	for id := range s.refused {
		s.countCheck("not run is true")
		if n := s.cluster.recorder.count(id); n > 0 {
			s.reportViolationLocked("%s: was refused as not run, but ran %d times", id, n)
		}
	}
}

// pollReadiness polls the readiness of all instances, as a load balancer does.
func (s *Soak) pollReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []*instance
		for _, in := range s.cluster.instances {
			if in.isReady() {
				ready = append(ready, in)
			}
		}
		s.mu.Lock()
		s.readyInstances = ready
		s.mu.Unlock()
		s.clock.pause(ctx, readinessInterval)
	}
}

func (s *Soak) randomReadyInstance(random *rand.Rand) *instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.readyInstances) == 0 {
		return nil
	}
	return s.readyInstances[random.IntN(len(s.readyInstances))]
}

package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"crocuslug/directory"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/line"
	"crocuslug/store"
)

// hotPrompt is the prompt number that the share HotPromptShare of all requests has in common.
const hotPrompt = 0

// Delays and intervals of instances and callers.
const (
	callerRetryDelay  = 10 * time.Millisecond  // until a caller whose instance was killed retries at another
	firstEventTimeout = 6 * time.Second        // wait for the first event before the engine counts as failed
	waitPollInterval  = 100 * time.Millisecond // between attempts of a request that waits for an engine
	digestInterval    = 250 * time.Millisecond // between digests of the other instances
	registryLag       = 300 * time.Millisecond // until instances learn of a change of the engine list
	loadReportAge     = time.Second            // age of the load reports that policy LeastLoaded uses
	resetDetection    = 5 * time.Millisecond   // until a reset connection is noticed
	silenceDetection  = 390 * time.Millisecond // until a silent engine is noticed, after its last event
	probeDetection    = 700 * time.Millisecond // until a probe notices a silent engine that was reading a prompt
	connectionRefusal = 4 * time.Millisecond   // until a lost engine refuses a connection
	connectionTimeout = 250 * time.Millisecond // until a connection attempt to a silent engine times out
	drainTime         = 60 * time.Second       // simulated after the last arrival, so that answers can finish
)

// service is the service that all engines belong to.
const service ident.Service = "model"

// Emulator simulates one run of a deployment under load.
type Emulator struct {
	scenario Scenario
	losses   []Loss
	policy   Policy
	random   *rand.Rand

	start, now  time.Time
	engines     []*engine
	byID        map[ident.Upstream]*engine
	instances   []*instance
	requests    []*request
	loadReports []map[ident.Upstream]int // recent loads by engine, oldest first
	registered  []directory.Upstream     // engines as last published by the registry
	publishAt   time.Time                // when the registry publishes the next change; zero if none is pending
	revision    store.Version
	figures     Figures
}

// instance is one instance with its own view of the engines.
type instance struct {
	name   ident.Instance
	domain int
	fleet  *fleet.Fleet
	queue  *line.Queue
}

// request is the request of one caller.
type request struct {
	id              int
	prompt          int          // number of its prompt; requests with the same prompt share cached prompts
	waiting         bool         // no engine could be chosen yet
	waiter          *line.Waiter // its place in the queue of its instance; nil if it is not queued
	assigned        *engine      // engine that the queue assigned; nil if none
	refusals        int          // number of refusals so far
	takenUp         bool         // its caller lost its instance after the first event, and no engine is known to have its prompt
	disconnected    bool         // the caller disconnected
	instance        *instance
	arrived         time.Time
	events          int       // events delivered
	lastEvent       time.Time // time of the last event, or of arrival before the first
	late            bool
	finished        bool
	firstEventAfter time.Duration // from arrival to the first event
	longestPause    time.Duration // longest time between events
	engine          *engine       // engine it was sent to; nil if none
	incarnation     int           // incarnation of that engine
	run             *run
	sent            time.Time // when it was sent to the engine
	unreadTokens    int       // prompt tokens counted as unread at the engine
	copyEngine      *engine   // engine that holds a copy of the run; nil if none
	copyIncarnation int       // incarnation of that engine
	nextAction      time.Time // when its instance acts on it next; zero if it waits for an event
	scenario        *Scenario
}

// New returns an emulator of scenario. Losses must be in order of time.
func New(scenario Scenario, losses []Loss, policy Policy, seed uint64) *Emulator {
	em := &Emulator{
		scenario: scenario,
		losses:   losses,
		policy:   policy,
		random:   rand.New(rand.NewPCG(seed, 1)),
		start:    time.Unix(1_000_000, 0),
		byID:     make(map[ident.Upstream]*engine),
	}
	em.now = em.start
	for d := range scenario.Domains {
		for n := range scenario.Engines {
			e := &engine{domain: d, number: n}
			em.engines = append(em.engines, e)
			em.byID[e.id()] = e
		}
		for n := range scenario.Instances {
			name := ident.Instance(fmt.Sprintf("d%d-i%d", d, n))
			em.instances = append(em.instances, &instance{name: name, domain: d})
		}
	}
	for _, in := range em.instances {
		em.restart(in)
	}
	em.publishEngines()
	return em
}

func domainName(d int) ident.Domain {
	return ident.Domain(rune('a' + d))
}

// Run simulates the load and returns its figures.
func (em *Emulator) Run() Figures {
	arrivals := em.arrivals()
	var firsts, pauses []time.Duration
	end := em.start.Add(em.scenario.Duration + drainTime)
	for em.now = em.start; em.now.Before(end); em.now = em.now.Add(tick) {
		em.applyLosses()
		em.applyInstanceKills()
		em.applyRestart()
		for len(arrivals) > 0 && !arrivals[0].After(em.now) {
			arrivals = arrivals[1:]
			in := em.instances[em.random.IntN(len(em.instances))]
			if em.scenario.ShiftedShare > 0 && em.random.Float64() < em.scenario.ShiftedShare {
				in = em.instances[em.random.IntN(em.scenario.Instances)]
			}
			number := len(em.requests) + 1
			if em.scenario.HotPromptShare > 0 && em.random.Float64() < em.scenario.HotPromptShare {
				number = hotPrompt
			}
			r := &request{id: len(em.requests), prompt: number, instance: in, arrived: em.now, lastEvent: em.now, nextAction: em.now, scenario: &em.scenario}
			em.requests = append(em.requests, r)
		}
		em.sendDue()
		em.step()
		em.exchangeDigests()
	}
	for _, r := range em.requests {
		em.figures.Requests++
		switch {
		case r.refusals > maxRetries:
			em.figures.Refused++
		case !r.finished:
			em.figures.Unfinished++
		case r.late:
			em.figures.Late++
		}
		if r.events > 0 {
			firsts, pauses = append(firsts, r.firstEventAfter), append(pauses, r.longestPause)
		}
	}
	slices.Sort(firsts)
	slices.Sort(pauses)
	if n := len(firsts); n > 0 {
		em.figures.FirstP95, em.figures.PauseP95 = firsts[n*95/100], pauses[n*95/100]
	}
	once := float64(em.figures.Requests * em.scenario.PromptTokens)
	em.figures.RereadShare = max(0, float64(em.figures.PromptTokensRead)-once) / once
	return em.figures
}

// arrivals returns the arrival times of all requests in order.
func (em *Emulator) arrivals() []time.Time {
	var out []time.Time
	for t := 0.0; ; {
		rate := em.scenario.RequestsPerSecond
		if s := em.scenario.Surge; s.Duration > 0 && t >= s.At.Seconds() && t < (s.At+s.Duration).Seconds() {
			rate *= s.Factor
		}
		t += em.random.ExpFloat64() / rate
		if t >= em.scenario.Duration.Seconds() {
			break
		}
		out = append(out, em.start.Add(time.Duration(t*float64(time.Second))))
	}
	if em.scenario.BurstAt > 0 {
		const share = 10
		for range len(out) / share {
			out = append(out, em.start.Add(em.scenario.BurstAt))
		}
		slices.SortFunc(out, time.Time.Compare)
	}
	return out
}

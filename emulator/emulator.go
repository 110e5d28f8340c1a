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

// hotPrompt is the one that many requests have.
const hotPrompt = 0

// Times around instances.
const (
	returnAfter   = 10 * time.Millisecond // of a caller whose instance was killed
	firstPiece    = 6 * time.Second       // without one, an engine is taken for lost
	waitPoll      = 100 * time.Millisecond
	digestEvery   = 250 * time.Millisecond
	registryLag   = 300 * time.Millisecond
	reportLag     = time.Second            // age of the load that Least knows
	resetFound    = 5 * time.Millisecond   // after a connection was reset
	silenceFound  = 390 * time.Millisecond // after the last event
	probeFound    = 700 * time.Millisecond // while a prompt is read
	refusedFound  = 4 * time.Millisecond   // at an engine that is lost
	unansweredFor = 250 * time.Millisecond // at one that is dark
	drainTime     = 60 * time.Second       // after the last request
)

// service is the one service of the engines.
const service ident.Service = "model"

// Emulator is one run.
type Emulator struct {
	shape  Shape
	losses []Loss
	rule   Rule
	random *rand.Rand

	start, now time.Time
	engines    []*engine
	byID       map[ident.Upstream]*engine
	instances  []*instance
	requests   []*request
	reports    []map[ident.Upstream]int // loads, the oldest first
	known      []directory.Upstream     // as the registry tells
	publish    time.Time                // when the registry tells the next change; zero if there is none
	revision   store.Version
	figures    Figures
}

// instance is one instance with its own belief.
type instance struct {
	name   ident.Instance
	domain int
	fleet  *fleet.Fleet
	line   *line.Queue
}

// request is one caller's.
type request struct {
	id     int
	prompt int          // requests with the same one share what engines have cached
	waits  bool         // for an engine
	ticket *line.Waiter // in the line of its instance
	place  *engine      // that its turn brought
	back   int          // times that it came back after a refusal
	left   bool         // the caller left
	in     *instance
	began  time.Time
	made   int // events
	last   time.Time
	late   bool
	ended  bool
	first  time.Duration
	pause  time.Duration // the longest one
	at     *engine       // nil while it is nowhere
	life   int           // incarnation of at that it runs on
	run    *run
	sent   time.Time // to at
	unread int       // prompt tokens that count as unread at at
	copyAt *engine
	copyOf int       // incarnation of copyAt that holds the copy
	next   time.Time // when its instance acts again; zero if nothing is to be done
	shape  *Shape
}

// New returns an emulator of a shape, with losses in order of time.
func New(shape Shape, losses []Loss, rule Rule, seed uint64) *Emulator {
	em := &Emulator{
		shape:  shape,
		losses: losses,
		rule:   rule,
		random: rand.New(rand.NewPCG(seed, 1)),
		start:  time.Unix(1_000_000, 0),
		byID:   make(map[ident.Upstream]*engine),
	}
	em.now = em.start
	for d := range shape.Domains {
		for n := range shape.Engines {
			e := &engine{domain: d, number: n}
			em.engines = append(em.engines, e)
			em.byID[e.id()] = e
		}
		for n := range shape.Instances {
			name := ident.Instance(fmt.Sprintf("d%d-i%d", d, n))
			em.instances = append(em.instances, &instance{name: name, domain: d})
		}
	}
	for _, in := range em.instances {
		em.restart(in)
	}
	em.register()
	return em
}

func domainName(d int) ident.Domain {
	return ident.Domain(rune('a' + d))
}

// Run plays the load and returns what callers got.
func (em *Emulator) Run() Figures {
	arrivals := em.arrivals()
	var firsts, pauses []time.Duration
	end := em.start.Add(em.shape.Length + drainTime)
	for em.now = em.start; em.now.Before(end); em.now = em.now.Add(tick) {
		em.lose()
		em.kill()
		for len(arrivals) > 0 && !arrivals[0].After(em.now) {
			arrivals = arrivals[1:]
			in := em.instances[em.random.IntN(len(em.instances))]
			if em.shape.Shifted > 0 && em.random.Float64() < em.shape.Shifted {
				in = em.instances[em.random.IntN(em.shape.Instances)]
			}
			number := len(em.requests) + 1
			if em.shape.Hot > 0 && em.random.Float64() < em.shape.Hot {
				number = hotPrompt
			}
			r := &request{id: len(em.requests), prompt: number, in: in, began: em.now, last: em.now, next: em.now, shape: &em.shape}
			em.requests = append(em.requests, r)
		}
		em.act()
		em.step()
		em.tell()
	}
	for _, r := range em.requests {
		em.figures.Requests++
		switch {
		case r.back > mostReturns:
			em.figures.Refused++
		case !r.ended:
			em.figures.Unended++
		case r.late:
			em.figures.Late++
		}
		if r.made > 0 {
			firsts, pauses = append(firsts, r.first), append(pauses, r.pause)
		}
	}
	slices.Sort(firsts)
	slices.Sort(pauses)
	if n := len(firsts); n > 0 {
		em.figures.FirstP95, em.figures.PauseP95 = firsts[n*95/100], pauses[n*95/100]
	}
	once := float64(em.figures.Requests * em.shape.Prompt)
	em.figures.Again = max(0, float64(em.figures.Read)-once) / once
	return em.figures
}

// arrivals returns the times of all requests.
func (em *Emulator) arrivals() []time.Time {
	var out []time.Time
	for t := 0.0; ; {
		rate := em.shape.Rate
		if s := em.shape.Surge; s.For > 0 && t >= s.At.Seconds() && t < (s.At+s.For).Seconds() {
			rate *= s.Factor
		}
		t += em.random.ExpFloat64() / rate
		if t >= em.shape.Length.Seconds() {
			break
		}
		out = append(out, em.start.Add(time.Duration(t*float64(time.Second))))
	}
	if em.shape.Burst > 0 {
		const share = 10
		for range len(out) / share {
			out = append(out, em.start.Add(em.shape.Burst))
		}
		slices.SortFunc(out, time.Time.Compare)
	}
	return out
}

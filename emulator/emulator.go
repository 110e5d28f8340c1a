package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/line"
	"crocuslug/prefix"
	"crocuslug/routing"
	"crocuslug/store"
	"crocuslug/work"
)

// copySpare is the part of an engine's room that must be free for a copy.
const copySpare = 0.35

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
	line   *line.Line
}

// request is one caller's.
type request struct {
	id     int
	prompt int          // requests with the same one share what engines have cached
	waits  bool         // for an engine
	ticket *line.Ticket // in the line of its instance
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

// restart lets an instance begin without belief.
func (em *Emulator) restart(in *instance) {
	in.fleet = fleet.New(fleet.Settings{Self: in.name, Domain: domainName(in.domain)}, em.random.Uint64, zerolog.Nop())
	var domains []ident.Domain
	var near []ident.Instance
	for d := range em.shape.Domains {
		domains = append(domains, domainName(d))
	}
	for _, other := range em.instances {
		if other.domain == in.domain {
			near = append(near, other.name)
		}
	}
	in.fleet.SetInstances(domains, near)
	em.newLine(in)
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

// lose takes engines down and brings them back under new ids.
func (em *Emulator) lose() {
	for len(em.losses) > 0 && em.now.Sub(em.start) >= em.losses[0].At {
		l := em.losses[0]
		em.losses = em.losses[1:]
		for _, e := range em.engines {
			if !l.All && e.domain != l.Domain {
				continue
			}
			e.down, e.dark, e.back = true, l.Dark, em.now.Add(l.For)
			if l.Spread > 0 {
				e.back = e.back.Add(time.Duration(em.random.Int64N(int64(l.Spread))))
			}
			for _, u := range e.runs {
				u.r.lostAt(em.now, e, u)
			}
			e.runs, e.read = nil, nil
		}
	}
	for _, e := range em.engines {
		if e.down && !em.now.Before(e.back) {
			delete(em.byID, e.id())
			e.down, e.life = false, e.life+1
			em.byID[e.id()] = e
			em.publish = em.now.Add(registryLag)
		}
	}
	if !em.publish.IsZero() && !em.now.Before(em.publish) {
		em.register()
	}
}

// kill takes down the first instance of each failure domain when it is time. It
// starts again with no belief, and its callers go on at the next one.
func (em *Emulator) kill() {
	if len(em.shape.Kills) == 0 || em.now.Sub(em.start) < em.shape.Kills[0] {
		return
	}
	em.shape.Kills = em.shape.Kills[1:]
	for i := 0; i < len(em.instances); i += em.shape.Instances {
		in, next := em.instances[i], em.instances[i+em.shape.Instances-1]
		for _, r := range em.requests {
			if r.in != in || r.ended {
				continue
			}
			if r.run != nil {
				r.at.remove(r.run)
			}
			r.at, r.run, r.copyAt, r.unread = nil, nil, nil, 0
			r.in, r.next = next, em.now.Add(returnAfter)
		}
		em.restart(in)
		em.tellUpstreams(in)
	}
}

// lostAt notes when the instance of a request finds out that its run is lost.
func (r *request) lostAt(now time.Time, e *engine, u *run) {
	switch {
	case !e.dark:
		r.next = now.Add(resetFound)
	case u.left > 0:
		r.next = now.Add(probeFound)
	default:
		r.next = r.last.Add(silenceFound)
	}
}

// register tells all instances which engines there are.
func (em *Emulator) register() {
	em.publish = time.Time{}
	em.revision++
	em.known = em.known[:0:0]
	for _, e := range em.engines {
		em.known = append(em.known, directory.Upstream{
			ID: e.id(), Service: service, Address: string(e.id()), Domain: domainName(e.domain), Slots: 64, Revision: em.revision,
		})
	}
	for _, in := range em.instances {
		em.tellUpstreams(in)
	}
}

func (em *Emulator) tellUpstreams(in *instance) {
	in.fleet.SetUpstreams(em.known, func(ident.Service) int { return em.shape.Memory }, em.now)
}

// act lets instances send what is to be sent.
func (em *Emulator) act() {
	for _, r := range em.requests {
		em.heed(r)
		if r.run != nil && r.made == 0 && em.now.Sub(r.sent) >= firstPiece {
			em.leave(r, fleet.Failed)
			em.send(r)
			continue
		}
		if r.over() || r.next.IsZero() || em.now.Before(r.next) {
			continue
		}
		if r.at != nil {
			em.leave(r, fleet.Dead)
		}
		em.send(r)
	}
}

// leave takes a request off its engine.
func (em *Emulator) leave(r *request, k fleet.Kind) {
	id := lifeID(r.at, r.life)
	em.begun(r)
	r.in.fleet.Ended(id, k, 0, em.now)
	if r.run != nil {
		r.at.remove(r.run)
	}
	if r.copyAt != nil {
		r.in.fleet.Release(lifeID(r.copyAt, r.copyOf), em.now)
	}
	r.at, r.run = nil, nil
}

func lifeID(e *engine, life int) ident.Upstream {
	c := *e
	c.life = life
	return c.id()
}

// send starts or continues a request at an engine.
func (em *Emulator) send(r *request) {
	if em.queues(r) && !em.admit(r) {
		return
	}
	e, fromCopy := em.choose(r)
	if e == nil {
		r.waits = true
		r.next = em.now.Add(waitPoll)
		return
	}
	r.waits = false
	r.at, r.life = e, e.life
	r.copyAt = nil
	if e.down {
		r.next = em.now.Add(refusedFound)
		if e.dark {
			r.next = em.now.Add(unansweredFor)
		}
		return
	}
	left := em.shape.Prompt + r.made*pieceTokens
	switch {
	case fromCopy:
		left = pieceTokens
	case slices.Contains(e.read, r.prompt):
		left = max(pieceTokens, r.made*pieceTokens)
	}
	em.figures.Read += left
	r.run = &run{r: r, left: left}
	e.runs = append(e.runs, r.run)
	r.next = time.Time{}
	em.figures.MostReads = max(em.figures.MostReads, e.reading())
	r.sent = em.now
	if em.own() {
		if !fromCopy {
			r.unread = em.shape.Prompt // counted by the choice
		}
		em.backUp(r)
	}
}

// own reports whether instances choose by the project's own rule.
func (em *Emulator) own() bool { return em.rule <= Crowding }

// prompt returns the name of a request's prompt.
func (em *Emulator) prompt(r *request) []prefix.Block {
	if em.rule == Unaware {
		return nil
	}
	return []prefix.Block{prefix.Block(r.prompt)}
}

// backUp chooses where the copy of a run is kept.
func (em *Emulator) backUp(r *request) {
	ask := fleet.Ask{Service: service, Apart: domainName(r.at.domain), Spare: copySpare}
	u, kind := r.in.fleet.Pick(ask, em.now)
	if kind != routing.Send {
		return
	}
	if e := em.byID[u.ID]; e != nil {
		r.copyAt, r.copyOf = e, e.life
	}
}

// copyAnew has runs copied to another engine whose copy is known to be lost.
func (em *Emulator) copyAnew() {
	for _, r := range em.requests {
		if r.run == nil || r.made == 0 || r.at.down || r.copyAt != nil && !r.in.fleet.Gone(lifeID(r.copyAt, r.copyOf), em.now) {
			continue
		}
		if r.copyAt != nil {
			r.in.fleet.Release(lifeID(r.copyAt, r.copyOf), em.now)
			r.copyAt = nil
		}
		em.backUp(r)
	}
}

// choose returns the engine for a request by the rule.
func (em *Emulator) choose(r *request) (e *engine, fromCopy bool) {
	if e := r.place; e != nil {
		r.place = nil
		return e, false
	}
	switch em.rule {
	case Random:
		return em.byKnown(em.known[em.random.IntN(len(em.known))].ID), false
	case Least:
		return em.least(), false
	case Bound:
		return em.byKnown(em.known[r.prompt%len(em.known)].ID), false
	case Home:
		return em.byKnown(em.home(r.in.domain)), false
	}
	if c := r.copyAt; c != nil && r.made > 0 && !c.down && c.life == r.copyOf {
		if _, ok := r.in.fleet.Claim(c.id(), em.now); ok {
			return c, true
		}
	}
	ask := em.ask(r)
	ask.Paced = r.waits && em.rule != Rushing
	u, kind := r.in.fleet.Pick(ask, em.now)
	if kind != routing.Send {
		ask.Full = true
		u, kind = r.in.fleet.Pick(ask, em.now)
	}
	if kind != routing.Send {
		return nil, false
	}
	return em.byKnown(u.ID), false
}

// ask returns what an instance asks of its fleet for a request.
func (em *Emulator) ask(r *request) fleet.Ask {
	return fleet.Ask{
		Service: service, Tokens: em.shape.Prompt + em.shape.Pieces*pieceTokens,
		Blocks: em.prompt(r), Sizes: []int{em.shape.Prompt}, Reading: em.shape.Prompt,
	}
}

// byKnown returns the engine that has or had an id.
func (em *Emulator) byKnown(id ident.Upstream) *engine {
	if e := em.byID[id]; e != nil {
		return e
	}
	for _, e := range em.engines {
		for life := range e.life {
			if lifeID(e, life) == id {
				return e
			}
		}
	}
	return nil
}

// least returns the engine with the least load in the report of a while ago.
func (em *Emulator) least() *engine {
	var load map[ident.Upstream]int
	if len(em.reports) > 0 {
		load = em.reports[0]
	}
	best := em.known[0].ID
	for _, u := range em.known {
		if load[u.ID] < load[best] {
			best = u.ID
		}
	}
	return em.byKnown(best)
}

// home returns any registered engine of a failure domain, or of all if it has none.
func (em *Emulator) home(domain int) ident.Upstream {
	var near []ident.Upstream
	for _, u := range em.known {
		if u.Domain == domainName(domain) {
			near = append(near, u.ID)
		}
	}
	if len(near) == 0 {
		return em.known[em.random.IntN(len(em.known))].ID
	}
	return near[em.random.IntN(len(near))]
}

// step lets all engines go on.
func (em *Emulator) step() {
	for _, e := range em.engines {
		before := e.reading()
		for _, u := range e.step(em.now) {
			em.leave(u.r, fleet.Served)
		}
		if e.reading() == before {
			continue
		}
		for _, u := range e.runs {
			if u.left == 0 {
				em.begun(u.r)
			}
		}
	}
}

// begun notes that the prompt of a request is read, or given up.
func (em *Emulator) begun(r *request) {
	r.in.fleet.Reading(lifeID(r.at, r.life), -r.unread, em.now)
	r.unread = 0
	r.in.line.Pump(em.now)
}

// event takes one event to the caller and reports whether it was the last.
func (r *request) event(now time.Time) bool {
	limit := r.shape.Pause
	if r.made == 0 {
		limit = r.shape.Objective
		r.first = now.Sub(r.began)
	}
	r.pause = max(r.pause, now.Sub(r.last))
	r.late = r.late || now.Sub(r.last) > limit
	r.last = now
	r.made++
	r.ended = r.made >= r.shape.Pieces
	return r.ended
}

// tell passes digests and reports on.
func (em *Emulator) tell() {
	if em.now.Sub(em.start)%digestEvery != 0 {
		return
	}
	load := make(map[ident.Upstream]int)
	for _, e := range em.engines {
		load[e.id()] = len(e.runs)
	}
	em.reports = append(em.reports, load)
	if len(em.reports) > int(reportLag/digestEvery) {
		em.reports = em.reports[1:]
	}
	if !em.own() {
		return
	}
	for _, in := range em.instances {
		in.fleet.Tick(em.now)
		in.line.Expire(em.now)
		for _, r := range em.requests {
			if r.run != nil && r.in != in && r.in.domain == in.domain {
				in.fleet.Holds(lifeID(r.at, r.life), em.prompt(r), em.now)
			}
		}
		sum := make(map[ident.Upstream]work.Load)
		for _, other := range em.instances {
			if other == in {
				continue
			}
			for id, n := range other.fleet.InFlight() {
				sum[id] = work.Load{Requests: sum[id].Requests + n.Requests, Reading: sum[id].Reading + n.Reading}
			}
			for _, id := range other.fleet.Own(em.now) {
				in.fleet.ReportLost(id, em.now)
			}
		}
		in.fleet.ReportOthers(sum, em.now)
	}
	em.copyAnew()
}

package fleet_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/admission"
	"crocuslug/directory"
	"crocuslug/enginememory"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/line"
	"crocuslug/routing"
	"crocuslug/work"
)

// Sizes and times of the engines and requests of a site, those of the platform's data sheets.
const (
	engineMemory = 55_000 // tokens
	promptTokens = 5200
	answerTokens = 840
	readRate     = 5000.0 // prompt tokens per second of an engine, shared by the prompts that it reads
	maxBacklog   = 1500 * time.Millisecond
	waitShare    = 0.65 // of its objective that a stream may wait, see dispatch.Settings.QueueWaitShare

	step           = 10 * time.Millisecond
	tickInterval   = 100 * time.Millisecond
	digestInterval = 250 * time.Millisecond
	loadExpiry     = 3 * time.Second
)

// traffic is one kind of requests.
type traffic struct {
	name       string
	priority   int
	objective  time.Duration
	rate       float64 // requests per second
	workspaces int
	heavy      float64 // requests of the first workspace for each of another one
	from, to   time.Duration
	factor     float64 // of the rate between from and to
}

// request is one request at a site.
type request struct {
	traffic   *traffic
	workspace int
	at        time.Time
	claim     enginememory.Claim
	in        *instance
	pick      fleet.PickRequest
	waiter    *line.Waiter
	upstream  ident.Upstream
	unread    float64
	end       time.Time
	started   bool
	onTime    bool
	atOnce    bool // refused at once
}

// instance is one instance with its Fleet and queue.
type instance struct {
	name   ident.Instance
	domain int
	fleet  *fleet.Fleet
	queue  *line.Queue
	heard  map[int]report // by index of the instance
	summed time.Time
	round  int // of digests at the start
}

// report is what a digest tells of the load of an instance.
type report struct {
	at     time.Time
	loads  map[ident.Upstream]work.Load
	demand map[ident.Service]work.Demand
}

// site is a number of instances and engines in virtual time.
type site struct {
	now       time.Time
	steps     int // since start
	start     time.Time
	random    *rand.Rand
	byMemory  bool
	domains   int
	engines   int
	writing   time.Duration // of an answer
	instances []*instance
	held      map[ident.Upstream]int
	running   map[ident.Upstream][]*request
	all       []*request
	seq       enginememory.Claim

	overfilled map[ident.Upstream]bool
	preempted  int
	mostHeld   int
}

const serviceName ident.Service = "s"

func newSite(instances, domains, engines int, byMemory bool, seed uint64) *site {
	s := &site{
		start: time.Unix(1000, 0), now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), byMemory: byMemory, domains: domains, engines: engines,
		held: make(map[ident.Upstream]int), running: make(map[ident.Upstream][]*request), overfilled: make(map[ident.Upstream]bool),
	}
	var list []directory.Upstream
	for i := range engines {
		list = append(list, directory.Upstream{ID: ident.Upstream(fmt.Sprintf("e%03d", i)), Service: serviceName, Domain: domainOf(i % domains), Slots: 48})
	}
	var names []ident.Domain
	near := make([][]ident.Instance, domains)
	for d := range domains {
		names = append(names, domainOf(d))
	}
	for i := range instances {
		near[i%domains] = append(near[i%domains], ident.Instance(fmt.Sprintf("i%03d", i)))
	}
	for i := range instances {
		in := &instance{name: ident.Instance(fmt.Sprintf("i%03d", i)), domain: i % domains, heard: make(map[int]report), round: s.random.IntN(1 << 20)}
		in.fleet = fleet.New(fleet.Settings{Self: in.name, Domain: domainOf(in.domain), ByMemory: byMemory, KeepShares: byMemory}, s.random.Uint64, zerolog.Nop())
		in.fleet.SetUpstreams(list, func(ident.Service) int { return engineMemory }, s.now)
		in.fleet.SetInstances(names, near[in.domain])
		s.addQueue(in)
		s.instances = append(s.instances, in)
	}
	return s
}

func domainOf(d int) ident.Domain { return ident.Domain(fmt.Sprintf("d%d", d)) }

// addQueue gives an instance a queue that places streams as package dispatch does.
func (s *site) addQueue(in *instance) {
	in.queue = line.New(admission.Settings{MaxItems: 128, MaxCost: 1e9, Seed: s.random.Uint64()}, func(ident.Workspace) admission.Limits { return admission.Limits{} })
	in.queue.Capacity = func(now time.Time) (admission.Priority, bool) {
		if s.byMemory && !in.fleet.Spare(serviceName, now) {
			return admission.Urgent, in.fleet.Ready(serviceName, now)
		}
		return admission.Batch, in.fleet.Ready(serviceName, now)
	}
	in.queue.TryPlace = func(t *line.Waiter, now time.Time) bool {
		r := t.Request.(*request)
		u, kind := in.fleet.Pick(r.pick, now)
		if kind != routing.Send {
			return false
		}
		in.queue.Admission.Finish(t.ID, t.Cost)
		in.queue.Resolve(t, line.Outcome{})
		s.place(r, u.ID)
		return true
	}
}

// place starts a request at an engine.
func (s *site) place(r *request, u ident.Upstream) {
	r.upstream, r.started, r.unread = u, true, promptTokens
	s.held[u] += promptTokens + answerTokens
	s.mostHeld = max(s.mostHeld, s.held[u])
	if s.held[u] > engineMemory {
		s.overfilled[u] = true
		if r.traffic.priority == 0 && slices.ContainsFunc(s.running[u], func(v *request) bool { return v.traffic.priority > 0 }) {
			s.preempted++ // the engine takes the memory of a less urgent request
		}
	}
	s.running[u] = append(s.running[u], r)
}

// arrive passes a new request to an instance.
func (s *site) arrive(v *traffic, workspace int) {
	s.seq++
	in := s.instances[s.random.IntN(len(s.instances))]
	r := &request{traffic: v, workspace: workspace, at: s.now, claim: s.seq, in: in}
	s.all = append(s.all, r)
	priority := admission.Batch
	if v.priority == 0 {
		priority = admission.Urgent
		in.fleet.UrgentArrived(serviceName, promptTokens+answerTokens, promptTokens, s.now)
	}
	r.pick = fleet.PickRequest{Service: serviceName, Tokens: promptTokens + answerTokens, UnreadTokens: promptTokens, Claim: r.claim, Yields: v.priority > 0}
	if in.queue.Admission.WaitingDownTo(priority) == 0 {
		direct := r.pick
		direct.MaxBacklog = maxBacklog
		if u, kind := in.fleet.Pick(direct, s.now); kind == routing.Send {
			s.place(r, u.ID)
			return
		}
	}
	r.pick.RequireIdle = true
	item := admission.Item{
		ID: ident.Generation(fmt.Sprint(s.seq)), Workspace: ident.Workspace(fmt.Sprintf("w%d", workspace)), Priority: priority,
		Cost: promptTokens + answerTokens, Deadline: s.now.Add(time.Duration(waitShare * float64(v.objective))),
	}
	waiter, refusal := in.queue.Enqueue(item, r, s.now)
	if refusal != nil {
		r.atOnce = true
		return
	}
	r.waiter = waiter
	in.queue.Grant(s.now)
}

// run lets the site work for a time.
func (s *site) run(traffics []*traffic, length time.Duration) {
	due := make([]float64, len(traffics))
	for ; s.now.Sub(s.start) < length; s.steps++ {
		k := s.steps
		since := s.now.Sub(s.start)
		for i, v := range traffics {
			rate := v.rate
			if since >= v.from && since < v.to {
				rate *= v.factor
			}
			for due[i] += rate * step.Seconds() * 2 * s.random.Float64(); due[i] >= 1; due[i]-- {
				s.arrive(v, v.draw(s.random))
			}
		}
		s.work()
		for i, in := range s.instances {
			if (k+i)%int(tickInterval/step) == 0 {
				in.queue.Expire(s.now)
				in.fleet.SetUrgentWaiting(serviceName, int(in.queue.Admission.CostDownTo(admission.Urgent)))
			}
			if every := int(digestInterval / step); (k+i)%every == 0 {
				s.sendDigests(i, in.round+(k+i)/every)
			}
		}
		s.now = s.now.Add(step)
	}
}

// draw returns the workspace of a request.
func (v *traffic) draw(random *rand.Rand) int {
	if x := random.Float64() * (v.heavy + float64(v.workspaces-1)); x >= v.heavy {
		return 1 + int(x-v.heavy)
	}
	return 0
}

// work lets the engines read and write for one step.
func (s *site) work() {
	for _, u := range slices.Sorted(maps.Keys(s.running)) {
		reading := 0
		for _, r := range s.running[u] {
			if r.unread > 0 {
				reading++
			}
		}
		for _, r := range slices.Clone(s.running[u]) {
			switch {
			case r.unread > 0:
				if r.unread -= readRate * step.Seconds() / float64(reading); r.unread <= 0 {
					r.onTime = s.now.Sub(r.at) <= r.traffic.objective
					r.end = s.now.Add(s.writing)
					r.in.fleet.AddUnreadTokens(u, -promptTokens, s.now)
					r.in.queue.Grant(s.now) // may place further requests here
				}
			case !s.now.Before(r.end):
				s.held[u] -= promptTokens + answerTokens
				s.running[u] = slices.DeleteFunc(s.running[u], func(v *request) bool { return v == r })
				r.in.fleet.ReportEnd(u, fleet.Served, 0, s.now)
				r.in.fleet.ReleaseMemory(r.claim, s.now)
			}
		}
	}
}

// sendDigests sends the load of an instance to four peers in its domain and four others.
func (s *site) sendDigests(i, turn int) {
	const each = 4
	in := s.instances[i]
	v := report{s.now, in.fleet.InFlight(), in.fleet.Demand(s.now)}
	var near, far []int
	for j, other := range s.instances {
		switch {
		case j == i:
		case other.domain == in.domain:
			near = append(near, j)
		default:
			far = append(far, j)
		}
	}
	for _, list := range [][]int{near, far} {
		for k := range min(each, len(list)) {
			s.receive(s.instances[list[(turn*each+k)%len(list)]], i, v)
		}
	}
}

// receive applies a digest as package edge does.
func (s *site) receive(in *instance, from int, v report) {
	in.heard[from] = v
	if s.now.Sub(in.summed) < time.Duration(len(s.instances))*time.Millisecond {
		return
	}
	in.summed = s.now
	loads := make(map[ident.Upstream]work.Load)
	o := fleet.Others{Live: 1, Heard: 1, Demand: make(map[ident.Service]work.Demand)}
	near := (len(s.instances)+s.domains-1)/s.domains - 1
	far := len(s.instances) - 1 - near
	for _, r := range in.heard {
		if s.now.Sub(r.at) > loadExpiry {
			continue
		}
		o.Live++
		o.Heard++
		for u, n := range r.loads {
			if s.byMemory {
				n = n.Aged(readRate/2, s.now.Sub(r.at))
			}
			loads[u] = loads[u].Plus(n)
		}
		o.Demand[serviceName] = o.Demand[serviceName].Plus(r.demand[serviceName])
	}
	o.Live = len(s.instances)
	o.ReportAge = min(time.Duration(max(near, far)+3)/4*digestInterval+digestInterval, loadExpiry)
	o.NearAge = min(time.Duration(near+3)/4*digestInterval+digestInterval, loadExpiry)
	in.fleet.ReportPeerLoads(loads, s.now)
	if s.byMemory {
		in.fleet.ReportOthers(o, s.now)
	}
}

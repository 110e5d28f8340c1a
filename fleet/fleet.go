// Package fleet chooses upstreams among those that are registered.
//
// It joins what three packages know: registry tells which upstreams exist and
// which are leaving, health which of them fail, and routing how loaded they
// are. A model engine's room is bound by its memory for tokens before its
// slots, so the slots that routing counts with follow from the size that
// requests of the service were seen to have. Copies of runs hold memory too
// and are counted as requests at the engine that keeps them.
package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/affinity"
	"crocuslug/directory"
	"crocuslug/health"
	"crocuslug/ident"
	"crocuslug/prefix"
	"crocuslug/routing"
	"crocuslug/store"
	"crocuslug/unit"
	"crocuslug/work"
)

// Settings of a Fleet. The zero value takes the defaults.
type Settings struct {
	Self    ident.Instance // the own instance; needed only for SetInstances
	Domain  ident.Domain   // the own failure domain
	Routing routing.Settings
	Health  health.Settings
}

// Choices of a Fleet's chooser. Counts of requests in flight are exact here and
// fresh from the other instances, so one draw more than two makes no herds.
const defaultChoices = 3

// defaultPrefillRate is the prompt tokens that an engine reads in a second, as
// the platform's sheets state it.
const defaultPrefillRate = 5000

// defaultFarCost lets an upstream of the own failure domain have about two
// requests more than one elsewhere. A run there outlives the loss of the way to
// other domains, and its copy in another one the loss of the own.
const defaultFarCost = 200 * time.Millisecond

// defaultLeastSaving is the time that a prompt read before must save to bear on
// the choice. Parts that all prompts share are soon read everywhere, and would
// send many to the few upstreams that had them first.
const defaultLeastSaving = 100 * time.Millisecond

// mostShared is the number of instances of a failure domain up to which each
// hears of the others' requests several times a second. Then it leaves their
// shares alone but for idle upstreams; with more, what it knows of them is too old
// to tell.
const mostShared = 12

// Kind tells how a request ended at an upstream.
type Kind int

// Kinds of ends.
const (
	Served    Kind = iota // answered, or ended for a reason that is not the upstream's
	Failed                // broken off, silent or answered with what is no answer
	Dead                  // no connection could be made
	Replaced              // another upstream has its address
	Abandoned             // the caller left; says nothing of the upstream
)

// Ask is what an upstream is chosen for.
type Ask struct {
	Service ident.Service
	Tokens  int              // that the request will hold at a model engine; 0 if unknown
	Blocks  []prefix.Block   // of its prompt
	Sizes   []int            // tokens of each of Blocks
	Exclude []ident.Upstream // not chosen
	Apart   ident.Domain     // if set, none in this failure domain is chosen
	Full    bool             // one that is full may be chosen
	Paced   bool             // one of many that wait: only an upstream is chosen where no prompt is read, of the own share or idle for a while
	Spare   float64          // part of an upstream's room that must be free
	Backlog time.Duration    // if set, none is chosen that takes longer to read the prompts that it has
	Reading int              // prompt tokens that count as unread at the upstream until Reading takes them back
}

// Fleet is the choice of one instance. Its methods may be called from any
// goroutine.
type Fleet struct {
	// OnLost is called when an upstream has failed or died, or another has its
	// address, with the uptime at which it was last heard. It must not call the
	// fleet. It is set before use.
	OnLost func(u directory.Upstream, k Kind, heard time.Duration)

	mu       sync.Mutex
	cfg      Settings
	domains  []ident.Domain   // that divide the upstreams among themselves, sorted
	sharers  []ident.Instance // that divide the own domain's share, sorted
	log      zerolog.Logger
	random   func() uint64
	services map[ident.Service]*group
	all      map[ident.Upstream]directory.Upstream
	losses   map[ident.Upstream]time.Time     // upstreams found dead lately, here or elsewhere
	own      map[ident.Upstream]time.Time     // those found here
	hit      map[ident.Domain]time.Time       // failure domains that lost several at once
	heard    map[ident.Upstream]time.Duration // uptime of the last word of each
	replaced map[ident.Upstream]store.Version // whose address another has, by the revision of their entry
}

// New returns an empty fleet. The function random returns 64 random bits at
// each call and is called with the fleet locked.
func New(cfg Settings, random func() uint64, log zerolog.Logger) *Fleet {
	if cfg.Routing.Choices <= 0 {
		cfg.Routing.Choices = defaultChoices
	}
	if cfg.Routing.PrefillRate <= 0 {
		cfg.Routing.PrefillRate = defaultPrefillRate
	}
	if cfg.Routing.FarCost <= 0 {
		cfg.Routing.FarCost = unit.Duration(defaultFarCost)
	}
	if cfg.Routing.LeastSaving <= 0 {
		cfg.Routing.LeastSaving = unit.Duration(defaultLeastSaving)
	}
	return &Fleet{
		cfg:      cfg,
		log:      log,
		random:   random,
		services: make(map[ident.Service]*group),
		all:      make(map[ident.Upstream]directory.Upstream),
		losses:   make(map[ident.Upstream]time.Time),
		own:      make(map[ident.Upstream]time.Time),
		replaced: make(map[ident.Upstream]store.Version),
		hit:      make(map[ident.Domain]time.Time),
		heard:    make(map[ident.Upstream]time.Duration),
	}
}

// SetUpstreams replaces the list of upstreams. The function memory returns the
// tokens that one upstream of a service holds, or 0.
func (f *Fleet) SetUpstreams(list []directory.Upstream, memory func(ident.Service) int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	byService := make(map[ident.Service][]directory.Upstream)
	restarted := make(map[ident.Upstream]bool)
	all := make(map[ident.Upstream]directory.Upstream, len(list))
	for _, u := range list {
		if old, ok := f.all[u.ID]; ok && (old.Born != u.Born || old.Address != u.Address) {
			restarted[u.ID] = true
		}
		all[u.ID] = u
		if f.replaced[u.ID] > 0 && f.replaced[u.ID] < u.Revision {
			delete(f.replaced, u.ID)
		}
		byService[u.Service] = append(byService[u.Service], u)
	}
	f.all = all
	for id := range f.replaced {
		if _, ok := all[id]; !ok {
			delete(f.replaced, id)
		}
	}
	for id := range f.heard {
		if _, ok := all[id]; !ok {
			delete(f.heard, id)
		}
	}
	for name, g := range f.services {
		if len(byService[name]) == 0 {
			g.set(nil, f, restarted, now)
		}
	}
	for name, us := range byService {
		g := f.group(name)
		g.memory = memory(name)
		g.set(us, f, restarted, now)
	}
}

// SetInstances tells which failure domains have instances, and which instances
// the own one has. Each has a share of the upstreams, to which it sends what has
// waited: all see the same upstreams free at the same time and each other's
// choices only later, so without shares they would meet there.
func (f *Fleet) SetInstances(domains []ident.Domain, near []ident.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	domains, near = slices.Clone(domains), slices.Clone(near)
	slices.Sort(domains)
	slices.Sort(near)
	if slices.Equal(domains, f.domains) && slices.Equal(near, f.sharers) {
		return
	}
	f.domains, f.sharers = domains, near
	f.log.Info().Int("Domains", len(domains)).Int("Near", len(near)).Msg("shares of upstreams changed")
	for _, g := range f.services {
		g.offer(f)
	}
}

// group returns the group of a service. The lock is held.
func (f *Fleet) group(name ident.Service) *group {
	g, ok := f.services[name]
	if !ok {
		g = &group{
			chooser: routing.New(f.cfg.Routing, f.cfg.Domain, f.random, affinity.New(affinity.Settings{})),
			tracker: health.New(f.cfg.Health),
			trials:  make(map[ident.Upstream]bool),
			resting: make(map[ident.Upstream]time.Time),
		}
		f.services[name] = g
	}
	return g
}

// apply carries out changes of health. The lock is held.
func (f *Fleet) apply(g *group, changes []health.Change, now time.Time) {
	for _, c := range changes {
		switch c.State {
		case health.In:
			g.chooser.SetOut(c.Upstream, false)
		case health.Out:
			delete(g.trials, c.Upstream)
			g.chooser.SetOut(c.Upstream, true)
		case health.Trial:
			g.trials[c.Upstream] = true
			g.chooser.SetOut(c.Upstream, false)
		}
		u := f.all[c.Upstream]
		f.log.Info().Str("Upstream", string(c.Upstream)).Str("Address", u.Address).Str("UpstreamDomain", string(u.Domain)).
			Stringer("State", c.State).Time("At", now).Msg("upstream health changed")
	}
}

// Pick chooses the upstream of a request and counts it there until Ended or
// Release. The kind is Send, Wait if all are full, or NoUpstream.
func (f *Fleet) Pick(a Ask, now time.Time) (directory.Upstream, routing.Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g, ok := f.services[a.Service]
	if !ok {
		return directory.Upstream{}, routing.NoUpstream
	}
	g.learn(a.Tokens, f)
	d := g.chooser.Choose(routing.Request{
		Blocks: a.Blocks, Sizes: a.Sizes, PromptTokens: a.Tokens, Exclude: a.Exclude, Apart: a.Apart, Resumed: a.Full,
		Paced: a.Paced, Spare: a.Spare, MostBacklog: a.Backlog, Shared: len(f.sharers) <= mostShared,
	}, now)
	if d.Kind != routing.Send {
		return directory.Upstream{}, d.Kind
	}
	if g.trials[d.Upstream] || g.tracker.Dead(d.Upstream) {
		g.trials[d.Upstream] = true
		g.chooser.SetOut(d.Upstream, true) // one request is the trial
	}
	g.chooser.Reading(d.Upstream, a.Reading, now)
	return f.all[d.Upstream], routing.Send
}

// Ready reports whether a request that waits for a service would find an
// upstream.
func (f *Fleet) Ready(service ident.Service, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g, ok := f.services[service]
	return ok && g.chooser.Ready(now)
}

// Reading adds to the prompt tokens that an upstream has yet to read for own
// requests; tokens is negative once they are read.
func (f *Fleet) Reading(id ident.Upstream, tokens int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u, ok := f.all[id]; ok {
		f.services[u.Service].chooser.Reading(id, tokens, now)
	}
}

// Holds notes that another instance has sent an upstream a prompt.
func (f *Fleet) Holds(id ident.Upstream, blocks []prefix.Block, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u, ok := f.all[id]; ok {
		f.services[u.Service].chooser.Holds(id, blocks, now)
	}
}

// Gone reports whether an upstream is known to have lost its memory: it is not
// registered any more, another has its address, or it was found dead.
func (f *Fleet) Gone(id ident.Upstream, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok := f.all[id]
	if !ok {
		return true
	}
	if at, ok := f.losses[id]; ok && now.Sub(at) <= hitWindow {
		return true
	}
	_, ok = f.replaced[u.ID]
	return ok
}

// Claim counts a request at an upstream that was not picked here, such as the
// holder of a copy. It returns false if the upstream is unknown or out.
func (f *Fleet) Claim(id ident.Upstream, now time.Time) (directory.Upstream, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok := f.all[id]
	if !ok {
		return directory.Upstream{}, false
	}
	d := f.services[u.Service].chooser.Choose(routing.Request{Only: id, Resumed: true}, now)
	return u, d.Kind == routing.Send
}

// Release takes back what Pick or Claim counted, without a word on the health.
func (f *Fleet) Release(id ident.Upstream, now time.Time) {
	f.Ended(id, Abandoned, 0, now)
}

// Ended tells how a request ended at an upstream, with the time to its first
// answer if it was served.
func (f *Fleet) Ended(id ident.Upstream, k Kind, latency time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok := f.all[id]
	if !ok {
		return
	}
	g := f.services[u.Service]
	o := health.Outcome{Upstream: id, Latency: latency, Trial: g.trials[id]}
	switch k {
	case Abandoned:
		g.chooser.Done(id, now)
		if g.trials[id] {
			g.chooser.SetOut(id, false) // the trial is still to be made
		}
		return
	case Served:
		g.chooser.Done(id, now)
	case Failed:
		o.Kind = health.Failed
		g.chooser.Failed(id, now)
	case Dead, Replaced:
		o.Kind = health.Refused
		g.chooser.Failed(id, now)
	}
	f.observe(g, o, now)
	if k == Replaced {
		f.replaced[id] = u.Revision
		f.own[id] = now
		g.offer(f)
	}
	if k == Dead {
		f.own[id] = now
		f.lost(u, now)
	}
	if heard, ok := f.heard[id]; ok && f.OnLost != nil && k != Served {
		f.OnLost(u, k, heard)
	}
}

// Answered tells that an upstream has begun to answer a stream, which may go on
// for longer than a trial may take.
func (f *Fleet) Answered(id ident.Upstream, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok := f.all[id]
	if !ok {
		return
	}
	if g := f.services[u.Service]; g.trials[id] {
		f.observe(g, health.Outcome{Upstream: id, Trial: true}, now)
	}
}

// observe takes in how a request ended, which may have been a trial. The lock
// is held.
func (f *Fleet) observe(g *group, o health.Outcome, now time.Time) {
	f.apply(g, g.tracker.Observe(o, now), now)
	if !o.Trial {
		return
	}
	delete(g.trials, o.Upstream)
	rests := g.tracker.Dead(o.Upstream)
	g.chooser.SetOut(o.Upstream, rests || g.tracker.Out(o.Upstream))
	if rests {
		g.resting[o.Upstream] = now
	}
}

// Heard notes that an upstream lived at an uptime of this machine.
func (f *Fleet) Heard(id ident.Upstream, uptime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.all[id]; ok {
		f.heard[id] = max(f.heard[id], uptime)
	}
}

// Tick lets health change with time. It is called several times a second.
func (f *Fleet) Tick(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.services {
		g.wake(now)
		f.apply(g, g.tracker.Tick(now), now)
	}
}

// Counts are the upstreams of a service by what is believed of them, and the own
// requests there.
type Counts struct {
	Registered, Leaving, Out, Replaced int
	UnderWay                           int // requests, with copies of runs
	Unread                             int // prompt tokens
}

// Services returns the services that have had upstreams, by name.
func (f *Fleet) Services() []ident.Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.services))
}

// Count returns the upstreams of a service by what is believed of them.
func (f *Fleet) Count(service ident.Service) Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	var c Counts
	g, ok := f.services[service]
	if !ok {
		return c
	}
	for _, u := range g.list {
		c.Registered++
		_, replaced := f.replaced[u.ID]
		switch {
		case u.Draining:
			c.Leaving++
		case replaced:
			c.Replaced++
		case g.chooser.IsOut(u.ID):
			c.Out++
		}
	}
	for _, n := range g.chooser.InFlight() {
		c.UnderWay += n.Requests
		c.Unread += n.Reading
	}
	return c
}

// ReportOthers takes the requests that other instances have at upstreams.
func (f *Fleet) ReportOthers(counts map[ident.Upstream]work.Load, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.services {
		g.chooser.ReportOthers(counts, now)
	}
}

// InFlight returns the own requests at each upstream that has any.
func (f *Fleet) InFlight() map[ident.Upstream]work.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[ident.Upstream]work.Load)
	for _, g := range f.services {
		for id, n := range g.chooser.InFlight() {
			out[id] = n
		}
	}
	return out
}

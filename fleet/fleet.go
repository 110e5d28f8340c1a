// Package fleet chooses an upstream for each request among the registered ones.
//
// It combines the state of three packages: registry lists the upstreams and marks
// the leaving ones, health tracks which of them fail, and routing estimates their
// load. The capacity of a model engine is limited by its memory for tokens before
// its slots are used up, so the number of slots passed to routing is derived from
// the mean size of the service's requests. A copy of a run uses memory as well and
// counts as a request at the engine that stores it.
package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/affinity"
	"crocuslug/directory"
	"crocuslug/enginememory"
	"crocuslug/health"
	"crocuslug/ident"
	"crocuslug/prefix"
	"crocuslug/routing"
	"crocuslug/store"
	"crocuslug/unit"
)

// Fleet chooses upstreams on behalf of one instance. Its methods are safe for
// concurrent use.
type Fleet struct {
	// OnLost is called when an upstream has failed, is dead or was replaced, with the
	// uptime of this machine at which it was last known to be alive. It must not call
	// methods of the Fleet and must be set before the first use.
	OnLost func(u directory.Upstream, outcome Outcome, lastAlive time.Duration)

	mu             sync.Mutex
	cfg            Settings
	domains        []ident.Domain   // failure domains that share the upstreams, sorted
	instances      []ident.Instance // instances that divide this domain's share, sorted
	log            zerolog.Logger
	random         func() uint64
	services       map[ident.Service]*group
	upstreams      map[ident.Upstream]directory.Upstream
	lostAt         map[ident.Upstream]time.Time     // when upstreams were last found dead, by any instance
	foundDead      map[ident.Upstream]time.Time     // when upstreams were last found dead by this instance
	domainFailedAt map[ident.Domain]time.Time       // when failure domains last lost several upstreams at once
	lastAlive      map[ident.Upstream]time.Duration // uptime of this machine when each upstream was last known to be alive
	replaced       map[ident.Upstream]store.Version // registry revisions of upstreams whose address another upstream has taken
	foundReplaced  map[ident.Upstream]time.Time     // when some of them were found; FoundReplaced returns them for replacedReportTime
}

// New returns a Fleet without upstreams. The function random returns 64 random bits
// per call; it is called with the Fleet's lock held.
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
	if cfg.Routing.AnswerTime <= 0 {
		cfg.Routing.AnswerTime = unit.Duration(defaultAnswerTime)
	}
	if cfg.Routing.MinSaving <= 0 {
		cfg.Routing.MinSaving = unit.Duration(defaultMinSaving)
	}
	return &Fleet{
		cfg:            cfg,
		log:            log,
		random:         random,
		services:       make(map[ident.Service]*group),
		upstreams:      make(map[ident.Upstream]directory.Upstream),
		lostAt:         make(map[ident.Upstream]time.Time),
		foundDead:      make(map[ident.Upstream]time.Time),
		replaced:       make(map[ident.Upstream]store.Version),
		foundReplaced:  make(map[ident.Upstream]time.Time),
		domainFailedAt: make(map[ident.Domain]time.Time),
		lastAlive:      make(map[ident.Upstream]time.Duration),
	}
}

// SetUpstreams replaces the list of upstreams. The function memory returns the memory
// of one upstream of a service in tokens, or 0 if it is unlimited.
func (f *Fleet) SetUpstreams(list []directory.Upstream, memory func(ident.Service) int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	byService := make(map[ident.Service][]directory.Upstream)
	restarted := make(map[ident.Upstream]bool)
	all := make(map[ident.Upstream]directory.Upstream, len(list))
	for _, u := range list {
		if old, ok := f.upstreams[u.ID]; ok && (old.Born != u.Born || old.Address != u.Address) {
			restarted[u.ID] = true
		}
		all[u.ID] = u
		if f.replaced[u.ID] > 0 && f.replaced[u.ID] < u.Revision {
			delete(f.replaced, u.ID)
		}
		byService[u.Service] = append(byService[u.Service], u)
	}
	f.upstreams = all
	for id := range f.replaced {
		if _, ok := all[id]; !ok {
			delete(f.replaced, id)
		}
	}
	for id := range f.lastAlive {
		if _, ok := all[id]; !ok {
			delete(f.lastAlive, id)
		}
	}
	for name, g := range f.services {
		if len(byService[name]) == 0 {
			g.setUpstreams(nil, f, restarted, now)
		}
	}
	for name, us := range byService {
		g := f.group(name)
		g.memoryTokens = memory(name)
		g.setUpstreams(us, f, restarted, now)
	}
}

// SetInstances sets the failure domains that have instances and the instances of this
// failure domain. Each instance has a share of the upstreams, to which it sends the
// requests that had to wait. All instances see the same upstreams become free at the
// same time but see each other's choices only later, so without shares they would all
// send their waiting requests to the same upstreams.
func (f *Fleet) SetInstances(domains []ident.Domain, instances []ident.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	domains, instances = slices.Clone(domains), slices.Clone(instances)
	slices.Sort(domains)
	slices.Sort(instances)
	if slices.Equal(domains, f.domains) && slices.Equal(instances, f.instances) {
		return
	}
	f.domains, f.instances = domains, instances
	f.log.Info().Int("Domains", len(domains)).Int("Near", len(instances)).Msg("shares of upstreams changed")
	for _, g := range f.services {
		g.updateCandidates(f)
	}
}

// group returns the group of a service and creates it if needed. f.mu must be held.
func (f *Fleet) group(name ident.Service) *group {
	g, ok := f.services[name]
	if !ok {
		g = &group{
			chooser:    routing.New(f.cfg.Routing, f.cfg.Domain, f.random, affinity.New(affinity.Settings{})),
			tracker:    health.New(f.cfg.Health),
			trials:     make(map[ident.Upstream]bool),
			backingOff: make(map[ident.Upstream]time.Time),
		}
		if f.cfg.ByMemory {
			g.memory = enginememory.NewLedger(f.cfg.KeepShares)
		}
		f.services[name] = g
	}
	return g
}

// applyHealth applies changes of health to the chooser of g. f.mu must be held.
func (f *Fleet) applyHealth(g *group, changes []health.Change, now time.Time) {
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
		u := f.upstreams[c.Upstream]
		f.log.Info().Str("Upstream", string(c.Upstream)).Str("Address", u.Address).Str("UpstreamDomain", string(u.Domain)).
			Stringer("State", c.State).Time("At", now).Msg("upstream health changed")
	}
}

// Pick chooses the upstream for a request and counts the request there until ReportEnd
// or Release is called. The kind is Send, Wait if all upstreams are full or busy, or
// NoUpstream.
func (f *Fleet) Pick(a PickRequest, now time.Time) (directory.Upstream, routing.Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g, ok := f.services[a.Service]
	if !ok {
		return directory.Upstream{}, routing.NoUpstream
	}
	g.recordSize(a.Tokens, f)
	if a.Yields && g.counts() && !g.memory.Spare(a.Tokens, g.usable, now) {
		return directory.Upstream{}, routing.Wait
	}
	busy := g.counts() && g.memory.Busy()
	d := g.chooser.Choose(routing.Request{
		Blocks: a.Blocks, Sizes: a.Sizes, PromptTokens: a.Tokens, Exclude: a.Exclude, ExcludeDomain: a.ExcludeDomain, Build: a.Build, ExcludeBuild: a.ExcludeBuild, Resumed: a.AllowFull,
		RequireIdle: a.RequireIdle, MinFreeShare: a.MinFreeShare, MaxBacklog: a.MaxBacklog, RespectShares: len(f.instances) <= maxSharingInstances || busy,
		Fits: g.fits(&a, now),
	}, now)
	if d.Kind != routing.Send {
		return directory.Upstream{}, d.Kind
	}
	if g.trials[d.Upstream] || g.tracker.Dead(d.Upstream) {
		g.trials[d.Upstream] = true
		g.chooser.SetOut(d.Upstream, true) // only one request at a time is sent as a trial
	}
	g.chooser.AddUnreadTokens(d.Upstream, a.UnreadTokens, now)
	g.claim(a.Claim, d.Upstream, a.Tokens, now)
	return f.upstreams[d.Upstream], routing.Send
}

// Upstream returns an upstream as it is registered now.
func (f *Fleet) Upstream(id ident.Upstream) (directory.Upstream, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok := f.upstreams[id]
	return u, ok
}

// AddUnreadTokens adds to the prompt tokens that an upstream has not read yet for the
// requests of this instance. A negative number marks tokens as read.
func (f *Fleet) AddUnreadTokens(id ident.Upstream, tokens int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u, ok := f.upstreams[id]; ok {
		f.services[u.Service].chooser.AddUnreadTokens(id, tokens, now)
	}
}

// NotePrompt records that another instance has sent a prompt to an upstream.
func (f *Fleet) NotePrompt(id ident.Upstream, blocks []prefix.Block, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u, ok := f.upstreams[id]; ok {
		f.services[u.Service].chooser.NotePrompt(id, blocks, now)
	}
}

// MemoryLost reports whether the memory of an upstream is known to be lost, because the
// upstream is no longer registered, was replaced or was recently found dead.
func (f *Fleet) MemoryLost(id ident.Upstream, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok := f.upstreams[id]
	if !ok {
		return true
	}
	if at, ok := f.lostAt[id]; ok && now.Sub(at) <= domainFailureWindow {
		return true
	}
	_, ok = f.replaced[u.ID]
	return ok
}

// Reserve counts a request at a given upstream, such as the one that stores a copy of
// the run. It returns false if the upstream is unknown or out of rotation.
func (f *Fleet) Reserve(id ident.Upstream, now time.Time) (directory.Upstream, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reserve(id, now)
}

// reserve does what Reserve does. f.mu must be held.
func (f *Fleet) reserve(id ident.Upstream, now time.Time) (directory.Upstream, bool) {
	u, ok := f.upstreams[id]
	if !ok {
		return directory.Upstream{}, false
	}
	d := f.services[u.Service].chooser.Choose(routing.Request{Only: id, Resumed: true}, now)
	return u, d.Kind == routing.Send
}

// Release reverses the count of Pick or Reserve without reporting on the upstream's
// health.
func (f *Fleet) Release(id ident.Upstream, now time.Time) {
	f.ReportEnd(id, Abandoned, 0, now)
}

// ReportEnd records how a request ended at an upstream. The latency is the time to the
// start of the answer and is used only if the request was served.
func (f *Fleet) ReportEnd(id ident.Upstream, outcome Outcome, latency time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok := f.upstreams[id]
	if !ok {
		return
	}
	g := f.services[u.Service]
	o := health.Outcome{Upstream: id, Latency: latency, Trial: g.trials[id]}
	switch outcome {
	case Abandoned:
		g.chooser.Done(id, now)
		if g.trials[id] {
			g.chooser.SetOut(id, false) // the next request is the trial instead
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
	if outcome == Replaced {
		f.replaced[id] = u.Revision
		f.foundReplaced[id] = now
		f.foundDead[id] = now
		g.updateCandidates(f)
	}
	if outcome == Dead {
		f.foundDead[id] = now
		f.recordDeath(u, now)
	}
	if lastAlive, ok := f.lastAlive[id]; ok && f.OnLost != nil && outcome != Served {
		f.OnLost(u, outcome, lastAlive)
	}
}

// ReportStreamStart records that an upstream has started to answer a stream. This ends a
// trial, since a stream may take longer than the time limit of a trial.
func (f *Fleet) ReportStreamStart(id ident.Upstream, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok := f.upstreams[id]
	if !ok {
		return
	}
	if g := f.services[u.Service]; g.trials[id] {
		f.observe(g, health.Outcome{Upstream: id, Trial: true}, now)
	}
}

// observe passes the outcome of a request to the tracker and ends the trial if the
// request was one. f.mu must be held.
func (f *Fleet) observe(g *group, o health.Outcome, now time.Time) {
	f.applyHealth(g, g.tracker.Observe(o, now), now)
	if !o.Trial {
		return
	}
	delete(g.trials, o.Upstream)
	stillDead := g.tracker.Dead(o.Upstream)
	g.chooser.SetOut(o.Upstream, stillDead || g.tracker.Out(o.Upstream))
	if stillDead {
		g.backingOff[o.Upstream] = now
	}
}

// ReportAlive records that an upstream was alive at the given uptime of this machine.
func (f *Fleet) ReportAlive(id ident.Upstream, uptime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.upstreams[id]; ok {
		f.lastAlive[id] = max(f.lastAlive[id], uptime)
	}
}

// AliveWithin reports whether an upstream was known to be alive within a time before the given uptime of
// this machine.
func (f *Fleet) AliveWithin(id ident.Upstream, within, uptime time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.lastAlive[id]
	return ok && uptime-at <= within
}

// Tick ends back-offs and applies the changes of health that are due. It must be called
// several times a second.
func (f *Fleet) Tick(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.services {
		g.endBackOff(now)
		f.applyHealth(g, g.tracker.Tick(now), now)
	}
}

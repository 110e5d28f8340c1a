// Package owner runs the generations that this instance owns.
//
// It is the adapter around package generation: it gives the machines their
// events from engine streams, replicas, callers and the timer service, and
// carries out their actions. Control state is not touched here; what the
// machines need to know of it comes through the function fields of Ports.
package owner

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"crocuslug/batch"
	"crocuslug/engineclient"
	"crocuslug/generation"
	"crocuslug/ident"
	"crocuslug/outbox"
	"crocuslug/replica"
	"crocuslug/result"
	"crocuslug/timer"
)

// Settings bound an Owner. Zero values mean the defaults.
type Settings struct {
	Generation generation.Settings
	Sweep      time.Duration // interval of looking at time limits
	Retention  time.Duration // how long an answer is kept after its end
	Window     int           // tokens that a generation may be ahead of its caller
	KeepAlive  time.Duration // interval of signs of life to callers
}

// Defaults of Settings.
const (
	defaultSweep     = 20 * time.Millisecond
	defaultRetention = 60 * time.Second
	defaultWindow    = 4096
	defaultKeepAlive = 5 * time.Second
)

// Ports are what an Owner needs of the rest of the instance.
type Ports struct {
	Instance ident.Instance
	Timer    *timer.Service
	Log      zerolog.Logger
	Tracer   trace.Tracer
	Engines  *engineclient.Client
	Outbox   *outbox.Outbox

	// ChooseEngine picks an engine for a generation and counts it as busy there.
	ChooseEngine func(c EngineQuery) (ident.Upstream, *result.Error)
	// ReleaseEngine ends what ChooseEngine counted. Cause is 0 if nothing failed.
	ReleaseEngine func(u ident.Upstream, spec generation.Spec, cause generation.LossCause)
	// Address returns where an engine listens.
	Address func(u ident.Upstream) (string, bool)
	// Blame tells that an engine died while it ran a generation. It must not block.
	Blame func(u ident.Upstream, spec generation.Spec)
	// ChooseReplica picks an instance to hold the copy, or returns "".
	ChooseReplica func(spec generation.Spec, avoid []ident.Instance) ident.Instance
	// Progress tells of tokens that were taken in; first is the wait for the
	// first token of the generation, or 0.
	Progress func(u ident.Upstream, spec generation.Spec, tokens int, first time.Duration)
	// Opened takes in the load that an engine told when it answered, of before it
	// took a stream that was started. It reports whether another engine should be
	// tried because this one is full.
	Opened func(u ident.Upstream, load string, started bool) (full bool)
	// Paced tells how long an engine took for some tokens of one stream.
	Paced func(u ident.Upstream, tokens int, took time.Duration, first bool)
	// Recovered tells how long a caller waited after a loss.
	Recovered func(d time.Duration)
	// Ended tells of the end of a generation.
	Ended func(g *Generation)
}

// EngineQuery says what an engine is chosen for.
type EngineQuery struct {
	Spec    generation.Spec
	Exclude []ident.Upstream
	Resumed bool
	Held    int // tokens to continue from
}

// Owner holds the generations of this instance. Its methods may be called from
// any goroutine.
type Owner struct {
	cfg   Settings
	ports Ports

	pause sync.RWMutex // held for writing while the owner is paused

	mu          sync.Mutex
	generations map[ident.Generation]*Generation
	byName      map[replica.Name]*Generation
	sweep       *timer.Subscription
	lastTick    time.Time // used by tick alone
}

// New returns an owner without generations.
func New(cfg Settings, ports Ports) *Owner {
	if cfg.Sweep == 0 {
		cfg.Sweep = defaultSweep
	}
	if cfg.Retention == 0 {
		cfg.Retention = defaultRetention
	}
	if cfg.Window == 0 {
		cfg.Window = defaultWindow
	}
	if cfg.KeepAlive == 0 {
		cfg.KeepAlive = defaultKeepAlive
	}
	return &Owner{
		cfg:         cfg,
		ports:       ports,
		generations: make(map[ident.Generation]*Generation),
		byName:      make(map[replica.Name]*Generation),
	}
}

// Run begins to look at time limits.
func (o *Owner) Run() {
	o.sweep = o.ports.Timer.Every(o.cfg.Sweep, o.tick)
}

// Pause holds back all events of generations and all reading of answers until
// it is called with false, as when the process is stopped.
func (o *Owner) Pause(paused bool) {
	if paused {
		o.pause.Lock()
		return
	}
	o.pause.Unlock()
}

// Stop ends all streams without telling anyone, as a crash would.
func (o *Owner) Stop() {
	if o.sweep != nil {
		o.sweep.Stop()
	}
	for _, g := range o.all() {
		g.abandon()
	}
}

// Start begins a generation. Carrier holds the headers of the request's trace
// and may be nil. Finish is called once with the number of tokens when the
// generation is over, and may be nil.
func (o *Owner) Start(spec generation.Spec, carrier propagation.MapCarrier, finish func(tokens int)) *Generation {
	g := newGeneration(o, generation.New(o.cfg.Generation, spec), 0)
	g.trace, g.finish = carrier, finish
	return o.add(g)
}

// Adopt goes on with a generation that was taken over. Carrier holds the headers
// of the trace of the request that made it move, and may be nil. It returns an
// error if the snapshot's spec cannot be read.
func (o *Owner) Adopt(s replica.Snapshot, carrier propagation.MapCarrier) (*Generation, error) {
	var spec generation.Spec
	if err := json.Unmarshal(s.Spec, &spec); err != nil {
		return nil, err
	}
	m := generation.Adopt(o.cfg.Generation, spec, generation.AdoptedState{
		Upstream: s.Upstream,
		Stream:   s.Stream,
		Tokens:   s.Tokens,
		Attempt:  s.Attempt,
		Finish:   s.Finish,
		Done:     s.Done,
	})
	g := newGeneration(o, m, len(s.Tokens))
	g.trace = carrier
	return o.add(g), nil
}

func (o *Owner) add(g *Generation) *Generation {
	spec := g.machine.Spec()
	o.mu.Lock()
	o.generations[spec.Generation] = g
	o.byName[nameOf(spec)] = g
	o.mu.Unlock()
	g.event(func(now time.Time) []generation.Action { return g.machine.Start(now) })
	return g
}

func nameOf(spec generation.Spec) replica.Name {
	return replica.Name{Workspace: spec.Workspace, Request: spec.Request}
}

// Find returns the generation of a request that this instance owns.
func (o *Owner) Find(n replica.Name) (*Generation, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g, ok := o.byName[n]
	return g, ok
}

func (o *Owner) get(id ident.Generation) (*Generation, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g, ok := o.generations[id]
	return g, ok
}

// Take gives a generation to another instance: it ends here, and what is held
// of it is returned.
func (o *Owner) Take(id ident.Generation) (replica.Snapshot, bool) {
	g, ok := o.get(id)
	if !ok {
		return replica.Snapshot{}, false
	}
	s, ok := g.surrender()
	if ok {
		o.drop(g)
	}
	return s, ok
}

// Fence ends a generation here because another instance has taken it over.
func (o *Owner) Fence(id ident.Generation) {
	if g, ok := o.get(id); ok {
		g.event(func(time.Time) []generation.Action { return g.machine.OwnershipLost() })
		o.drop(g)
	}
}

// Acked takes in acknowledgements of a replica.
func (o *Owner) Acked(from ident.Instance, acks []batch.Ack) {
	for _, a := range acks {
		g, ok := o.get(a.Generation)
		if !ok {
			continue
		}
		switch a.Status {
		case batch.Held:
			g.event(func(now time.Time) []generation.Action {
				return g.machine.ReplicaAcknowledged(now, from, a.Attempt, a.Upto)
			})
		case batch.Needs:
			g.event(func(now time.Time) []generation.Action { return g.machine.ReplicaNeedsBase(now, from) })
		case batch.Fenced:
			o.Fence(a.Generation)
		}
	}
}

// ReplicaLost tells that an instance that may hold copies is out of reach.
func (o *Owner) ReplicaLost(id ident.Instance) {
	for _, g := range o.all() {
		g.event(func(now time.Time) []generation.Action { return g.machine.ReplicaLost(now, id) })
	}
}

// ReplicaLostBy tells that what generation id sent to an instance has not left.
func (o *Owner) ReplicaLostBy(id ident.Generation, to ident.Instance) {
	if g, ok := o.get(id); ok {
		g.event(func(now time.Time) []generation.Action { return g.machine.ReplicaLost(now, to) })
	}
}

// Load returns the number of generations that are not over, and of all that are
// held, with the memory of their tokens in bytes.
func (o *Owner) Load() (active, held, size int) {
	for _, g := range o.all() {
		g.mu.Lock()
		if !g.machine.Closed() || g.readers > 0 {
			active++
		}
		held++
		size += g.machine.Log().Size() + len(g.machine.Spec().Body)
		g.mu.Unlock()
	}
	return active, held, size
}

// InProgress returns the number of generations of each workspace that are not
// over.
func (o *Owner) InProgress() map[ident.Workspace]int {
	n := make(map[ident.Workspace]int)
	for _, g := range o.all() {
		g.mu.Lock()
		if !g.machine.Closed() {
			n[g.machine.Spec().Workspace]++
		}
		g.mu.Unlock()
	}
	return n
}

// Each calls f with the spec of every generation in progress and the engine
// that it runs on, or "" if it runs on none now.
func (o *Owner) Each(f func(spec generation.Spec, u ident.Upstream)) {
	for _, g := range o.all() {
		g.mu.Lock()
		over, spec := g.machine.Closed(), g.machine.Spec()
		g.mu.Unlock()
		if !over {
			f(spec, g.Upstream())
		}
	}
}

func (o *Owner) all() []*Generation {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*Generation, 0, len(o.generations))
	for _, g := range o.generations {
		out = append(out, g)
	}
	return out
}

func (o *Owner) tick(now time.Time) {
	if !o.pause.TryRLock() {
		return
	}
	o.pause.RUnlock()
	late := o.late(now)
	for _, g := range o.all() {
		if g.tick(now, late) {
			o.drop(g)
		}
	}
}

// late returns by how much this tick came later than it was due, if that is
// more than the interval, and 0 otherwise. It is called from one goroutine.
func (o *Owner) late(now time.Time) time.Duration {
	last := o.lastTick
	o.lastTick = now
	if last.IsZero() {
		return 0
	}
	if late := now.Sub(last) - o.cfg.Sweep; late > o.cfg.Sweep {
		return late
	}
	return 0
}

func (o *Owner) drop(g *Generation) {
	spec := g.machine.Spec()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.generations[spec.Generation] == g {
		delete(o.generations, spec.Generation)
	}
	if o.byName[nameOf(spec)] == g {
		delete(o.byName, nameOf(spec))
	}
}

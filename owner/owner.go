// Package owner runs the generations that this instance owns.
//
// It drives the state machines of package generation: it passes them events from
// engine streams, replicas, callers and the timer service, and performs the
// actions that they return. It does not access control state; the machines
// obtain what they need of it through the function fields of Ports.
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

// Settings holds the limits of an Owner. Zero values select the defaults.
type Settings struct {
	Generation        generation.Settings
	TickInterval      time.Duration // interval between checks of time limits
	Retention         time.Duration // how long an answer is kept after its end
	MaxUnreadTokens   int           // tokens that a generation may be ahead of its caller
	KeepAliveInterval time.Duration // interval between keep-alives to callers
}

// Defaults of Settings.
const (
	defaultTickInterval      = 20 * time.Millisecond
	defaultRetention         = 60 * time.Second
	defaultMaxUnreadTokens   = 4096
	defaultKeepAliveInterval = 5 * time.Second
)

// Ports holds what an Owner needs from the rest of the instance.
type Ports struct {
	Instance ident.Instance
	Timer    *timer.Service
	Log      zerolog.Logger
	Tracer   trace.Tracer
	Engines  *engineclient.Client
	Outbox   *outbox.Outbox

	// ChooseEngine chooses an engine for a generation and counts the generation as running
	// on it.
	ChooseEngine func(c EngineQuery) (ident.Upstream, *result.Error)
	// ReleaseEngine ends the count made by ChooseEngine. Cause is 0 if nothing failed.
	ReleaseEngine func(u ident.Upstream, spec generation.Spec, cause generation.LossCause)
	// Address returns the network address of an engine.
	Address func(u ident.Upstream) (string, bool)
	// ReportFailure reports that an engine failed while it ran a generation. It must not
	// block.
	ReportFailure func(u ident.Upstream, spec generation.Spec)
	// ChooseReplica chooses an instance to store the replica, or returns "" if there is
	// none.
	ChooseReplica func(spec generation.Spec, avoid []ident.Instance) ident.Instance
	// TokensReceived reports tokens received from an engine. First is the time to the first
	// token of the generation if this is that token, and 0 otherwise.
	TokensReceived func(u ident.Upstream, spec generation.Spec, tokens int, first time.Duration)
	// StreamOpened reports the load that an engine sent with its response. The engine
	// measured it before it accepted the stream if started is set. It returns whether
	// another engine should be tried because this one has no free slot.
	StreamOpened func(u ident.Upstream, load string, started bool) (full bool)
	// PaceMeasured reports how long an engine took for a number of tokens of one stream.
	// First is set for the first measurement of the stream.
	PaceMeasured func(u ident.Upstream, tokens int, took time.Duration, first bool)
	// Recovered reports the time from the loss of a stream to its next token.
	Recovered func(d time.Duration)
	// GenerationEnded reports the end of a generation.
	GenerationEnded func(g *Generation)
}

// EngineQuery describes the generation that an engine is chosen for.
type EngineQuery struct {
	Spec           generation.Spec
	Exclude        []ident.Upstream
	Resumed        bool
	ExistingTokens int // number of tokens to continue from
}

// Owner runs the generations of this instance. It is safe for concurrent use.
type Owner struct {
	cfg   Settings
	ports Ports

	pause sync.RWMutex // locked for writing while the owner is paused

	mu          sync.Mutex
	generations map[ident.Generation]*Generation
	byRequest   map[replica.RequestKey]*Generation
	tickTimer   *timer.Subscription
	lastTick    time.Time // used only by tick
}

// New returns an owner without generations.
func New(cfg Settings, ports Ports) *Owner {
	if cfg.TickInterval == 0 {
		cfg.TickInterval = defaultTickInterval
	}
	if cfg.Retention == 0 {
		cfg.Retention = defaultRetention
	}
	if cfg.MaxUnreadTokens == 0 {
		cfg.MaxUnreadTokens = defaultMaxUnreadTokens
	}
	if cfg.KeepAliveInterval == 0 {
		cfg.KeepAliveInterval = defaultKeepAliveInterval
	}
	return &Owner{
		cfg:         cfg,
		ports:       ports,
		generations: make(map[ident.Generation]*Generation),
		byRequest:   make(map[replica.RequestKey]*Generation),
	}
}

// Run starts the periodic check of time limits.
func (o *Owner) Run() {
	o.tickTimer = o.ports.Timer.Every(o.cfg.TickInterval, o.tick)
}

// Pause blocks all events of generations and all reading of answers if paused is set, until
// it is called with false. It simulates a stopped process.
func (o *Owner) Pause(paused bool) {
	if paused {
		o.pause.Lock()
		return
	}
	o.pause.Unlock()
}

// Stop closes all streams without notifying callers or replicas, as a crash would.
func (o *Owner) Stop() {
	if o.tickTimer != nil {
		o.tickTimer.Stop()
	}
	for _, g := range o.all() {
		g.abandon()
	}
}

// Start begins a generation. Carrier holds the trace headers of the request and may be nil.
// Finish is called once, with the number of tokens, when the generation is over; it may be
// nil.
func (o *Owner) Start(spec generation.Spec, carrier propagation.MapCarrier, finish func(tokens int)) *Generation {
	g := newGeneration(o, generation.New(o.cfg.Generation, spec), 0)
	g.trace, g.onClosed = carrier, finish
	return o.add(g)
}

// Adopt continues a generation that was taken over. Carrier holds the trace headers of the
// request that caused the takeover and may be nil. It returns an error if the spec of the
// snapshot cannot be decoded.
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
	o.byRequest[requestKey(spec)] = g
	o.mu.Unlock()
	g.handle(func(now time.Time) []generation.Action { return g.machine.Start(now) })
	return g
}

func requestKey(spec generation.Spec) replica.RequestKey {
	return replica.RequestKey{Workspace: spec.Workspace, Request: spec.Request}
}

// Find returns the generation of a request that this instance owns.
func (o *Owner) Find(key replica.RequestKey) (*Generation, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g, ok := o.byRequest[key]
	return g, ok
}

func (o *Owner) get(id ident.Generation) (*Generation, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g, ok := o.generations[id]
	return g, ok
}

// HandOver ends a generation here so that another instance can own it, and returns its
// state.
func (o *Owner) HandOver(id ident.Generation) (replica.Snapshot, bool) {
	g, ok := o.get(id)
	if !ok {
		return replica.Snapshot{}, false
	}
	s, ok := g.handOver()
	if ok {
		o.drop(g)
	}
	return s, ok
}

// Fence ends a generation here because another instance has taken it over.
func (o *Owner) Fence(id ident.Generation) {
	if g, ok := o.get(id); ok {
		g.handle(func(time.Time) []generation.Action { return g.machine.OwnershipLost() })
		o.drop(g)
	}
}

// HandleAcks handles the acknowledgements of a replica.
func (o *Owner) HandleAcks(from ident.Instance, acks []batch.Ack) {
	for _, a := range acks {
		g, ok := o.get(a.Generation)
		if !ok {
			continue
		}
		switch a.Status {
		case batch.Held:
			g.handle(func(now time.Time) []generation.Action {
				return g.machine.ReplicaAcknowledged(now, from, a.Attempt, a.Upto)
			})
		case batch.Needs:
			g.handle(func(now time.Time) []generation.Action { return g.machine.ReplicaNeedsBase(now, from) })
		case batch.Fenced:
			o.Fence(a.Generation)
		}
	}
}

// ReplicaLost handles instance id, which may store replicas, having become unreachable.
func (o *Owner) ReplicaLost(id ident.Instance) {
	for _, g := range o.all() {
		g.handle(func(now time.Time) []generation.Action { return g.machine.ReplicaLost(now, id) })
	}
}

// AppendFailed handles the failure to send tokens of generation id to an instance.
func (o *Owner) AppendFailed(id ident.Generation, to ident.Instance) {
	if g, ok := o.get(id); ok {
		g.handle(func(now time.Time) []generation.Action { return g.machine.ReplicaLost(now, to) })
	}
}

// Usage returns the number of generations that are active, which means in progress or being
// read, the number of all generations in memory, and the memory of their tokens and request
// bodies in bytes.
func (o *Owner) Usage() (active, total, size int) {
	for _, g := range o.all() {
		g.mu.Lock()
		if !g.machine.Closed() || g.readers > 0 {
			active++
		}
		total++
		size += g.machine.Log().Size() + len(g.machine.Spec().Body)
		g.mu.Unlock()
	}
	return active, total, size
}

// InProgress returns the number of generations in progress for each workspace.
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

// ForEachInProgress calls f for each generation in progress, with its spec and the engine
// that it runs on, or "" if it currently runs on none.
func (o *Owner) ForEachInProgress(f func(spec generation.Spec, u ident.Upstream)) {
	for _, g := range o.all() {
		g.mu.Lock()
		closed, spec := g.machine.Closed(), g.machine.Spec()
		g.mu.Unlock()
		if !closed {
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
	delay := o.tickDelay(now)
	for _, g := range o.all() {
		if g.tick(now, delay) {
			o.drop(g)
		}
	}
}

// tickDelay returns how late this tick is if that exceeds the tick interval, and 0
// otherwise. It must be called from one goroutine only.
func (o *Owner) tickDelay(now time.Time) time.Duration {
	last := o.lastTick
	o.lastTick = now
	if last.IsZero() {
		return 0
	}
	if delay := now.Sub(last) - o.cfg.TickInterval; delay > o.cfg.TickInterval {
		return delay
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
	if o.byRequest[requestKey(spec)] == g {
		delete(o.byRequest, requestKey(spec))
	}
}

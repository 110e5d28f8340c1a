// Package takeover finds a generation and moves it to this instance.
//
// A caller that lost its connection may reconnect to any instance. That instance
// asks the instances most likely to have the generation, takes it over from the
// one with the best copy, and continues it. A takeover raises the owner number,
// which fences the former owner.
package takeover

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/propagation"

	"crocuslug/cursor"
	"crocuslug/ident"
	"crocuslug/owner"
	"crocuslug/replica"
	"crocuslug/result"
	"crocuslug/timer"
	"crocuslug/tokenlog"
)

// Settings holds the limits of a Coordinator. Zero values select the defaults.
type Settings struct {
	CallTimeout    time.Duration // limit for the calls to peers
	FirstPeers     int           // number of peers asked first
	MaxPeers       int           // maximum number of peers asked in the failure domain
	WaitAfterFirst time.Duration // how long to wait for better copies after the first answer
}

// Defaults of Settings.
const (
	defaultCallTimeout    = 300 * time.Millisecond
	defaultFirstPeers     = 3
	defaultMaxPeers       = 80
	defaultWaitAfterFirst = 40 * time.Millisecond
)

// callerRetryDelay is the retry delay suggested to a caller while a peer does not reply.
const callerRetryDelay = 200 * time.Millisecond

// Names of the methods that instances call on each other.
const (
	MethodFind = "Generation.Find"
	MethodTake = "Generation.Take"
)

// FindParams are the parameters of MethodFind: the request whose generation is looked for.
type FindParams struct {
	Workspace  ident.Workspace
	Request    ident.Request
	Generation ident.Generation `json:",omitempty"` // any generation if empty
}

// FindResult describes the copy that an instance has. Known is false if it has none.
type FindResult struct {
	Known      bool
	Generation ident.Generation
	Attempt    ident.Attempt
	Position   int
	Owner      bool // the instance owns the generation
}

// TakeParams are the parameters of MethodTake: the generation to be handed over.
type TakeParams struct {
	Generation ident.Generation
}

// Ports holds what a Coordinator needs from the rest of the instance.
type Ports struct {
	Instance ident.Instance
	Timer    *timer.Service
	Log      zerolog.Logger
	Owner    *owner.Owner
	Replicas *replica.Store
	// LocalCandidates returns the live instances of the failure domain except this one, the
	// most likely to have a copy first.
	LocalCandidates func(n replica.RequestKey) []ident.Instance
	// RemoteCandidates returns, from each other failure domain, the k instances that are
	// most likely to have a copy.
	RemoteCandidates func(n replica.RequestKey, k int) []ident.Instance
	// Call calls a method of another instance.
	Call func(ctx context.Context, to ident.Instance, method string, params, out any) error
}

// Coordinator finds generations and takes them over. It is safe for concurrent use.
type Coordinator struct {
	cfg   Settings
	ports Ports
}

// New returns a coordinator.
func New(cfg Settings, ports Ports) *Coordinator {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	if cfg.FirstPeers == 0 {
		cfg.FirstPeers = defaultFirstPeers
	}
	if cfg.MaxPeers == 0 {
		cfg.MaxPeers = defaultMaxPeers
	}
	if cfg.WaitAfterFirst == 0 {
		cfg.WaitAfterFirst = defaultWaitAfterFirst
	}
	return &Coordinator{cfg: cfg, ports: ports}
}

// HandleFind handles calls of MethodFind.
func (t *Coordinator) HandleFind(_ context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
	var p FindParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, result.New(result.Malformed, err.Error())
	}
	return t.findLocal(p), nil
}

// findLocal returns what this instance has of the generation.
func (t *Coordinator) findLocal(p FindParams) FindResult {
	n := replica.RequestKey{Workspace: p.Workspace, Request: p.Request}
	if g, ok := t.ports.Owner.Find(n); ok {
		if r := g.Describe(); p.Generation == "" || p.Generation == r.Generation {
			return FindResult{Known: true, Generation: r.Generation, Attempt: r.Attempt, Position: r.Position, Owner: true}
		}
	}
	id := p.Generation
	if id == "" {
		id, _ = t.ports.Replicas.Find(n)
	}
	s, ok := t.ports.Replicas.Lookup(id)
	if !ok || !matchesRequest(s, n) {
		return FindResult{}
	}
	return FindResult{Known: true, Generation: id, Attempt: s.Attempt, Position: len(s.Tokens)}
}

// matchesRequest reports whether a snapshot belongs to the given request.
func matchesRequest(s replica.Snapshot, n replica.RequestKey) bool {
	var spec struct {
		Workspace ident.Workspace
		Request   ident.Request
	}
	if err := json.Unmarshal(s.Spec, &spec); err != nil {
		return false
	}
	return spec.Workspace == n.Workspace && spec.Request == n.Request
}

// HandleTake handles calls of MethodTake.
func (t *Coordinator) HandleTake(_ context.Context, from ident.Instance, params json.RawMessage) (any, error) {
	var p TakeParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, result.New(result.Malformed, err.Error())
	}
	s, ok := t.handOver(p.Generation, from)
	if !ok {
		return nil, result.New(result.NotFound, "this instance does not have the generation")
	}
	return s, nil
}

// handOver makes instance to the owner of a generation and returns the state that this
// instance has of it.
func (t *Coordinator) handOver(g ident.Generation, to ident.Instance) (replica.Snapshot, bool) {
	if s, ok := t.ports.Owner.HandOver(g); ok {
		t.ports.Replicas.TakeOver(t.ports.Timer.Now(), g, to)
		return s, true
	}
	return t.ports.Replicas.TakeOver(t.ports.Timer.Now(), g, to)
}

// FindLikely returns the generation of a request that the caller may have sent before, and
// takes it over if another instance has it. Only the most likely instances are asked, since
// almost all requests are new. The error is NotFound if none of them knows the request.
func (t *Coordinator) FindLikely(ctx context.Context, n replica.RequestKey) (*owner.Generation, *result.Error) {
	return t.find(ctx, n, nil, t.askLikely)
}

// Find returns the generation of a request and takes it over if another instance has it.
// With a cursor, only the generation of the cursor is accepted. The most likely instances of
// the failure domain are asked first, then up to MaxPeers of it and the most likely ones in
// other failure domains. The error is NotFound if no reachable instance knows the request,
// and GenerationLost if the answer that the cursor belongs to cannot be continued.
func (t *Coordinator) Find(ctx context.Context, n replica.RequestKey, c *cursor.Cursor) (*owner.Generation, *result.Error) {
	return t.find(ctx, n, c, t.askAll)
}

// searchFunc asks instances for a copy of a generation and returns the best one.
type searchFunc func(ctx context.Context, p FindParams, n replica.RequestKey) candidate

func (t *Coordinator) find(ctx context.Context, n replica.RequestKey, c *cursor.Cursor, ask searchFunc) (*owner.Generation, *result.Error) {
	p := FindParams{Workspace: n.Workspace, Request: n.Request}
	if c != nil {
		p.Generation = c.Generation
	}
	if g, ok := t.ports.Owner.Find(n); ok && (c == nil || g.Spec().Generation == c.Generation) {
		return g, nil
	}
	best := ask(ctx, p, n)
	if !best.Known && best.timedOut && c != nil {
		return nil, result.New(result.PeerUnavailable, "an instance that may have the answer does not reply; retry later").
			Ran(result.RunUnknown).After(callerRetryDelay)
	}
	if !best.Known {
		return nil, t.notFound(c)
	}
	s, err := t.take(ctx, best.FindResult, best.from)
	if err != nil {
		return nil, err
	}
	if c != nil && !containsCursor(s, *c) {
		return nil, result.New(result.GenerationLost, "the delivered part of the answer cannot be continued; discard it").Ran(result.RunUnknown)
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	g, adoptErr := t.ports.Owner.Adopt(s, carrier)
	if adoptErr != nil {
		return nil, result.New(result.Fault, adoptErr.Error()).Ran(result.RunUnknown)
	}
	t.ports.Log.Info().Str("Request", string(n.Request)).Str("Generation", string(s.Generation)).
		Str("Workspace", string(n.Workspace)).Str("From", string(best.from)).Uint64("Attempt", uint64(s.Attempt)).Int("Tokens", len(s.Tokens)).Msg("generation taken over")
	return g, nil
}

func (t *Coordinator) notFound(c *cursor.Cursor) *result.Error {
	if c == nil {
		return result.New(result.NotFound, "no reachable instance knows the request")
	}
	return result.New(result.GenerationLost, "no reachable instance has the answer; discard what was delivered").Ran(result.RunUnknown)
}

// containsCursor reports whether c is a cursor into the tokens of s.
func containsCursor(s replica.Snapshot, c cursor.Cursor) bool {
	var log tokenlog.Log
	log.Append(0, 0, s.Tokens)
	return log.ContainsCursor(c)
}

func (t *Coordinator) take(ctx context.Context, best FindResult, from ident.Instance) (replica.Snapshot, *result.Error) {
	if from == t.ports.Instance {
		if s, ok := t.handOver(best.Generation, from); ok {
			return s, nil
		}
		return replica.Snapshot{}, t.notFound(&cursor.Cursor{})
	}
	var s replica.Snapshot
	ctx, cancel := context.WithTimeout(ctx, t.cfg.CallTimeout)
	defer cancel()
	if err := t.ports.Call(ctx, from, MethodTake, TakeParams{Generation: best.Generation}, &s); err != nil {
		return s, result.New(result.PeerUnavailable, "the instance that has the answer did not hand it over").
			Ran(result.RunUnknown).After(time.Second)
	}
	return s, nil
}

// candidate is the copy that an instance reported.
type candidate struct {
	timedOut bool // an instance that was asked did not reply in time
	from     ident.Instance
	FindResult
}

// askLikely asks the most likely instances of the failure domain.
func (t *Coordinator) askLikely(ctx context.Context, p FindParams, n replica.RequestKey) candidate {
	top := candidate{from: t.ports.Instance, FindResult: t.findLocal(p)}
	order := t.ports.LocalCandidates(n)
	return t.ask(ctx, p, order[:min(len(order), t.cfg.FirstPeers)], top)
}

// askAll asks the most likely instances of the failure domain and, if they have no copy, the
// others up to MaxPeers and the most likely ones of other domains.
func (t *Coordinator) askAll(ctx context.Context, p FindParams, n replica.RequestKey) candidate {
	top := t.askLikely(ctx, p, n)
	if top.Known {
		return top
	}
	order := t.ports.LocalCandidates(n)
	rest := order[min(len(order), t.cfg.FirstPeers):min(len(order), t.cfg.MaxPeers)]
	return t.ask(ctx, p, slices.Concat(rest, t.ports.RemoteCandidates(n, t.cfg.FirstPeers)), top)
}

// ask asks peers concurrently and returns the best copy found, including the given one.
func (t *Coordinator) ask(ctx context.Context, p FindParams, peers []ident.Instance, best candidate) candidate {
	if len(peers) == 0 {
		return best
	}
	ctx, cancel := context.WithTimeout(ctx, t.cfg.CallTimeout)
	defer cancel()
	answers := make(chan candidate, len(peers))
	var wg sync.WaitGroup
	for _, id := range peers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f := candidate{from: id}
			// A peer that cannot be reached counts as having no copy; one that does not
			// reply may have one.
			err := t.ports.Call(ctx, id, MethodFind, p, &f.FindResult)
			f.timedOut = err != nil && ctx.Err() != nil
			answers <- f
		}()
	}
	var waitTimer *timer.Subscription
	for range peers {
		f := <-answers
		timedOut := best.timedOut || f.timedOut
		if better(f.FindResult, best.FindResult) {
			best = f
		}
		best.timedOut = timedOut
		if best.Known && waitTimer == nil {
			waitTimer = t.ports.Timer.After(t.cfg.WaitAfterFirst, func(time.Time) { cancel() })
		}
	}
	if waitTimer != nil {
		waitTimer.Stop()
	}
	return best
}

// better reports whether a has progressed further than b.
func better(a, b FindResult) bool {
	switch {
	case a.Known != b.Known:
		return a.Known
	case a.Attempt.Owner() != b.Attempt.Owner():
		return a.Attempt.Owner() > b.Attempt.Owner()
	case a.Position != b.Position:
		return a.Position > b.Position
	}
	return a.Owner && !b.Owner
}

// Package takeover finds a generation and moves it to this instance.
//
// A caller that lost its connection comes back through the balancer to any
// instance. That instance asks the ones most likely to hold the generation,
// takes it over from the best holder, and goes on with it. Taking over raises
// the owner number, which fences the former owner.
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

// Settings bound a Taker. Zero values mean the defaults.
type Settings struct {
	AskLimit   time.Duration // time limit of one question to a peer
	Likely     int           // peers asked first
	AskAtMost  int           // peers asked in all
	AfterFirst time.Duration // wait for better holders after the first answer
}

// Defaults of Settings.
const (
	defaultAskLimit   = 300 * time.Millisecond
	defaultLikely     = 3
	defaultAskAtMost  = 80
	defaultAfterFirst = 40 * time.Millisecond
)

// askAgain is when a caller shall come back while a peer is silent.
const askAgain = 200 * time.Millisecond

// Methods of the calls between instances.
const (
	MethodFind = "Generation.Find"
	MethodTake = "Generation.Take"
)

// FindParams ask for the generation of a request.
type FindParams struct {
	Workspace  ident.Workspace
	Request    ident.Request
	Generation ident.Generation `json:",omitempty"` // empty means any
}

// FindResult says what an instance holds.
type FindResult struct {
	Known      bool
	Generation ident.Generation
	Attempt    ident.Attempt
	Position   int
	Owner      bool // the instance owns the generation
}

// TakeParams ask for a generation to be given over.
type TakeParams struct {
	Generation ident.Generation
}

// Ports are what a Taker needs of the rest of the instance.
type Ports struct {
	Instance ident.Instance
	Timer    *timer.Service
	Log      zerolog.Logger
	Owner    *owner.Owner
	Replicas *replica.Store
	// Order returns the live instances of the failure domain, the most likely
	// holder first, without this one.
	Order func(n replica.RequestKey) []ident.Instance
	// Far returns the k most likely holders in each other failure domain.
	Far func(n replica.RequestKey, k int) []ident.Instance
	// Call calls a method of another instance.
	Call func(ctx context.Context, to ident.Instance, method string, params, out any) error
}

// Taker finds generations and takes them over. Its methods may be called from
// any goroutine.
type Taker struct {
	cfg   Settings
	ports Ports
}

// New returns a taker.
func New(cfg Settings, ports Ports) *Taker {
	if cfg.AskLimit == 0 {
		cfg.AskLimit = defaultAskLimit
	}
	if cfg.Likely == 0 {
		cfg.Likely = defaultLikely
	}
	if cfg.AskAtMost == 0 {
		cfg.AskAtMost = defaultAskAtMost
	}
	if cfg.AfterFirst == 0 {
		cfg.AfterFirst = defaultAfterFirst
	}
	return &Taker{cfg: cfg, ports: ports}
}

// HandleFind answers MethodFind.
func (t *Taker) HandleFind(_ context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
	var p FindParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, result.New(result.Malformed, err.Error())
	}
	return t.local(p), nil
}

// local returns what this instance holds.
func (t *Taker) local(p FindParams) FindResult {
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
	if !ok || !sameName(s, n) {
		return FindResult{}
	}
	return FindResult{Known: true, Generation: id, Attempt: s.Attempt, Position: len(s.Tokens)}
}

// sameName reports whether a snapshot is of the request named.
func sameName(s replica.Snapshot, n replica.RequestKey) bool {
	var spec struct {
		Workspace ident.Workspace
		Request   ident.Request
	}
	if err := json.Unmarshal(s.Spec, &spec); err != nil {
		return false
	}
	return spec.Workspace == n.Workspace && spec.Request == n.Request
}

// HandleTake answers MethodTake.
func (t *Taker) HandleTake(_ context.Context, from ident.Instance, params json.RawMessage) (any, error) {
	var p TakeParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, result.New(result.Malformed, err.Error())
	}
	s, ok := t.give(p.Generation, from)
	if !ok {
		return nil, result.New(result.NotFound, "the generation is not held here")
	}
	return s, nil
}

// give makes instance to the owner of what is held here.
func (t *Taker) give(g ident.Generation, to ident.Instance) (replica.Snapshot, bool) {
	if s, ok := t.ports.Owner.HandOver(g); ok {
		t.ports.Replicas.TakeOver(t.ports.Timer.Now(), g, to)
		return s, true
	}
	return t.ports.Replicas.TakeOver(t.ports.Timer.Now(), g, to)
}

// Known returns the generation of a request that the caller may have sent
// before, taking it over if another instance has it. Only the likely holders are
// asked, since almost all requests are new ones. The result is NotFound if none
// of them knows the request.
func (t *Taker) Known(ctx context.Context, n replica.RequestKey) (*owner.Generation, *result.Error) {
	return t.find(ctx, n, nil, t.likely)
}

// Find returns the generation of a request, taking it over if another instance
// has it. With a cursor only the cursor's generation will do. All instances of
// the failure domain and the likely holders in others are asked. The result is
// NotFound if nobody in reach knows the request, and GenerationLost if the
// answer that the cursor belongs to cannot go on.
func (t *Taker) Find(ctx context.Context, n replica.RequestKey, c *cursor.Cursor) (*owner.Generation, *result.Error) {
	return t.find(ctx, n, c, t.anywhere)
}

// search asks instances for the furthest copy.
type search func(ctx context.Context, p FindParams, n replica.RequestKey) found

func (t *Taker) find(ctx context.Context, n replica.RequestKey, c *cursor.Cursor, ask search) (*owner.Generation, *result.Error) {
	p := FindParams{Workspace: n.Workspace, Request: n.Request}
	if c != nil {
		p.Generation = c.Generation
	}
	if g, ok := t.ports.Owner.Find(n); ok && (c == nil || g.Spec().Generation == c.Generation) {
		return g, nil
	}
	best := ask(ctx, p, n)
	if !best.Known && best.silent && c != nil {
		return nil, result.New(result.PeerUnavailable, "an instance that may hold the answer does not reply; ask again").
			Ran(result.RunUnknown).After(askAgain)
	}
	if !best.Known {
		return nil, t.notFound(c)
	}
	s, err := t.take(ctx, best.FindResult, best.from)
	if err != nil {
		return nil, err
	}
	if c != nil && !holds(s, *c) {
		return nil, result.New(result.GenerationLost, "what was delivered cannot be continued; discard it").Ran(result.RunUnknown)
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

func (t *Taker) notFound(c *cursor.Cursor) *result.Error {
	if c == nil {
		return result.New(result.NotFound, "no instance in reach knows the request")
	}
	return result.New(result.GenerationLost, "no instance in reach holds the answer; discard what was delivered").Ran(result.RunUnknown)
}

// holds reports whether c is a cursor of the tokens of s.
func holds(s replica.Snapshot, c cursor.Cursor) bool {
	var log tokenlog.Log
	log.Append(0, 0, s.Tokens)
	return log.ContainsCursor(c)
}

func (t *Taker) take(ctx context.Context, best FindResult, from ident.Instance) (replica.Snapshot, *result.Error) {
	if from == t.ports.Instance {
		if s, ok := t.give(best.Generation, from); ok {
			return s, nil
		}
		return replica.Snapshot{}, t.notFound(&cursor.Cursor{})
	}
	var s replica.Snapshot
	ctx, cancel := context.WithTimeout(ctx, t.cfg.AskLimit)
	defer cancel()
	if err := t.ports.Call(ctx, from, MethodTake, TakeParams{Generation: best.Generation}, &s); err != nil {
		return s, result.New(result.PeerUnavailable, "the holder of the answer did not give it over").
			Ran(result.RunUnknown).After(time.Second)
	}
	return s, nil
}

// found is an answer to FindParams.
type found struct {
	silent bool // somebody asked did not reply in time
	from   ident.Instance
	FindResult
}

// likely asks the likely holders of the failure domain.
func (t *Taker) likely(ctx context.Context, p FindParams, n replica.RequestKey) found {
	top := found{from: t.ports.Instance, FindResult: t.local(p)}
	order := t.ports.Order(n)
	return t.ask(ctx, p, order[:min(len(order), t.cfg.Likely)], top)
}

// anywhere asks the likely holders, then all others of the failure domain and
// the likely ones elsewhere.
func (t *Taker) anywhere(ctx context.Context, p FindParams, n replica.RequestKey) found {
	top := t.likely(ctx, p, n)
	if top.Known {
		return top
	}
	order := t.ports.Order(n)
	rest := order[min(len(order), t.cfg.Likely):min(len(order), t.cfg.AskAtMost)]
	return t.ask(ctx, p, slices.Concat(rest, t.ports.Far(n, t.cfg.Likely)), top)
}

// ask asks peers all at once and returns the best answer, top included.
func (t *Taker) ask(ctx context.Context, p FindParams, peers []ident.Instance, top found) found {
	if len(peers) == 0 {
		return top
	}
	ctx, cancel := context.WithTimeout(ctx, t.cfg.AskLimit)
	defer cancel()
	answers := make(chan found, len(peers))
	var wg sync.WaitGroup
	for _, id := range peers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f := found{from: id}
			// A peer that cannot be reached holds nothing; one that is silent may.
			err := t.ports.Call(ctx, id, MethodFind, p, &f.FindResult)
			f.silent = err != nil && ctx.Err() != nil
			answers <- f
		}()
	}
	var late *timer.Subscription
	for range peers {
		f := <-answers
		silent := top.silent || f.silent
		if better(f.FindResult, top.FindResult) {
			top = f
		}
		top.silent = silent
		if top.Known && late == nil {
			late = t.ports.Timer.After(t.cfg.AfterFirst, func(time.Time) { cancel() })
		}
	}
	if late != nil {
		late.Stop()
	}
	return top
}

// better reports whether a is further than b.
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

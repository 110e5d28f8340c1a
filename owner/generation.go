package owner

import (
	"encoding/json"
	"sync"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"crocuslug/batch"
	"crocuslug/generation"
	"crocuslug/ident"
	"crocuslug/replica"
	"crocuslug/result"
)

// Generation is one generation on the instance that owns it. It is safe for concurrent use.
type Generation struct {
	owner *Owner

	mu           sync.Mutex
	changed      *sync.Cond // signals released tokens, the end, a keep-alive or a delivery
	machine      *generation.Machine
	stream       *engineStream  // current engine stream, or nil
	chosenEngine ident.Upstream // engine counted by ChooseEngine, or ""
	readers      int
	delivered    int // position reached by the reader that is furthest ahead
	startedAt    time.Time
	closedAt     time.Time
	keepAlives   uint64 // number of keep-alives so far
	keepAliveAt  time.Time
	recoveries   int                    // number of recoveries reported so far
	lossCause    generation.LossCause   // of the last loss since an engine was chosen, or 0
	endReported  bool                   // GenerationEnded was called
	abandoned    bool                   // the owner stopped as in a crash
	trace        propagation.MapCarrier // trace headers of the request, may be nil
	onClosed     func(tokens int)       // called once when the generation is over, may be nil
}

func newGeneration(o *Owner, m *generation.Machine, existing int) *Generation {
	now := o.ports.Timer.Now()
	g := &Generation{owner: o, machine: m, startedAt: now, keepAliveAt: now, delivered: existing}
	g.changed = sync.NewCond(&g.mu)
	m.CallerDisconnected(now)
	return g
}

// Spec returns the input of the generation.
func (g *Generation) Spec() generation.Spec {
	return g.machine.Spec()
}

// Stats returns the event counters of the generation.
func (g *Generation) Stats() generation.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Stats()
}

// Result returns the result with which the answer ended, or nil if it is in progress or
// complete.
func (g *Generation) Result() *result.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Result()
}

// Complete reports whether the answer is finished and released as a whole.
func (g *Generation) Complete() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Complete()
}

// Description is the progress of a generation. Position is the number of its tokens.
type Description struct {
	Generation ident.Generation
	Attempt    ident.Attempt
	Position   int
}

// Progress returns the number of tokens in the log and the number delivered to the caller.
func (g *Generation) Progress() (existing, delivered int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Log().Len(), g.delivered
}

// Describe returns the progress of the generation.
func (g *Generation) Describe() Description {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Description{
		Generation: g.machine.Spec().Generation,
		Attempt:    g.machine.Log().Attempt(),
		Position:   g.machine.Log().Len(),
	}
}

// handle passes an event to the machine and performs the actions that it returns.
func (g *Generation) handle(f func(now time.Time) []generation.Action) {
	g.owner.pause.RLock()
	defer g.owner.pause.RUnlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.abandoned {
		return
	}
	now := g.owner.ports.Timer.Now()
	g.perform(now, f(now))
	g.cleanUp(now)
}

// perform performs actions and those that follow from them. It must be called with g.mu
// locked.
func (g *Generation) perform(now time.Time, acts []generation.Action) {
	for len(acts) > 0 {
		a := acts[0]
		acts = append(acts[1:len(acts):len(acts)], g.performOne(now, a)...)
	}
}

// performOne performs one action and returns the actions that follow from it.
func (g *Generation) performOne(now time.Time, a generation.Action) []generation.Action {
	switch a.Kind {
	case generation.ChooseEngine:
		return g.chooseEngine(now, a)
	case generation.StartStream, generation.ResumeStream:
		if a.Upstream != g.chosenEngine {
			g.releaseLostEngine() // a former engine is asked again
		}
		g.startStream(a)
	case generation.CancelStream:
		g.cancel(a)
	case generation.ChooseReplica:
		id := g.owner.ports.ChooseReplica(g.machine.Spec(), a.ExcludeReplicas)
		return g.machine.ReplicaChosen(now, id)
	case generation.Replicate:
		g.replicate(a)
	case generation.Release, generation.End:
		g.changed.Broadcast()
	case generation.ReportFailure:
		g.owner.ports.ReportFailure(a.Upstream, g.machine.Spec())
	}
	return nil
}

func (g *Generation) chooseEngine(now time.Time, a generation.Action) []generation.Action {
	g.releaseLostEngine()
	u, err := g.owner.ports.ChooseEngine(EngineQuery{
		Spec:           g.machine.Spec(),
		Exclude:        a.ExcludeEngines,
		Resumed:        a.Resumed,
		ExistingTokens: a.From,
	})
	if err != nil {
		return g.machine.NoEngineAvailable(now, err)
	}
	g.chosenEngine = u
	return g.machine.EngineChosen(now, u)
}

// releaseLostEngine releases the chosen engine after its stream was lost.
func (g *Generation) releaseLostEngine() {
	cause := g.lossCause
	if cause == 0 {
		cause = generation.TokenTimeout
	}
	g.lossCause = 0
	g.releaseEngine(cause)
}

func (g *Generation) releaseEngine(cause generation.LossCause) {
	if g.chosenEngine == "" {
		return
	}
	g.owner.ports.ReleaseEngine(g.chosenEngine, g.machine.Spec(), cause)
	g.chosenEngine = ""
}

func (g *Generation) cancel(a generation.Action) {
	address, ok := g.owner.ports.Address(a.Upstream)
	if !ok {
		return
	}
	go func() {
		if err := g.owner.ports.Engines.Cancel(address, a.Stream); err != nil {
			g.owner.ports.Log.Debug().Str("Upstream", string(a.Upstream)).Str("Stream", a.Stream).Err(err).Msg("cannot cancel the stream on the engine")
		}
	}()
}

func (g *Generation) replicate(a generation.Action) {
	log := g.machine.Log()
	spec := g.machine.Spec()
	e := batch.Append{
		Generation:  spec.Generation,
		Attempt:     a.Attempt,
		From:        a.From,
		Base:        a.Base,
		BaseAttempt: a.BaseAttempt,
	}
	e.Upstream, e.Stream = g.machine.Engine()
	n := min(a.Upto, log.Len())
	if a.From < n {
		e.Tokens = log.Tokens(a.From, n)
	}
	e.From = min(a.From, n)
	if a.Upto > log.Len() {
		e.Finish, e.Done = log.Finished()
	}
	if a.Base {
		// Encoding a Spec cannot fail.
		e.Spec, _ = json.Marshal(spec)
	}
	g.owner.ports.Outbox.Append(a.Replica, e)
}

// cleanUp reports a recovery, and releases the stream and the engine once the generation is
// over.
func (g *Generation) cleanUp(now time.Time) {
	if r := g.machine.Stats(); r.Recoveries > g.recoveries {
		g.recoveries = r.Recoveries
		g.owner.ports.Recovered(r.LastRecoveryTime)
	}
	if !g.machine.Closed() {
		return
	}
	if g.stream != nil {
		g.stream.close()
		g.stream = nil
	}
	g.releaseEngine(0)
	if g.closedAt.IsZero() {
		g.closedAt = now
		g.callOnClosed()
	}
	if !g.endReported && (g.machine.Complete() || g.machine.Result() != nil) {
		g.endReported = true
		go g.owner.ports.GenerationEnded(g)
	}
}

// callOnClosed calls onClosed, which releases what admission control counted for the
// generation.
func (g *Generation) callOnClosed() {
	if g.onClosed != nil {
		go g.onClosed(g.machine.Log().Len())
		g.onClosed = nil
	}
}

// tick applies the time limits and reports whether the generation can be removed. Delay is
// the time for which the instance was stalled.
func (g *Generation) tick(now time.Time, delay time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.abandoned {
		return true
	}
	if delay > 0 {
		g.machine.InstanceStalled(now, delay)
	}
	g.perform(now, g.machine.Tick(now))
	g.cleanUp(now)
	if now.Sub(g.keepAliveAt) >= g.owner.cfg.KeepAliveInterval {
		g.keepAlives++
		g.keepAliveAt = now
		g.changed.Broadcast()
	}
	return g.readers == 0 && !g.closedAt.IsZero() && now.Sub(g.closedAt) > g.owner.cfg.Retention
}

// abandon drops the generation as a crash would, without notifying anyone.
func (g *Generation) abandon() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abandoned = true
	g.callOnClosed()
	if g.stream != nil {
		g.stream.close()
	}
	g.changed.Broadcast()
}

// handOver ends the generation here and returns its state.
func (g *Generation) handOver() (replica.Snapshot, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.abandoned || g.machine.Result() != nil {
		return replica.Snapshot{}, false
	}
	log := g.machine.Log()
	s := replica.Snapshot{
		Generation: g.machine.Spec().Generation,
		Owner:      g.owner.ports.Instance,
		Attempt:    log.Attempt(),
		Tokens:     log.Tokens(0, log.Len()),
	}
	s.Spec, _ = json.Marshal(g.machine.Spec())
	s.Upstream, s.Stream = g.machine.ResumableStream()
	s.Finish, s.Done = log.Finished()
	now := g.owner.ports.Timer.Now()
	g.perform(now, g.machine.OwnershipLost())
	g.cleanUp(now)
	return s, true
}

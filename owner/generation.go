package owner

import (
	"encoding/json"
	"sync"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"crocuslug/batch"
	"crocuslug/cursor"
	"crocuslug/generation"
	"crocuslug/ident"
	"crocuslug/replica"
	"crocuslug/result"
)

// Generation is one generation on the instance that owns it. Its methods may be
// called from any goroutine.
type Generation struct {
	owner *Owner

	mu        sync.Mutex
	more      *sync.Cond // released tokens, an end, a sign of life, or delivery
	machine   *generation.Machine
	stream    *run           // present engine stream, or nil
	engine    ident.Upstream // engine that ChooseEngine counted, or ""
	readers   int
	delivered int // position that the furthest reader has reached
	began     time.Time
	overAt    time.Time
	beat      uint64 // rises with each sign of life
	beatAt    time.Time
	recovered int
	cause     generation.LossCause // of the last loss since an engine was chosen, or 0
	told      bool
	abandoned bool
	trace     propagation.MapCarrier // headers of the request's trace, may be nil
	finish    func(tokens int)       // called once when the generation is over, may be nil
}

func newGeneration(o *Owner, m *generation.Machine, held int) *Generation {
	now := o.ports.Timer.Now()
	g := &Generation{owner: o, machine: m, began: now, beatAt: now, delivered: held}
	g.more = sync.NewCond(&g.mu)
	m.CallerDisconnected(now)
	return g
}

// Spec returns what the generation is made from.
func (g *Generation) Spec() generation.Spec {
	return g.machine.Spec()
}

// Stats returns what the generation went through.
func (g *Generation) Stats() generation.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Stats()
}

// Result returns how the answer ended, or nil if it goes on or is whole.
func (g *Generation) Result() *result.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Result()
}

// Whole reports whether the answer came to its end and all of it is released.
func (g *Generation) Whole() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Complete()
}

// Description says how far a generation is.
type Description struct {
	Generation ident.Generation
	Attempt    ident.Attempt
	Position   int
}

// Progress returns how many tokens are held and how many the caller has taken.
func (g *Generation) Progress() (held, delivered int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Log().Len(), g.delivered
}

// Describe returns how far the generation is.
func (g *Generation) Describe() Description {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Description{
		Generation: g.machine.Spec().Generation,
		Attempt:    g.machine.Log().Attempt(),
		Position:   g.machine.Log().Len(),
	}
}

// event gives the machine an event and carries out its actions.
func (g *Generation) event(f func(now time.Time) []generation.Action) {
	g.owner.pause.RLock()
	defer g.owner.pause.RUnlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.abandoned {
		return
	}
	now := g.owner.ports.Timer.Now()
	g.do(now, f(now))
	g.settle(now)
}

// do carries out actions. It is called with g.mu held.
func (g *Generation) do(now time.Time, acts []generation.Action) {
	for len(acts) > 0 {
		a := acts[0]
		acts = append(acts[1:len(acts):len(acts)], g.one(now, a)...)
	}
}

func (g *Generation) one(now time.Time, a generation.Action) []generation.Action {
	switch a.Kind {
	case generation.ChooseEngine:
		return g.chooseEngine(now, a)
	case generation.StartStream, generation.ResumeStream:
		g.startRun(a)
	case generation.CancelStream:
		g.cancel(a)
	case generation.ChooseReplica:
		id := g.owner.ports.ChooseReplica(g.machine.Spec(), a.ExcludeReplicas)
		return g.machine.ReplicaChosen(now, id)
	case generation.Replicate:
		g.replicate(a)
	case generation.Release, generation.End:
		g.more.Broadcast()
	case generation.ReportFailure:
		g.owner.ports.Blame(a.Upstream, g.machine.Spec())
	}
	return nil
}

func (g *Generation) chooseEngine(now time.Time, a generation.Action) []generation.Action {
	cause := g.cause
	if cause == 0 {
		cause = generation.TokenTimeout
	}
	g.cause = 0
	g.releaseEngine(cause)
	u, err := g.owner.ports.ChooseEngine(EngineQuery{
		Spec:    g.machine.Spec(),
		Exclude: a.ExcludeEngines,
		Resumed: a.Resumed,
		Held:    a.From,
	})
	if err != nil {
		return g.machine.NoEngineAvailable(now, err)
	}
	g.engine = u
	return g.machine.EngineChosen(now, u)
}

func (g *Generation) releaseEngine(cause generation.LossCause) {
	if g.engine == "" {
		return
	}
	g.owner.ports.ReleaseEngine(g.engine, g.machine.Spec(), cause)
	g.engine = ""
}

func (g *Generation) cancel(a generation.Action) {
	address, ok := g.owner.ports.Address(a.Upstream)
	if !ok {
		return
	}
	go func() {
		if err := g.owner.ports.Engines.Cancel(address, a.Stream); err != nil {
			g.owner.ports.Log.Debug().Str("Upstream", string(a.Upstream)).Str("Stream", a.Stream).Err(err).Msg("cancel failed")
		}
	}()
}

func (g *Generation) replicate(a generation.Action) {
	log := g.machine.Log()
	spec := g.machine.Spec()
	e := batch.Append{
		Generation: spec.Generation,
		Attempt:    a.Attempt,
		From:       a.From,
		Base:       a.Base,
		Origin:     a.BaseAttempt,
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
		// A Spec always has a JSON form.
		e.Spec, _ = json.Marshal(spec)
	}
	g.owner.ports.Outbox.Append(a.Replica, e)
}

// settle closes what is no longer needed once the generation is over.
func (g *Generation) settle(now time.Time) {
	if r := g.machine.Stats(); r.Recoveries > g.recovered {
		g.recovered = r.Recoveries
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
	if g.overAt.IsZero() {
		g.overAt = now
		g.finished()
	}
	if !g.told && (g.machine.Complete() || g.machine.Result() != nil) {
		g.told = true
		go g.owner.ports.Ended(g)
	}
}

// finished gives back what admission counted.
func (g *Generation) finished() {
	if g.finish != nil {
		go g.finish(g.machine.Log().Len())
		g.finish = nil
	}
}

// tick looks at time limits and reports whether the generation can be forgotten.
func (g *Generation) tick(now time.Time, late time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.abandoned {
		return true
	}
	if late > 0 {
		g.machine.InstanceStalled(late)
	}
	g.do(now, g.machine.Tick(now))
	g.settle(now)
	if now.Sub(g.beatAt) >= g.owner.cfg.KeepAlive {
		g.beat++
		g.beatAt = now
		g.more.Broadcast()
	}
	return g.readers == 0 && !g.overAt.IsZero() && now.Sub(g.overAt) > g.owner.cfg.Retention
}

// abandon drops the generation as a crash would.
func (g *Generation) abandon() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abandoned = true
	g.finished()
	if g.stream != nil {
		g.stream.close()
	}
	g.more.Broadcast()
}

// surrender ends the generation here and returns what is held of it.
func (g *Generation) surrender() (replica.Snapshot, bool) {
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
	s.Upstream, s.Stream = g.machine.Engine()
	s.Finish, s.Done = log.Finished()
	now := g.owner.ports.Timer.Now()
	g.do(now, g.machine.OwnershipLost())
	g.settle(now)
	return s, true
}

// Reader reads the answer of a generation for one caller.
type Reader struct {
	g    *Generation
	pos  int
	beat uint64
}

// Read opens a reader at cursor c. It returns an error if c is not a cursor of
// this answer.
func (g *Generation) Read(c cursor.Cursor) (*Reader, *result.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.Generation != g.machine.Spec().Generation || !g.machine.Log().Holds(c) {
		return nil, result.New(result.CursorAhead, "the cursor is not of this answer; discard what was delivered").Ran(result.RunUnknown)
	}
	g.readers++
	g.machine.CallerReconnected()
	g.delivered = max(g.delivered, c.Count)
	return &Reader{g: g, pos: c.Count, beat: g.beat}, nil
}

// Close ends the reading.
func (r *Reader) Close() {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers--
	if g.readers == 0 {
		g.machine.CallerDisconnected(g.owner.ports.Timer.Now())
	}
}

// Part is a piece of an answer.
type Part struct {
	Tokens []string
	Done   bool   // the answer is whole after these tokens
	Finish string // the engine's reason, if Done
	Result *result.Error
}

// Next waits for more of the answer. A part without tokens, end or result is a
// sign of life.
func (r *Reader) Next() Part {
	p := r.next()
	r.g.owner.pause.RLock()
	defer r.g.owner.pause.RUnlock()
	return p
}

func (r *Reader) next() Part {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.progress(r.pos)
	for {
		if p, ok := r.part(); ok {
			return p
		}
		g.more.Wait()
	}
}

// progress notes what the caller has received and lets a paused stream go on.
func (g *Generation) progress(pos int) {
	if pos <= g.delivered {
		return
	}
	g.delivered = pos
	if g.stream != nil && g.stream.paused {
		g.more.Broadcast()
	}
}

func (r *Reader) part() (Part, bool) {
	g := r.g
	log := g.machine.Log()
	released := g.machine.Released()
	n := min(released, log.Len())
	reason, done := log.Finished()
	done = done && released > log.Len()
	switch {
	case r.pos < n || done:
		p := Part{Done: done}
		if r.pos < n {
			p.Tokens = log.Tokens(r.pos, n)
			r.pos = n
		}
		if done {
			p.Finish = reason
		}
		return p, true
	case g.abandoned:
		return Part{Result: result.New(result.GenerationMoved, "the instance is stopping").Ran(result.RunUnknown)}, true
	case g.machine.Result() != nil:
		return Part{Result: g.machine.Result()}, true
	case r.beat != g.beat:
		r.beat = g.beat
		return Part{}, true
	}
	return Part{}, false
}

// ahead reports whether the generation is further ahead of its caller than the window.
func (g *Generation) ahead() bool {
	return g.machine.Log().Len()-g.delivered >= g.owner.cfg.Window
}

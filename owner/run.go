package owner

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"crocuslug/admission"
	"crocuslug/engineclient"
	"crocuslug/generation"
	"crocuslug/ident"
)

// engineStream reads one stream from an engine. It belongs to one attempt of a generation.
type engineStream struct {
	g         *Generation
	action    generation.Action
	stream    *engineclient.Stream
	nextIndex int // index of the next token
	paused    bool
	stopped   bool
	pace      pace
}

func (r *engineStream) close() {
	r.stopped = true
	r.stream.Close()
	r.g.changed.Broadcast()
}

// startStream replaces the current stream. It must be called with g.mu locked.
func (g *Generation) startStream(a generation.Action) {
	if g.stream != nil {
		g.stream.close()
	}
	r := &engineStream{g: g, action: a, stream: g.owner.ports.Engines.NewStream(), nextIndex: a.From}
	g.stream = r
	req := engineclient.Request{Stream: a.Stream}
	if a.Kind == generation.StartStream {
		spec := g.machine.Spec()
		req.Body, req.Version, req.Adapter = spec.Body, spec.Version, spec.Adapter
		req.Prefix = g.machine.Log().Tokens(0, a.From)
		req.Priority = spec.Priority
		if a.Attempt > 1 {
			req.Priority = min(req.Priority, int(admission.Resumed))
		}
	}
	go r.run(req)
}

func (r *engineStream) run(req engineclient.Request) {
	g := r.g
	ctx := propagation.TraceContext{}.Extract(context.Background(), g.trace)
	ctx, span := g.owner.ports.Tracer.Start(ctx, "upstream stream", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String("Upstream", string(r.action.Upstream)),
			attribute.String("Generation", string(g.machine.Spec().Generation)),
			attribute.Int("Attempt", int(r.action.Attempt)),
			attribute.Int("From", r.action.From)))
	defer span.End()
	req.Trace = propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, req.Trace)
	if err := r.openAndRead(req); err != nil {
		span.RecordError(err)
		r.handleLoss(err)
	}
}

// openAndRead opens the stream on the engine and passes its tokens to the machine until it
// ends.
func (r *engineStream) openAndRead(req engineclient.Request) error {
	address, ok := r.g.owner.ports.Address(r.action.Upstream)
	if !ok {
		return &engineclient.StreamError{Cause: generation.ConnectionRefused, Err: errors.New("engine is not in the configuration")}
	}
	req.Address = address
	if err := r.open(req); err != nil {
		return err
	}
	r.g.handle(func(now time.Time) []generation.Action {
		return r.g.machine.StreamOpened(now, r.action.Attempt)
	})
	started := r.action.Kind == generation.StartStream
	if r.g.owner.ports.StreamOpened(r.action.Upstream, r.stream.Load(), started) {
		r.requestMove()
	}
	return r.stream.Read(r.handleToken)
}

func (r *engineStream) open(req engineclient.Request) error {
	if r.action.Kind == generation.ResumeStream {
		return r.g.owner.ports.Engines.Resume(r.stream, req, r.action.From)
	}
	return r.g.owner.ports.Engines.Start(r.stream, req)
}

// handleToken handles one event of the stream and reports whether to continue reading.
func (r *engineStream) handleToken(t engineclient.Token) bool {
	g := r.g
	first := time.Duration(0)
	g.handle(func(now time.Time) []generation.Action {
		if t.Finish != "" {
			return g.machine.StreamFinished(now, r.action.Attempt, r.nextIndex, t.Finish)
		}
		if g.machine.Log().Len() == 0 {
			first = now.Sub(g.startedAt)
		}
		r.nextIndex = t.Index + 1
		r.recordPace(now)
		return g.machine.TokensReceived(now, r.action.Attempt, t.Index, []string{t.Text})
	})
	if t.Finish == "" {
		g.owner.ports.TokensReceived(r.action.Upstream, g.Spec(), 1, first)
	}
	return r.waitForCaller()
}

// requestMove asks the machine to move to another engine because this one has no free slot.
func (r *engineStream) requestMove() {
	g := r.g
	g.handle(func(now time.Time) []generation.Action {
		g.lossCause = generation.EngineFull
		acts := g.machine.Move(now, r.action.Attempt)
		if len(acts) == 0 {
			g.lossCause = 0
		}
		return acts
	})
}

// pace measures the token rate of an engine over windows of paceWindow tokens.
type pace struct {
	windowStart time.Time // arrival of the first token of the window
	tokens      int       // received after the first one
	reported    bool      // a window of this stream was reported
}

// paceWindow is the number of tokens over which the rate is measured.
const paceWindow = 16

// recordPace counts a token received at the given time. It must be called with g.mu locked.
func (r *engineStream) recordPace(now time.Time) {
	p := &r.pace
	if p.windowStart.IsZero() {
		p.windowStart = now
		return
	}
	p.tokens++
	if p.tokens < paceWindow {
		return
	}
	r.g.owner.ports.PaceMeasured(r.action.Upstream, p.tokens, now.Sub(p.windowStart), !p.reported)
	*p = pace{windowStart: now, reported: true}
}

// waitForCaller blocks while the caller is too far behind, and reports whether to continue
// reading.
func (r *engineStream) waitForCaller() bool {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.tooFarAhead() && !r.stopped {
		r.paused = true
		g.machine.SetPaused(g.owner.ports.Timer.Now(), true)
		g.changed.Wait()
	}
	if r.paused {
		r.paused = false
		r.pace = pace{reported: r.pace.reported}
		g.machine.SetPaused(g.owner.ports.Timer.Now(), false)
	}
	return !r.stopped
}

// handleLoss passes the loss of the stream to the machine.
func (r *engineStream) handleLoss(err error) {
	g := r.g
	cause := generation.ConnectionReset
	var l *engineclient.StreamError
	if errors.As(err, &l) {
		cause = l.Cause
	}
	g.handle(func(now time.Time) []generation.Action {
		if r.stopped {
			return nil
		}
		g.logLoss(r.action, cause, err)
		g.lossCause = cause
		return g.machine.StreamLost(now, r.action.Attempt, cause)
	})
}

func (g *Generation) logLoss(a generation.Action, c generation.LossCause, err error) {
	spec := g.machine.Spec()
	g.owner.ports.Log.Info().
		Str("request", string(spec.Request)).
		Str("generation", string(spec.Generation)).
		Str("workspace", string(spec.Workspace)).
		Uint32("attempt", uint32(a.Attempt)).
		Str("upstream", string(a.Upstream)).
		Int("cause", int(c)).
		Int("tokens", g.machine.Log().Len()).
		AnErr("error", err).
		Msg("stream lost")
}

// Upstream returns the engine of the present stream, or "".
func (g *Generation) Upstream() ident.Upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	u, _ := g.machine.Engine()
	return u
}

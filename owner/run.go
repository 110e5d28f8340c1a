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

// run is one engine stream of a generation under one attempt.
type run struct {
	g       *Generation
	act     generation.Action
	stream  *engineclient.Stream
	next    int // index of the next token
	paused  bool
	stopped bool
	pace    pace
}

func (r *run) close() {
	r.stopped = true
	r.stream.Close()
	r.g.more.Broadcast()
}

// startRun replaces the present stream. It is called with g.mu held.
func (g *Generation) startRun(a generation.Action) {
	if g.stream != nil {
		g.stream.close()
	}
	r := &run{g: g, act: a, stream: g.owner.ports.Engines.NewStream(), next: a.From}
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

func (r *run) run(req engineclient.Request) {
	g := r.g
	ctx := propagation.TraceContext{}.Extract(context.Background(), g.trace)
	ctx, span := g.owner.ports.Tracer.Start(ctx, "upstream stream", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String("Upstream", string(r.act.Upstream)),
			attribute.String("Generation", string(g.machine.Spec().Generation)),
			attribute.Int("Attempt", int(r.act.Attempt)),
			attribute.Int("From", r.act.From)))
	defer span.End()
	req.Trace = propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, req.Trace)
	if err := r.follow(req); err != nil {
		span.RecordError(err)
		r.lost(err)
	}
}

func (r *run) follow(req engineclient.Request) error {
	address, ok := r.g.owner.ports.Address(r.act.Upstream)
	if !ok {
		return &engineclient.StreamError{Cause: generation.Refused, Err: errors.New("engine is not configured")}
	}
	req.Address = address
	if err := r.open(req); err != nil {
		return err
	}
	r.g.event(func(now time.Time) []generation.Action {
		r.g.machine.Opened(now, r.act.Attempt)
		return nil
	})
	started := r.act.Kind == generation.StartStream
	if r.g.owner.ports.Opened(r.act.Upstream, r.stream.Load(), started) {
		r.move()
	}
	return r.stream.Read(r.take)
}

func (r *run) open(req engineclient.Request) error {
	if r.act.Kind == generation.ResumeStream {
		return r.g.owner.ports.Engines.Resume(r.stream, req, r.act.From)
	}
	return r.g.owner.ports.Engines.Start(r.stream, req)
}

// take takes in one event of the stream and reports whether to read on.
func (r *run) take(t engineclient.Token) bool {
	g := r.g
	first := time.Duration(0)
	g.event(func(now time.Time) []generation.Action {
		if t.Finish != "" {
			return g.machine.Finished(now, r.act.Attempt, r.next, t.Finish)
		}
		if g.machine.Log().Len() == 0 {
			first = now.Sub(g.began)
		}
		r.next = t.Index + 1
		r.step(now)
		return g.machine.Tokens(now, r.act.Attempt, t.Index, []string{t.Text})
	})
	if t.Finish == "" {
		g.owner.ports.Progress(r.act.Upstream, g.Spec(), 1, first)
	}
	return r.wait()
}

// move asks for another engine if this one has no slot.
func (r *run) move() {
	g := r.g
	g.event(func(now time.Time) []generation.Action {
		g.cause = generation.Full
		acts := g.machine.Move(now, r.act.Attempt)
		if len(acts) == 0 {
			g.cause = 0
		}
		return acts
	})
}

// pace measures how fast an engine brings tokens.
type pace struct {
	since  time.Time // of the first token of the window
	tokens int       // after that one
	told   bool
}

// paceWindow is the number of tokens that the pace is told for.
const paceWindow = 16

// step counts a token that came now. It is called with g.mu held.
func (r *run) step(now time.Time) {
	p := &r.pace
	if p.since.IsZero() {
		p.since = now
		return
	}
	p.tokens++
	if p.tokens < paceWindow {
		return
	}
	r.g.owner.ports.Paced(r.act.Upstream, p.tokens, now.Sub(p.since), !p.told)
	*p = pace{since: now, told: true}
}

// wait holds the stream back while the caller is too far behind.
func (r *run) wait() bool {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.ahead() && !r.stopped {
		r.paused = true
		g.machine.Pause(g.owner.ports.Timer.Now(), true)
		g.more.Wait()
	}
	if r.paused {
		r.paused = false
		r.pace = pace{told: r.pace.told}
		g.machine.Pause(g.owner.ports.Timer.Now(), false)
	}
	return !r.stopped
}

func (r *run) lost(err error) {
	g := r.g
	cause := generation.Reset
	var l *engineclient.StreamError
	if errors.As(err, &l) {
		cause = l.Cause
	}
	g.event(func(now time.Time) []generation.Action {
		if r.stopped {
			return nil
		}
		g.logLoss(r.act, cause, err)
		g.cause = cause
		return g.machine.StreamLost(now, r.act.Attempt, cause)
	})
}

func (g *Generation) logLoss(a generation.Action, c generation.Cause, err error) {
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

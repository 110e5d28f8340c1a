package gateway

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"crocuslug/cursor"
	"crocuslug/generation"
	"crocuslug/ident"
	"crocuslug/owner"
	"crocuslug/problem"
	"crocuslug/replica"
	"crocuslug/result"
	"crocuslug/timer"
)

// Settings bound a Gateway. Zero values mean the defaults.
type Settings struct {
	MaxTokens  int           // of one answer
	WriteLimit time.Duration // time limit of one write to a caller
	NoLookUp   bool          // a request sent again starts anew; for comparison
}

// Defaults of Settings.
const (
	defaultMaxTokens  = 32768
	defaultWriteLimit = 10 * time.Second
)

// Ports are what a Gateway needs of the rest of the instance.
type Ports struct {
	Timer  *timer.Service
	Log    zerolog.Logger
	Tracer trace.Tracer
	Owner  *owner.Owner
	// Workspace returns whose key an Authorization header holds.
	Workspace func(authorization []byte) (ident.Workspace, bool)
	// Known finds a generation that the caller may have sent before.
	Known func(ctx context.Context, n replica.RequestKey) (*owner.Generation, *result.Error)
	// Find finds a generation wherever it is and takes it over.
	Find func(ctx context.Context, n replica.RequestKey, c *cursor.Cursor) (*owner.Generation, *result.Error)
	// Pin completes a spec from the configuration: service, version, adapter.
	Pin func(spec *generation.Spec) *result.Error
	// Admit waits until a generation may start, or refuses it. The ticket's
	// Finish is called when the generation is over.
	Admit func(ctx context.Context, spec generation.Spec) (finish func(tokens int), err *result.Error)
	// Leaving reports whether the instance takes no new work.
	Leaving func() bool
}

// Gateway answers callers. Its handlers may run on any goroutine. The context of
// a fasthttp request must not outlive its handler, so calls get one of their own.
type Gateway struct {
	cfg   Settings
	ports Ports
}

// New returns a gateway.
func New(cfg Settings, ports Ports) *Gateway {
	if cfg.MaxTokens == 0 {
		cfg.MaxTokens = defaultMaxTokens
	}
	if cfg.WriteLimit == 0 {
		cfg.WriteLimit = defaultWriteLimit
	}
	return &Gateway{cfg: cfg, ports: ports}
}

// requestHeader carries the request id.
const requestHeader = "X-Request-Id"

// maxRequestID bounds a request id in bytes.
const maxRequestID = 128

// requestID returns the caller's request id, or a new one.
func requestID(ctx *fasthttp.RequestCtx) (id ident.Request, given bool, err *result.Error) {
	text := string(ctx.Request.Header.Peek(requestHeader))
	if text == "" {
		id = ident.Request(uuid.NewString())
		ctx.Response.Header.Set(requestHeader, string(id))
		return id, false, nil
	}
	if !validID(text) {
		return "", true, result.New(result.Malformed, "X-Request-Id: want up to 128 letters, digits, '-', '_', '.' or ':'")
	}
	ctx.Response.Header.Set(requestHeader, text)
	return ident.Request(text), true, nil
}

// idCharacters are allowed in request ids.
const idCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:"

func validID(text string) bool {
	return len(text) <= maxRequestID && strings.Trim(text, idCharacters) == ""
}

// Completions handles POST /v1/chat/completions.
func (g *Gateway) Completions(ctx *fasthttp.RequestCtx) {
	id, given, err := requestID(ctx)
	if err != nil {
		problem.Write(ctx, err, "")
		return
	}
	w, ok := g.ports.Workspace(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if !ok {
		problem.Write(ctx, result.New(result.Unauthorized, "want a workspace's key as bearer token"), id)
		return
	}
	spec, err := g.spec(ctx, w, id)
	if err != nil {
		problem.Write(ctx, err, id)
		return
	}
	c, span := g.span(ctx, spec)
	gen, err := g.known(c, spec, given)
	if gen == nil && err == nil {
		gen, err = g.start(c, ctx.Conn(), spec)
	}
	if err != nil {
		span.RecordError(err)
		span.End()
		problem.Write(ctx, err, id)
		return
	}
	g.answer(ctx, gen, cursor.New(gen.Spec().Generation), spec.Streamed, span)
}

// span begins the span of the caller's hop. The context that holds it does not
// end with the handler.
func (g *Gateway) span(ctx *fasthttp.RequestCtx, spec generation.Spec) (context.Context, trace.Span) {
	in := propagation.MapCarrier{"traceparent": string(ctx.Request.Header.Peek("traceparent"))}
	return g.ports.Tracer.Start(propagation.TraceContext{}.Extract(context.Background(), in), "caller request",
		trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(
			attribute.String("Request", string(spec.Request)),
			attribute.String("Workspace", string(spec.Workspace)),
			attribute.String("Model", spec.Model)))
}

// spec reads the request and pins what it is made from.
func (g *Gateway) spec(ctx *fasthttp.RequestCtx, w ident.Workspace, id ident.Request) (generation.Spec, *result.Error) {
	body := ctx.PostBody()
	c, err := readCompletion(body, g.cfg.MaxTokens)
	if err != nil {
		return generation.Spec{}, err
	}
	spec := generation.Spec{
		Request:     id,
		Generation:  ident.Generation(uuid.NewString()),
		Workspace:   w,
		Model:       c.Model,
		Version:     c.Version,
		Adapter:     c.Adapter,
		MaxTokens:   c.MaxTokens,
		Fingerprint: fingerprint(c),
		Body:        append([]byte(nil), body...),
		Streamed:    c.Stream,
	}
	return spec, g.ports.Pin(&spec)
}

// fingerprint names the content of a request whatever its id.
func fingerprint(c completion) uint64 {
	h := xxh3.HashString(c.Model + "\n" + c.Adapter)
	for _, m := range c.Messages {
		h = xxh3.HashStringSeed(m.Role+"\n"+m.Content, h)
	}
	return h
}

// known returns the generation of a request that the caller sent before.
func (g *Gateway) known(c context.Context, spec generation.Spec, given bool) (*owner.Generation, *result.Error) {
	if !given || g.cfg.NoLookUp {
		return nil, nil
	}
	gen, err := g.ports.Known(c, replica.RequestKey{Workspace: spec.Workspace, Request: spec.Request})
	switch {
	case err != nil && err.Code == result.NotFound:
		return nil, nil
	case err != nil:
		return nil, err
	case gen.Spec().Fingerprint != spec.Fingerprint:
		return nil, result.New(result.RequestConflict, "the request id was used with another body")
	}
	return gen, nil
}

// start admits a new generation and begins it.
func (g *Gateway) start(c context.Context, conn net.Conn, spec generation.Spec) (*owner.Generation, *result.Error) {
	if g.ports.Leaving() {
		return nil, result.New(result.InstanceLeaving, "send the request again; another instance will take it").After(time.Second)
	}
	there, end := g.whileThere(c, conn)
	defer end()
	finish, err := g.ports.Admit(there, spec)
	if err != nil {
		return nil, err
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(c, carrier)
	return g.ports.Owner.Start(spec, carrier, finish), nil
}

// Generations handles GET /v1/generations/{request}.
func (g *Gateway) Generations(ctx *fasthttp.RequestCtx) {
	name, _ := ctx.UserValue("request").(string)
	id := ident.Request(name)
	w, ok := g.ports.Workspace(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if !ok {
		problem.Write(ctx, result.New(result.Unauthorized, "want a workspace's key as bearer token"), id)
		return
	}
	if !validID(name) {
		problem.Write(ctx, result.New(result.Malformed, "malformed request id"), "")
		return
	}
	ctx.Response.Header.Set(requestHeader, name)
	c, err := lastCursor(ctx)
	if err != nil {
		problem.Write(ctx, err, id)
		return
	}
	g.goOn(ctx, replica.RequestKey{Workspace: w, Request: id}, c)
}

// lastCursor returns the cursor in Last-Event-ID, or nil if there is none.
func lastCursor(ctx *fasthttp.RequestCtx) (*cursor.Cursor, *result.Error) {
	text := string(ctx.Request.Header.Peek("Last-Event-ID"))
	if text == "" {
		return nil, nil
	}
	c, err := cursor.Parse(text)
	if err != nil {
		return nil, result.New(result.Malformed, "Last-Event-ID: "+err.Error())
	}
	return &c, nil
}

// goOn answers from a cursor, or from the start if there is none.
func (g *Gateway) goOn(ctx *fasthttp.RequestCtx, n replica.RequestKey, c *cursor.Cursor) {
	tc, span := g.span(ctx, generation.Spec{Request: n.Request, Workspace: n.Workspace})
	gen, err := g.ports.Find(tc, n, c)
	if err != nil {
		span.RecordError(err)
		span.End()
		problem.Write(ctx, err, n.Request)
		return
	}
	at := cursor.New(gen.Spec().Generation)
	if c != nil {
		at = *c
	}
	g.answer(ctx, gen, at, gen.Spec().Streamed || c != nil, span)
}

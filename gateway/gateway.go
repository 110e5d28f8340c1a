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

// Settings configure a Gateway. Zero values stand for the defaults.
type Settings struct {
	MaxTokens    int           // largest number of tokens of one answer
	WriteTimeout time.Duration // limit of one write to a caller
	// DisableLookUp starts a repeated request anew instead of returning its earlier generation. It
	// serves to measure the benefit of the look-up.
	DisableLookUp bool
}

// Defaults of Settings.
const (
	defaultMaxTokens    = 32768
	defaultWriteTimeout = 10 * time.Second
)

// Ports are the parts of the instance that a Gateway uses.
type Ports struct {
	Timer  *timer.Service
	Log    zerolog.Logger
	Tracer trace.Tracer
	Owner  *owner.Owner
	// Workspace returns the workspace whose key an Authorization header holds, or false if there
	// is none.
	Workspace func(authorization []byte) (ident.Workspace, bool)
	// FindEarlier returns the generation of a request that the caller may have sent before. The
	// error has the code NotFound if there is none.
	FindEarlier func(ctx context.Context, n replica.RequestKey) (*owner.Generation, *result.Error)
	// Find returns a generation, and takes it over if another instance holds it.
	Find func(ctx context.Context, n replica.RequestKey, c *cursor.Cursor) (*owner.Generation, *result.Error)
	// CompleteSpec sets the fields of a spec that come from the configuration: service, version
	// and adapter.
	CompleteSpec func(spec *generation.Spec) *result.Error
	// Admit waits until a generation may start, or refuses it. finish must be called when the
	// generation is over.
	Admit func(ctx context.Context, spec generation.Spec) (finish func(tokens int), err *result.Error)
	// Leaving reports whether the instance accepts no new requests.
	Leaving func() bool
}

// Gateway serves callers. Its handlers may run on any goroutine. The context of a fasthttp request
// must not be used after its handler returns, so calls get a context of their own.
type Gateway struct {
	cfg   Settings
	ports Ports
}

// New returns a gateway.
func New(cfg Settings, ports Ports) *Gateway {
	if cfg.MaxTokens == 0 {
		cfg.MaxTokens = defaultMaxTokens
	}
	if cfg.WriteTimeout == 0 {
		cfg.WriteTimeout = defaultWriteTimeout
	}
	return &Gateway{cfg: cfg, ports: ports}
}

// requestHeader is the header field with the request id.
const requestHeader = "X-Request-Id"

// maxRequestID is the maximum length of a request id in bytes.
const maxRequestID = 128

// requestID returns the request id of the caller, or a new one, and sets it in the response. given
// reports whether the caller sent an id.
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

// idCharacters are the characters that are allowed in request ids.
const idCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:"

// validID reports whether text is a valid request id or empty.
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
		problem.Write(ctx, result.New(result.Unauthorized, "Authorization: want the key of a workspace as bearer token"), id)
		return
	}
	spec, err := g.readSpec(ctx, w, id)
	if err != nil {
		problem.Write(ctx, err, id)
		return
	}
	c, span := g.startSpan(ctx, spec)
	gen, err := g.findEarlier(c, spec, given)
	if gen == nil && err == nil {
		gen, err = g.start(c, ctx.Conn(), spec)
	}
	if err != nil {
		span.RecordError(err)
		span.End()
		problem.Write(ctx, err, id)
		return
	}
	g.sendAnswer(ctx, gen, cursor.New(gen.Spec().Generation), spec.Streamed, span)
}

// startSpan starts the span of a caller's request. The returned context holds the span and does
// not end with the handler.
func (g *Gateway) startSpan(ctx *fasthttp.RequestCtx, spec generation.Spec) (context.Context, trace.Span) {
	in := propagation.MapCarrier{"traceparent": string(ctx.Request.Header.Peek("traceparent"))}
	return g.ports.Tracer.Start(propagation.TraceContext{}.Extract(context.Background(), in), "caller request",
		trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(
			attribute.String("Request", string(spec.Request)),
			attribute.String("Workspace", string(spec.Workspace)),
			attribute.String("Model", spec.Model)))
}

// readSpec reads the request and returns the spec of its generation.
func (g *Gateway) readSpec(ctx *fasthttp.RequestCtx, w ident.Workspace, id ident.Request) (generation.Spec, *result.Error) {
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
	return spec, g.ports.CompleteSpec(&spec)
}

// fingerprint returns a hash of the content of a request, without its id.
func fingerprint(c completion) uint64 {
	h := xxh3.HashString(c.Model + "\n" + c.Adapter)
	for _, m := range c.Messages {
		h = xxh3.HashStringSeed(m.Role+"\n"+m.Content, h)
	}
	return h
}

// findEarlier returns the generation that an earlier request with the same id started, or nil if
// there is none.
func (g *Gateway) findEarlier(c context.Context, spec generation.Spec, given bool) (*owner.Generation, *result.Error) {
	if !given || g.cfg.DisableLookUp {
		return nil, nil
	}
	gen, err := g.ports.FindEarlier(c, replica.RequestKey{Workspace: spec.Workspace, Request: spec.Request})
	switch {
	case err != nil && err.Code == result.NotFound:
		return nil, nil
	case err != nil:
		return nil, err
	case gen.Spec().Fingerprint != spec.Fingerprint:
		return nil, result.New(result.RequestConflict, "the request id was used before with another body")
	}
	return gen, nil
}

// start waits for admission and starts a new generation. It stops waiting if the caller
// disconnects.
func (g *Gateway) start(c context.Context, conn net.Conn, spec generation.Spec) (*owner.Generation, *result.Error) {
	if g.ports.Leaving() {
		return nil, result.New(result.InstanceLeaving, "this instance is leaving; send the request again to reach another one").After(time.Second)
	}
	connected, end := g.whileConnected(c, conn)
	defer end()
	finish, err := g.ports.Admit(connected, spec)
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
		problem.Write(ctx, result.New(result.Unauthorized, "Authorization: want the key of a workspace as bearer token"), id)
		return
	}
	if !validID(name) {
		problem.Write(ctx, result.New(result.Malformed, "request id: want up to 128 letters, digits, '-', '_', '.' or ':'"), "")
		return
	}
	ctx.Response.Header.Set(requestHeader, name)
	c, err := lastCursor(ctx)
	if err != nil {
		problem.Write(ctx, err, id)
		return
	}
	g.answerFromCursor(ctx, replica.RequestKey{Workspace: w, Request: id}, c)
}

// lastCursor returns the cursor in Last-Event-ID, or nil if that is absent.
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

// answerFromCursor sends a generation from cursor c, or from its start if c is nil.
func (g *Gateway) answerFromCursor(ctx *fasthttp.RequestCtx, n replica.RequestKey, c *cursor.Cursor) {
	tc, span := g.startSpan(ctx, generation.Spec{Request: n.Request, Workspace: n.Workspace})
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
	g.sendAnswer(ctx, gen, at, gen.Spec().Streamed || c != nil, span)
}

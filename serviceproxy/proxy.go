package serviceproxy

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"crocuslug/claim"
	"crocuslug/claimwriter"
	"crocuslug/configuration"
	"crocuslug/health"
	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/retry"
	"crocuslug/suspect"
	"crocuslug/timer"
	"crocuslug/unit"
)

// Settings configure a Proxy. Zero values stand for the defaults.
type Settings struct {
	DialTimeout unit.Duration // limit for connecting to an upstream
	CallTimeout unit.Duration // limit of one call if the service sets none
	MaxBody     int           // size of the body of a request or response in bytes
	MaxAttempts int           // upstreams on which a repeatable request is tried
}

// Defaults of Settings.
const (
	defaultDialTimeout = time.Second
	defaultCallTimeout = 10 * time.Second
	defaultMaxBody     = 1 << 20
	defaultMaxAttempts = 3
)

// Ports are the functions that a Proxy calls.
type Ports struct {
	// Configuration returns the configuration in force, or nil if there is none.
	Configuration func() *configuration.Document
	// Authenticate returns the workspace whose key a request holds.
	Authenticate func(ctx *fasthttp.RequestCtx) (ident.Workspace, *result.Error)
	// Admit waits until the request may run. The returned function must be called when the request
	// has ended.
	Admit func(ctx *fasthttp.RequestCtx, w ident.Workspace, rule configuration.Rule) (func(), *result.Error)
	// ChooseUpstream returns an upstream of the service that is not among the tried ones, and a
	// function to call with the outcome of the call to it. It returns false if there is none.
	ChooseUpstream func(s ident.Service, tried []ident.Upstream) (configuration.Upstream, func(k health.Kind, took time.Duration), bool)
	// OnUnavailable is called when an upstream answers 503, which means that it accepts no new
	// work. It may be nil.
	OnUnavailable func(u ident.Upstream)
	// Retry decides whether a failed request is sent again, and after what wait.
	Retry func(a retry.Attempt) (retry.Decision, time.Duration)
	// Claim claims an action and Settle records its outcome, as claimwriter.Writer does.
	Claim  func(ctx context.Context, r claimwriter.Request) (claim.Operation, claim.Decision)
	Settle func(op claim.Operation)
	// Suspects records contents that crash upstreams. nil means that no content is refused.
	Suspects *suspect.Tracker
	// Context returns the parent of the contexts of calls, which ends with the instance. nil means
	// context.Background.
	Context func() context.Context
	// Tracer creates spans; nil means that no spans are created.
	Tracer trace.Tracer
	// Problem writes an error response to the caller.
	Problem func(ctx *fasthttp.RequestCtx, e *result.Error, id ident.Request)
}

// Proxy is the handler of /v1/services/{service}/{path}.
type Proxy struct {
	cfg   Settings
	ports Ports
	timer *timer.Service

	mu             sync.Mutex
	answered       map[uint64]time.Time // when contents were last answered
	formerAnswered map[uint64]time.Time // the same, of the time before answeredSince
	answeredSince  time.Time
}

// New returns a proxy.
func New(cfg Settings, ports Ports, t *timer.Service) *Proxy {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = unit.Duration(defaultDialTimeout)
	}
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = unit.Duration(defaultCallTimeout)
	}
	if cfg.MaxBody == 0 {
		cfg.MaxBody = defaultMaxBody
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	if ports.Context == nil {
		ports.Context = context.Background
	}
	if ports.Tracer == nil {
		ports.Tracer = noop.NewTracerProvider().Tracer("")
	}
	return &Proxy{cfg: cfg, ports: ports, timer: t}
}

// Prefix is the start of the paths that a Proxy serves.
const Prefix = "/v1/services/"

// request is a caller's request and what was resolved from it.
type request struct {
	ctx       *fasthttp.RequestCtx
	traceCtx  context.Context // holds the span of the caller's request
	id        ident.Request
	workspace ident.Workspace
	service   configuration.Service
	rule      configuration.Rule
	path      string        // decoded path at the service
	timeout   time.Duration // limit of one call
	deadline  time.Time     // latest start of a further attempt
	content   uint64        // see contentOf
}

// Handle serves one request and writes its response.
func (p *Proxy) Handle(ctx *fasthttp.RequestCtx) {
	r, err := p.readRequest(ctx)
	span := p.startCallerSpan(r)
	defer span.End()
	if err == nil {
		err = p.serve(r)
	}
	if err != nil {
		span.RecordError(err)
		p.ports.Problem(ctx, err, r.id)
	}
}

// serve waits for admission and runs a request.
func (p *Proxy) serve(r *request) *result.Error {
	done, err := p.ports.Admit(r.ctx, r.workspace, r.rule)
	if err != nil {
		return err
	}
	defer done()
	if err := p.refuseContent(r, result.RunNot); err != nil {
		return err
	}
	if r.rule.Once {
		return p.runOnce(r)
	}
	return p.forward(r)
}

// readRequest resolves the workspace, the service and the rule of a request. With an error the
// request is still returned, with the fields resolved so far.
func (p *Proxy) readRequest(ctx *fasthttp.RequestCtx) (*request, *result.Error) {
	r := &request{ctx: ctx, id: ident.Request(ctx.Request.Header.Peek("X-Request-Id"))}
	if len(ctx.Request.Body()) > p.cfg.MaxBody {
		return r, result.Newf(result.TooLarge, "body of %d bytes: want at most %d", len(ctx.Request.Body()), p.cfg.MaxBody)
	}
	w, err := p.ports.Authenticate(ctx)
	if err != nil {
		return r, err
	}
	r.workspace = w
	doc := p.ports.Configuration()
	if doc == nil {
		return r, result.New(result.ConfigurationMissing, "no configuration is in force yet")
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), Prefix), "/")
	r.path = "/" + path
	service, ok := findService(doc, ident.Service(name))
	if !ok {
		return r, result.Newf(result.NotFound, "no plain service %q", name)
	}
	r.service = service
	r.rule = Classify(doc.Rules, w, service.Name, string(ctx.Method()), r.path)
	r.timeout = service.Timeout.Std()
	if r.timeout == 0 {
		r.timeout = p.cfg.CallTimeout.Std()
	}
	r.deadline = p.timer.Now().Add(r.timeout)
	r.content = contentOf(r)
	return r, nil
}

// findService returns the plain service with the given name.
func findService(doc *configuration.Document, name ident.Service) (configuration.Service, bool) {
	for _, s := range doc.Services {
		if s.Name == name && s.Kind == configuration.Plain {
			return s, true
		}
	}
	return configuration.Service{}, false
}

// Classify returns the first rule that matches, or the zero rule, with which a request is sent
// once.
func Classify(rules []configuration.Rule, w ident.Workspace, s ident.Service, method, path string) configuration.Rule {
	for _, r := range rules {
		if matches(r, w, s, method, path) {
			return r
		}
	}
	return configuration.Rule{}
}

// matches reports whether a rule applies to a request.
func matches(r configuration.Rule, w ident.Workspace, s ident.Service, method, path string) bool {
	return (r.Workspace == "" || r.Workspace == w) &&
		(r.Service == "" || r.Service == s) &&
		(r.Method == "" || r.Method == method) &&
		strings.HasPrefix(path, r.PathPrefix)
}

// forward sends a request that is not an action, and retries it if that is allowed. Upstreams
// that do not respond to a connection have not been sent anything and may only have paused, so
// they are tried again until the deadline.
func (p *Proxy) forward(r *request) *result.Error {
	var tried []ident.Upstream
	attempts, silent := 0, false
	run := result.RunNot
	for {
		up, done, ok := p.ports.ChooseUpstream(r.service.Name, tried)
		if !ok && silent && p.timer.Now().Before(r.deadline) {
			tried, silent = nil, false
			continue
		}
		if !ok {
			return noUpstreamLeft(attempts, run)
		}
		tried = append(tried, up.Name)
		attempts++
		last, err := p.exchange(r, up, done)
		if err == nil {
			return nil
		}
		if last != result.RunNot {
			run = last
		}
		noResponse := last == result.RunNot && isTimeout(err)
		silent = silent || noResponse
		if p.shouldRetry(r, attempts, run) {
			if err := p.refuseContent(r, run); err != nil {
				return err
			}
			continue
		}
		if !noResponse || !p.timer.Now().Before(r.deadline) {
			return upstreamFailed(run)
		}
		tried = nil
	}
}

// noUpstreamLeft returns the error for a request for which there is no upstream that it has not
// been tried on.
func noUpstreamLeft(attempts int, run result.Run) *result.Error {
	if attempts == 0 {
		return result.New(result.NoUpstream, "no upstream serves the service").After(notRunRetryAfter)
	}
	return upstreamFailed(run)
}

// shouldRetry reports whether to send a failed request again, and waits until it is time to do so.
func (p *Proxy) shouldRetry(r *request, attempts int, run result.Run) bool {
	if attempts >= p.cfg.MaxAttempts || run != result.RunNot && !r.rule.Repeatable {
		return false
	}
	v, wait := p.ports.Retry(retry.Attempt{
		Number:     attempts,
		Run:        run,
		Repeatable: r.rule.Repeatable,
		Remaining:  r.deadline.Sub(p.timer.Now()),
	})
	if v != retry.Retry {
		return false
	}
	p.sleep(wait)
	return true
}

// sleep waits for d.
func (p *Proxy) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	done := make(chan struct{})
	p.timer.After(d, func(time.Time) { close(done) })
	<-done
}

// upstreamFailed returns the error for a request whose upstreams failed. run says whether it may
// have run.
func upstreamFailed(run result.Run) *result.Error {
	return result.New(result.UpstreamFailed, "the upstream failed").Ran(run)
}

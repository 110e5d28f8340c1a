package serviceproxy

import (
	"context"
	"strings"
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
	"crocuslug/timer"
	"crocuslug/unit"
)

// Settings of a Proxy. Zero values mean the defaults.
type Settings struct {
	DialLimit unit.Duration // time to connect to an upstream
	CallLimit unit.Duration // time of one call where the service states none
	MaxBody   int           // bytes of a request's or response's body
	MaxTries  int           // upstreams that a repeatable request is tried on
}

// Defaults of Settings.
const (
	defaultDialLimit = time.Second
	defaultCallLimit = 10 * time.Second
	defaultMaxBody   = 1 << 20
	defaultMaxTries  = 3
)

// Seams are the decisions that a Proxy leaves to others.
type Seams struct {
	// Configuration returns the configuration in force, or nil.
	Configuration func() *configuration.Document
	// Authenticate returns the workspace of a request.
	Authenticate func(ctx *fasthttp.RequestCtx) (ident.Workspace, *result.Error)
	// Admit waits for the request's turn. The function that it returns is
	// called when the request has ended.
	Admit func(ctx *fasthttp.RequestCtx, w ident.Workspace, rule configuration.Rule) (func(), *result.Error)
	// ChooseUpstream returns an upstream of the service other than the tried
	// ones, and what to call when the call to it is over; or false.
	ChooseUpstream func(s ident.Service, tried []ident.Upstream) (configuration.Upstream, func(k health.Kind, took time.Duration), bool)
	// Signalled tells that an upstream answered 503, which it does when it takes
	// no new work; nil means that nobody wants to know.
	Signalled func(u ident.Upstream)
	// Retry decides whether a failed request is sent again, and after what wait.
	Retry func(a retry.Attempt) (retry.Decision, time.Duration)
	// Take and Settle are those of claimwriter.Writer.
	Take   func(ctx context.Context, r claimwriter.Request) (claim.Operation, claim.Verdict)
	Settle func(op claim.Operation)
	// Context returns what the contexts of calls are made from; it ends with the
	// instance. nil means the background.
	Context func() context.Context
	// Tracer makes spans; nil makes none.
	Tracer trace.Tracer
	// Problem writes a failure to the caller.
	Problem func(ctx *fasthttp.RequestCtx, e *result.Error, id ident.Request)
}

// Proxy is the handler of /v1/services/{service}/{path}.
type Proxy struct {
	cfg   Settings
	seams Seams
	timer *timer.Service
}

// New returns a proxy.
func New(cfg Settings, seams Seams, t *timer.Service) *Proxy {
	if cfg.DialLimit == 0 {
		cfg.DialLimit = unit.Duration(defaultDialLimit)
	}
	if cfg.CallLimit == 0 {
		cfg.CallLimit = unit.Duration(defaultCallLimit)
	}
	if cfg.MaxBody == 0 {
		cfg.MaxBody = defaultMaxBody
	}
	if cfg.MaxTries == 0 {
		cfg.MaxTries = defaultMaxTries
	}
	if seams.Context == nil {
		seams.Context = context.Background
	}
	if seams.Tracer == nil {
		seams.Tracer = noop.NewTracerProvider().Tracer("")
	}
	return &Proxy{cfg: cfg, seams: seams, timer: t}
}

// Prefix is the start of the paths that a Proxy serves.
const Prefix = "/v1/services/"

// request is a caller's request with what is known of it.
type request struct {
	ctx       *fasthttp.RequestCtx
	trace     context.Context // holds the span of the caller's hop
	id        ident.Request
	workspace ident.Workspace
	service   configuration.Service
	rule      configuration.Rule
	path      string // decoded path at the service
	limit     time.Duration
	deadline  time.Time // of the last attempt's start
}

// Handle serves one request.
func (p *Proxy) Handle(ctx *fasthttp.RequestCtx) {
	r, err := p.read(ctx)
	span := p.received(r)
	defer span.End()
	if err == nil {
		err = p.serve(r)
	}
	if err != nil {
		span.RecordError(err)
		p.seams.Problem(ctx, err, r.id)
	}
}

func (p *Proxy) serve(r *request) *result.Error {
	done, err := p.seams.Admit(r.ctx, r.workspace, r.rule)
	if err != nil {
		return err
	}
	defer done()
	if r.rule.Once {
		return p.action(r)
	}
	return p.plain(r)
}

// read classifies a request.
func (p *Proxy) read(ctx *fasthttp.RequestCtx) (*request, *result.Error) {
	r := &request{ctx: ctx, id: ident.Request(ctx.Request.Header.Peek("X-Request-Id"))}
	if len(ctx.Request.Body()) > p.cfg.MaxBody {
		return r, result.New(result.TooLarge, "the body is too large")
	}
	w, err := p.seams.Authenticate(ctx)
	if err != nil {
		return r, err
	}
	r.workspace = w
	doc := p.seams.Configuration()
	if doc == nil {
		return r, result.New(result.ConfigurationMissing, "no configuration is in force")
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), Prefix), "/")
	r.path = "/" + path
	service, ok := find(doc, ident.Service(name))
	if !ok {
		return r, result.Newf(result.NotFound, "no plain service %q", name)
	}
	r.service = service
	r.rule = Classify(doc.Rules, w, service.Name, string(ctx.Method()), r.path)
	r.limit = service.Timeout.Std()
	if r.limit == 0 {
		r.limit = p.cfg.CallLimit.Std()
	}
	r.deadline = p.timer.Now().Add(r.limit)
	return r, nil
}

func find(doc *configuration.Document, name ident.Service) (configuration.Service, bool) {
	for _, s := range doc.Services {
		if s.Name == name && s.Kind == configuration.Plain {
			return s, true
		}
	}
	return configuration.Service{}, false
}

// Classify returns the first rule that matches, or the zero rule, under which
// a request is sent once.
func Classify(rules []configuration.Rule, w ident.Workspace, s ident.Service, method, path string) configuration.Rule {
	for _, r := range rules {
		if matches(r, w, s, method, path) {
			return r
		}
	}
	return configuration.Rule{}
}

func matches(r configuration.Rule, w ident.Workspace, s ident.Service, method, path string) bool {
	return (r.Workspace == "" || r.Workspace == w) &&
		(r.Service == "" || r.Service == s) &&
		(r.Method == "" || r.Method == method) &&
		strings.HasPrefix(path, r.PathPrefix)
}

// plain sends a request that is no action.
func (p *Proxy) plain(r *request) *result.Error {
	var tried []ident.Upstream
	run := result.RunNot
	for {
		up, done, ok := p.seams.ChooseUpstream(r.service.Name, tried)
		if !ok && tried == nil {
			return result.New(result.NoUpstream, "no upstream serves this").After(runRetryAfter)
		}
		if !ok {
			return failed(run)
		}
		tried = append(tried, up.Name)
		last, err := p.exchange(r, up, done)
		if err == nil {
			return nil
		}
		if last != result.RunNot {
			run = last
		}
		if !p.again(r, len(tried), run) {
			return failed(run)
		}
	}
}

// again reports whether a failed request is sent once more, and waits until
// then.
func (p *Proxy) again(r *request, attempts int, run result.Run) bool {
	if attempts >= p.cfg.MaxTries || run != result.RunNot && !r.rule.Repeatable {
		return false
	}
	v, wait := p.seams.Retry(retry.Attempt{
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

func (p *Proxy) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	done := make(chan struct{})
	p.timer.After(d, func(time.Time) { close(done) })
	<-done
}

func failed(run result.Run) *result.Error {
	return result.New(result.UpstreamFailed, "the upstream failed").Ran(run)
}

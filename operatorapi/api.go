// Package operatorapi serves the operators' interface over HTTP.
//
// Operators send an intent, read the plan that is returned, and confirm it.
// Each step may go to any instance, because a plan carries all that its
// confirmation needs. Each request is authenticated by the key of an operator.
package operatorapi

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/intent"
	"crocuslug/plan"
	"crocuslug/problem"
	"crocuslug/result"
	"crocuslug/revision"
	"crocuslug/rollout"
	"crocuslug/unit"
)

// Ports are the functions that the handlers call. All but Usage are required.
type Ports struct {
	// Current returns the document in force here.
	Current func() *configuration.Document
	// Newest returns the newest accepted document, read from the platform's
	// key-value service.
	Newest func(ctx context.Context) (configuration.Document, *result.Error)
	// Confirm makes a plan the next revision, as revision.Ledger does.
	Confirm func(ctx context.Context, p plan.Plan, by string) (revision.Record, *result.Error)
	// At returns the accepted document of a revision.
	At func(ctx context.Context, rev ident.Revision) (configuration.Document, *result.Error)
	// History returns the newest n records of accepted changes.
	History func(ctx context.Context, n int) ([]revision.Record, *result.Error)
	// Status asks all live instances which revision is in force there.
	Status func(ctx context.Context) []rollout.Report
	// Usage returns the present use of upstreams and workspaces, for the
	// warnings of plans.
	Usage func() plan.Usage
}

// Settings configures an API. The zero value is usable.
type Settings struct {
	BootstrapKeyHash string        // hexadecimal SHA-256 of a key that is accepted while no operator is configured
	MaxBodyBytes     int           // 0 means 64 MiB
	Timeout          unit.Duration // of one request; 0 means 15 s
	Log              zerolog.Logger
	Tracer           trace.Tracer // nil makes no spans
}

// RollbackRequest asks for a plan that restores the content of a revision.
type RollbackRequest struct {
	Revision ident.Revision
}

// StatusResponse holds the newest revision in force and the state of each
// instance.
type StatusResponse struct {
	Newest    ident.Revision
	Behind    int // number of instances that answered and have an older revision
	Silent    int // number of instances that did not answer
	CutOff    int // number of instances that cannot reach the platform's key-value service
	Instances []rollout.Report
}

// HistoryResponse lists accepted changes, newest first.
type HistoryResponse struct {
	Records []revision.Record
}

// Defaults of Settings, and constants of the protocol.
const (
	defaultMaxBodyBytes = 64 << 20
	defaultTimeout      = 15 * time.Second
	defaultHistory      = 20
	bootstrapOperator   = "bootstrap"
	bearer              = "Bearer "
	pathPrefix          = "/v1/operator/"
)

// API serves the requests of operators. It is safe for concurrent use.
type API struct {
	ports Ports
	cfg   Settings
}

// New returns an API that calls ports.
func New(ports Ports, cfg Settings) *API {
	if cfg.MaxBodyBytes <= 0 {
		cfg.MaxBodyBytes = defaultMaxBodyBytes
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = unit.Duration(defaultTimeout)
	}
	if cfg.Tracer == nil {
		cfg.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if ports.Usage == nil {
		ports.Usage = func() plan.Usage { return plan.Usage{} }
	}
	return &API{ports, cfg}
}

// operator is the authenticated sender of a request.
type operator struct {
	name    string
	keyHash string
}

// route is one endpoint of the API. Its handler returns the body of the
// response.
type route struct {
	method string
	handle func(ctx context.Context, req *fasthttp.RequestCtx, by operator) (any, *result.Error)
}

func (a *API) route(path string) (route, bool) {
	switch path {
	case pathPrefix + "plans":
		return route{http.MethodPost, a.plan}, true
	case pathPrefix + "confirmations":
		return route{http.MethodPost, a.confirm}, true
	case pathPrefix + "rollbacks":
		return route{http.MethodPost, a.rollback}, true
	case pathPrefix + "status":
		return route{http.MethodGet, a.status}, true
	case pathPrefix + "history":
		return route{http.MethodGet, a.history}, true
	case pathPrefix + "configuration":
		return route{http.MethodGet, a.configuration}, true
	}
	return route{}, false
}

// Handle serves one request whose path starts with /v1/operator/.
func (a *API) Handle(req *fasthttp.RequestCtx) {
	id := ident.Request(req.Request.Header.Peek("X-Request-Id"))
	body, err := a.process(req)
	if err != nil {
		a.cfg.Log.Info().Str("Path", string(req.Path())).Int("Code", int(err.Code)).Msg("operator request refused")
		problem.Write(req, err, id)
		return
	}
	out, merr := json.Marshal(body)
	if merr != nil {
		problem.Write(req, result.New(result.Fault, merr.Error()), id)
		return
	}
	req.SetContentType("application/json")
	req.SetBody(out)
}

func (a *API) process(req *fasthttp.RequestCtx) (any, *result.Error) {
	r, ok := a.route(string(req.Path()))
	if !ok {
		return nil, result.Newf(result.NotFound, "no such path: %s", req.Path())
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.cfg.Timeout.Std())
	defer cancel()
	carrier := propagation.MapCarrier{"traceparent": string(req.Request.Header.Peek("traceparent"))}
	ctx, span := a.cfg.Tracer.Start(propagation.TraceContext{}.Extract(ctx, carrier), "operator request",
		trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("Path", string(req.Path()))))
	defer span.End()
	by, err := a.authenticate(ctx, string(req.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if err != nil {
		return nil, err
	}
	if string(req.Method()) != r.method {
		return nil, result.Newf(result.MethodNotAllowed, "want %s", r.method)
	}
	if n := len(req.PostBody()); n > a.cfg.MaxBodyBytes {
		return nil, result.Newf(result.TooLarge, "the body has %d bytes, want at most %d", n, a.cfg.MaxBodyBytes)
	}
	return r.handle(ctx, req, by)
}

// authenticate returns the operator whose key the header contains. All
// configured hashes are compared, each in constant time, so that the time
// taken reveals nothing about the key.
func (a *API) authenticate(ctx context.Context, header string) (operator, *result.Error) {
	if len(header) <= len(bearer) || header[:len(bearer)] != bearer {
		return operator{}, result.New(result.Unauthorized, "want the header Authorization: Bearer, with the key of an operator")
	}
	sum := sha256.Sum256([]byte(header[len(bearer):]))
	hash := []byte(hex.EncodeToString(sum[:]))
	operators, err := a.operators(ctx)
	if err != nil {
		return operator{}, err
	}
	if len(operators) == 0 && a.cfg.BootstrapKeyHash != "" {
		operators = []configuration.Operator{{Name: bootstrapOperator, KeyHashes: []string{a.cfg.BootstrapKeyHash}}}
	}
	found := ""
	for _, o := range operators {
		for _, h := range o.KeyHashes {
			if subtle.ConstantTimeCompare(hash, []byte(h)) == 1 {
				found = o.Name
			}
		}
	}
	if found == "" {
		return operator{}, result.New(result.Unauthorized, "the key belongs to no operator")
	}
	return operator{found, string(hash)}, nil
}

// operators returns the configured operators. An instance that has no document
// yet reads the newest one from the platform's key-value service: if it assumed
// that there are no operators, it would accept the bootstrap key of the
// settings although operators are configured.
func (a *API) operators(ctx context.Context) ([]configuration.Operator, *result.Error) {
	if doc := a.ports.Current(); doc.Revision > 0 {
		return doc.Operators, nil
	}
	doc, err := a.ports.Newest(ctx)
	return doc.Operators, err
}

func (a *API) plan(ctx context.Context, req *fasthttp.RequestCtx, by operator) (any, *result.Error) {
	in, err := intent.Decode(req.PostBody())
	if err != nil {
		return nil, result.New(result.Malformed, err.Error())
	}
	in.Author = by.name
	base, failed := a.ports.Newest(ctx)
	if failed != nil {
		return nil, failed
	}
	return planResult(plan.Make(base, in, a.usage(by)))
}

func (a *API) rollback(ctx context.Context, req *fasthttp.RequestCtx, by operator) (any, *result.Error) {
	var r RollbackRequest
	if err := decodeOne(req.PostBody(), &r); err != nil {
		return nil, err
	}
	base, err := a.ports.Newest(ctx)
	if err != nil {
		return nil, err
	}
	older, err := a.ports.At(ctx, r.Revision)
	if err != nil {
		return nil, err
	}
	return planResult(plan.Rollback(base, older, by.name, a.usage(by)))
}

func (a *API) usage(by operator) plan.Usage {
	use := a.ports.Usage()
	use.CallerKeyHash = by.keyHash
	return use
}

func planResult(p plan.Plan, problems []intent.Problem) (any, *result.Error) {
	if len(problems) > 0 {
		return nil, result.New(result.IntentInvalid, plan.FormatProblems(problems))
	}
	return p, nil
}

func (a *API) confirm(ctx context.Context, req *fasthttp.RequestCtx, by operator) (any, *result.Error) {
	var p plan.Plan
	if err := decodeOne(req.PostBody(), &p); err != nil {
		return nil, err
	}
	rec, err := a.ports.Confirm(ctx, p, by.name)
	if err != nil {
		return nil, err
	}
	a.cfg.Log.Info().Str("Operator", by.name).Str("Change", string(rec.Change)).Uint64("Revision", uint64(rec.Revision)).Msg("plan confirmed")
	return rec, nil
}

func (a *API) status(ctx context.Context, _ *fasthttp.RequestCtx, _ operator) (any, *result.Error) {
	s := StatusResponse{Instances: a.ports.Status(ctx)}
	for _, r := range s.Instances {
		s.Newest = max(s.Newest, r.Revision)
	}
	for _, r := range s.Instances {
		switch {
		case !r.Answered:
			s.Silent++
		case r.Revision < s.Newest:
			s.Behind++
		}
		if r.CutOff {
			s.CutOff++
		}
	}
	return s, nil
}

func (a *API) history(ctx context.Context, req *fasthttp.RequestCtx, _ operator) (any, *result.Error) {
	n := defaultHistory
	if text := string(req.QueryArgs().Peek("newest")); text != "" {
		var err error
		n, err = strconv.Atoi(text)
		if err != nil || n < 1 {
			return nil, result.Newf(result.Malformed, "newest is %q, want a whole number of at least 1", text)
		}
	}
	records, err := a.ports.History(ctx, n)
	if err != nil {
		return nil, err
	}
	return HistoryResponse{records}, nil
}

func (a *API) configuration(context.Context, *fasthttp.RequestCtx, operator) (any, *result.Error) {
	doc := a.ports.Current()
	if doc.Revision == 0 {
		return nil, result.New(result.ConfigurationMissing, "no plan has been confirmed yet, or this instance has not reached a store or peer that has the configuration")
	}
	return doc, nil
}

// decodeOne decodes body, which must be exactly one JSON object without unknown
// fields, into v.
func decodeOne(body []byte, v any) *result.Error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return result.New(result.Malformed, err.Error())
	}
	if _, err := d.Token(); err != io.EOF {
		return result.New(result.Malformed, "want one JSON object and nothing after it")
	}
	return nil
}

package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"

	"crocuslug/claim"
	"crocuslug/claimstore"
	"crocuslug/claimwriter"
	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/keyvalue"
	"crocuslug/membership"
	"crocuslug/problem"
	"crocuslug/rendezvous"
	"crocuslug/result"
	"crocuslug/serviceproxy"
	"crocuslug/store"
)

// methodClaim asks another instance to apply a claim operation to a bucket.
const methodClaim = "Actions.Claim"

// Default budgets of an instance's calls to the platform's key-value service for claims, per
// second. While writers wait for the budget, more operations are combined into each write.
const (
	defaultClaimReads  = 60
	defaultClaimWrites = 80
)

// actions forwards requests to plain services. Requests that must not be repeated run under a
// claim.
type actions struct {
	store        *claimstore.Store
	writer       *claimwriter.Writer
	proxy        *serviceproxy.Proxy
	running      atomic.Int64 // requests to plain services in progress
	claimLatency metrics.Histogram
}

// buildActions wires the claim store, the claim writer and the proxy for plain services.
func (d *Daemon) buildActions() {
	d.actions = &actions{}
	sample := metrics.NewExpDecaySample(sampleSize, sampleAlpha)
	d.actions.claimLatency = metrics.NewRegisteredHistogram("ClaimUs", d.metrics.registry, sample)
	for _, name := range []string{"ClaimWrites", "ClaimBytes", "ClaimsForwarded"} {
		d.metrics.count(name, 0)
	}
	d.gauge("ActionsLeft", d.actionsLeft)
	run := d.id + ident.Instance("-"+runName())
	cfg := d.claimSettings()
	d.actions.store = claimstore.New(cfg, d.claimStore(), d.opt.Timer, run)
	d.actions.writer = claimwriter.New(claimwriter.Settings{Claims: cfg.Claims}, claimwriter.Dependencies{
		ApplyLocal:      d.actions.store.Apply,
		Forward:         d.forwardClaim,
		PreferredWriter: d.claimWriter,
		Spawn:           d.tasks.Go,
	}, d.opt.Timer, run)
	d.link.Handle(methodClaim, d.handleClaim)
	d.actions.proxy = serviceproxy.New(serviceproxy.Settings{MaxBody: d.cfg.Limits.BodyBytes}, serviceproxy.Ports{
		Configuration:  func() *configuration.Document { return d.doc.Load().Document },
		Authenticate:   d.authenticate,
		Admit:          d.admitServiceRequest,
		Context:        func() context.Context { return d.ctx },
		Tracer:         d.opt.Tracer,
		ChooseUpstream: d.ChooseServiceUpstream,
		OnUnavailable:  func(u ident.Upstream) { d.loop.Post(func() { d.announceSignal(u) }) },
		Retry:          d.DecideServiceRetry,
		Suspects:       d.suspects,
		Claim:          d.claimAction,
		Settle:         d.settleAction,
		Problem:        d.serviceProblem,
	}, d.opt.Timer)
}

// claimSettings returns the options for claims, with unset ones taken from the settings file.
func (d *Daemon) claimSettings() claimstore.Settings {
	cfg := d.opt.Claims
	a := d.cfg.Actions
	cfg.Claims.Buckets = orDefault(cfg.Claims.Buckets, a.Buckets)
	cfg.Claims.MaxKeys = orDefault(cfg.Claims.MaxKeys, a.Keys)
	cfg.Claims.RequireIssueTime = cfg.Claims.RequireIssueTime || a.DatedKeys
	if cfg.Claims.Retention == 0 {
		cfg.Claims.Retention = a.Retention
	}
	return cfg
}

// runNameBytes is the number of random bytes in a run name.
const runNameBytes = 6

// runName returns a random name that distinguishes this run of a daemon from all other runs.
func runName() string {
	id := uuid.New()
	return fmt.Sprintf("%x", id[:runNameBytes])
}

// claimStore returns the store of claims. It has its own budget of calls, so that claims and
// the distribution of configurations do not delay each other.
func (d *Daemon) claimStore() store.Store {
	inner := d.opt.Store
	if inner.Get == nil {
		c := keyvalue.New(keyvalue.Settings{
			Address:         d.cfg.Platform.KeyValue,
			ReadsPerSecond:  float64(orDefault(d.cfg.Platform.ActionReadsPerSec, defaultClaimReads)),
			WritesPerSecond: float64(orDefault(d.cfg.Platform.ActionWritesPerSec, defaultClaimWrites)),
			Seed:            d.seed + 1,
		}, d.opt.Timer)
		inner = c.Store()
		others := d.platformCalls
		d.platformCalls = func() keyvalue.Calls { return addCalls(others(), c.Calls()) }
		d.closers = append(d.closers, c.Close)
	}
	put := inner.Put
	inner.Put = func(ctx context.Context, key string, value []byte, expect store.Version, l store.Lease) (store.Version, error) {
		d.metrics.count("ClaimWrites", 1)
		d.metrics.count("ClaimBytes", len(value))
		return put(ctx, key, value, expect, l)
	}
	return inner
}

// addCalls returns the sum of the counts of two clients.
func addCalls(a, b keyvalue.Calls) keyvalue.Calls {
	return keyvalue.Calls{
		Reads:         a.Reads + b.Reads,
		Writes:        a.Writes + b.Writes,
		Watches:       a.Watches + b.Watches,
		Joined:        a.Joined + b.Joined,
		OverBudget:    a.OverBudget + b.OverBudget,
		BackedOff:     a.BackedOff + b.BackedOff,
		Unavailable:   a.Unavailable + b.Unavailable,
		Unknown:       a.Unknown + b.Unknown,
		SilentWatches: a.SilentWatches + b.SilentWatches,
	}
}

// claimWriter returns the other instance that is preferred to write a bucket, or "" if this
// instance should write it.
func (d *Daemon) claimWriter(bucket int) ident.Instance {
	var live []ident.Instance
	for _, m := range d.members.View().Members {
		if m.State == membership.Live {
			live = append(live, m.Instance)
		}
	}
	order := rendezvous.Order(fmt.Sprintf("claims/%d", bucket), live)
	if len(order) == 0 || order[0] == d.id {
		return ""
	}
	return order[0]
}

// forwardClaim has another instance apply a claim operation.
func (d *Daemon) forwardClaim(ctx context.Context, to ident.Instance, op claim.Operation) (claim.Decision, error) {
	var v claim.Decision
	err := d.link.Call(ctx, to, methodClaim, op, &v)
	d.metrics.count("ClaimsForwarded", 1)
	return v, err
}

// handleClaim applies a claim operation that another instance forwarded.
func (d *Daemon) handleClaim(ctx context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
	var op claim.Operation
	if err := json.Unmarshal(params, &op); err != nil {
		return nil, result.New(result.Malformed, err.Error())
	}
	v, err := d.actions.store.Apply(ctx, op)
	if err != nil {
		return nil, result.New(result.PlatformUnavailable, err.Error())
	}
	return v, nil
}

func (d *Daemon) authenticate(ctx *fasthttp.RequestCtx) (ident.Workspace, *result.Error) {
	if w, ok := d.workspace(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)); ok {
		return w, nil
	}
	return "", result.New(result.Unauthorized, "the Authorization header must carry the key of a workspace as a bearer token")
}

// admitServiceRequest waits until a call to a plain service may start, or refuses it. New calls
// are refused while the instance is leaving.
func (d *Daemon) admitServiceRequest(_ *fasthttp.RequestCtx, w ident.Workspace, rule configuration.Rule) (func(), *result.Error) {
	if d.leaving.Load() {
		return nil, result.New(result.InstanceLeaving, "leaving").After(busyRetry)
	}
	c, cancel := d.withStop(context.Background())
	defer cancel()
	return d.AdmitServiceCall(c, w, rule)
}

// serveService forwards a request to a plain service.
func (d *Daemon) serveService(ctx *fasthttp.RequestCtx) {
	d.actions.running.Add(1)
	defer d.actions.running.Add(-1)
	d.actions.proxy.Handle(ctx)
}

func (d *Daemon) serviceProblem(ctx *fasthttp.RequestCtx, e *result.Error, id ident.Request) {
	d.log.Info().Int("Code", int(e.Code)).Str("Detail", e.Detail).Str("Run", string(e.Run)).
		Str("Request", string(id)).Str("Path", string(ctx.Path())).Msg("service request failed")
	problem.Write(ctx, e, id)
}

// claimAction claims an action, within a span, and records how long that took.
func (d *Daemon) claimAction(ctx context.Context, r claimwriter.Request) (claim.Operation, claim.Decision) {
	ctx, span := d.opt.Tracer.Start(ctx, "claim")
	defer span.End()
	began := d.opt.Timer.Now()
	op, v := d.actions.writer.Claim(ctx, r)
	d.actions.claimLatency.Update(d.opt.Timer.Now().Sub(began).Microseconds())
	outcome := outcomeOf(v)
	span.SetAttributes(attribute.String("claim", string(op.Claim)), attribute.String("outcome", outcome))
	if !v.Granted {
		d.actionEnded(op, outcome)
	}
	return op, v
}

// outcomeOf returns the name of a decision for metrics and logs.
func outcomeOf(v claim.Decision) string {
	switch {
	case v.Granted:
		return "Granted"
	case v.Answer != nil:
		return "Replayed"
	case v.Err != nil:
		return v.Err.Code.String()
	}
	return "Unknown"
}

// settleAction records the outcome of an action that was granted here.
func (d *Daemon) settleAction(op claim.Operation) {
	d.actions.writer.Settle(op)
	d.actionEnded(op, string(op.State))
}

func (d *Daemon) actionEnded(op claim.Operation, outcome string) {
	d.metrics.count("Actions."+outcome, 1)
	d.log.Info().Str("Claim", string(op.Claim)).Str("Outcome", outcome).Msg("action")
}

// actionsLeft returns the number of requests to plain services in progress plus the number of
// outcomes that are not recorded yet.
func (d *Daemon) actionsLeft() int {
	return int(d.actions.running.Load()) + d.actions.writer.Pending()
}

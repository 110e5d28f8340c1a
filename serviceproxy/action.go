package serviceproxy

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"crocuslug/claim"
	"crocuslug/claimwriter"
	"crocuslug/configuration"
	"crocuslug/health"
	"crocuslug/ident"
	"crocuslug/result"
)

// Headers of actions.
const (
	keyHeader     = "Idempotency-Key"
	dateHeader    = "Idempotency-Date"
	replayHeader  = "Idempotency-Replayed"
	omittedHeader = "Idempotency-Body-Omitted"
)

// claimLimit is the shortest time that a claim may take, whatever the limit of
// the call: a preferred writer that has just died is waited for within it.
const claimLimit = 2 * time.Second

// action claims and runs a request that must not repeat.
func (p *Proxy) action(r *request) *result.Error {
	key := string(r.ctx.Request.Header.Peek(keyHeader))
	if key == "" {
		return result.New(result.KeyMissing, "the request needs an "+keyHeader)
	}
	issued, err := claim.IssueTime(key, string(r.ctx.Request.Header.Peek(dateHeader)))
	if err != nil {
		return result.New(result.Malformed, dateHeader+" is malformed")
	}
	ctx, cancel := context.WithCancel(r.trace)
	defer cancel()
	sub := p.timer.After(max(r.limit, claimLimit), func(time.Time) { cancel() })
	defer sub.Stop()
	op, v := p.seams.Take(ctx, claimwriter.Request{
		Key:         claim.KeyOf(r.workspace, r.service.Name, key),
		Fingerprint: claim.FingerprintOf(string(r.ctx.Method()), r.path+"?"+string(r.ctx.URI().QueryString()), r.ctx.Request.Body()),
		Issued:      issued,
		Timeout:     p.cfg.DialLimit.Std() + r.limit,
		Status:      p.status(r, key),
	})
	switch {
	case v.Answer != nil:
		replay(r.ctx, *v.Answer)
		return nil
	case v.Granted:
		return p.run(r.trace, r, op)
	}
	return v.Err
}

func replay(ctx *fasthttp.RequestCtx, a claim.Answer) {
	ctx.Response.SetStatusCode(a.Status)
	ctx.Response.Header.SetContentType(a.ContentType)
	ctx.Response.Header.Set(replayHeader, "true")
	if a.Omitted {
		ctx.Response.Header.Set(omittedHeader, "true")
	}
	ctx.Response.SetBody(a.Body)
}

// run sends a claimed action and records what came of it.
func (p *Proxy) run(ctx context.Context, r *request, op claim.Operation) *result.Error {
	conn, up, done, detail := p.connect(r, op.StartBy)
	if conn == nil {
		return p.notRun(op, detail)
	}
	defer func() { _ = conn.Close() }()
	began := p.timer.Now()
	if ctx.Err() != nil || !began.Before(op.StartBy) {
		done(health.OK, 0)
		return p.notRun(op, "the upstream was reached too late")
	}
	err := p.send(r, up, conn, &r.ctx.Response)
	done(kindOf(&r.ctx.Response, err), p.timer.Now().Sub(began))
	if err != nil {
		op.State = claim.Unknown
		p.seams.Settle(op)
		r.ctx.Response.Reset()
		return result.New(result.ActionUnknown, "the upstream failed while it ran the action").Ran(result.RunUnknown)
	}
	op.State = claim.Done
	op.Answer = claim.Answer{
		Status:      r.ctx.Response.StatusCode(),
		ContentType: string(r.ctx.Response.Header.ContentType()),
		Body:        append([]byte(nil), r.ctx.Response.Body()...),
	}
	p.seams.Settle(op)
	return nil
}

// connect dials upstreams until one is reached; nothing is sent on the way.
func (p *Proxy) connect(r *request, startBy time.Time) (net.Conn, configuration.Upstream, func(health.Kind, time.Duration), string) {
	detail := "no upstream serves this"
	var tried []ident.Upstream
	for len(tried) < p.cfg.MaxTries && p.timer.Now().Before(startBy) {
		up, done, ok := p.seams.ChooseUpstream(r.service.Name, tried)
		if !ok {
			break
		}
		conn, err := p.dial(up.Address)
		if err == nil {
			return conn, up, done, ""
		}
		done(health.Refused, 0)
		tried = append(tried, up.Name)
		detail = "no upstream could be reached"
	}
	return nil, configuration.Upstream{}, nil, detail
}

// runRetryAfter is when a caller may repeat an action that was not run.
const runRetryAfter = time.Second

func (p *Proxy) notRun(op claim.Operation, detail string) *result.Error {
	op.State = claim.NotRun
	p.seams.Settle(op)
	return result.New(result.ActionNotRun, detail).After(runRetryAfter)
}

// status returns the function that asks the service about a key, or nil.
func (p *Proxy) status(r *request, key string) func(context.Context) (claim.State, claim.Answer) {
	if r.service.StatusPath == "" {
		return nil
	}
	return func(context.Context) (claim.State, claim.Answer) { return p.ask(r, key) }
}

func (p *Proxy) ask(r *request, key string) (claim.State, claim.Answer) {
	began := p.timer.Now()
	conn, up, done, _ := p.connect(r, began.Add(r.limit))
	if conn == nil {
		return claim.Unknown, claim.Answer{}
	}
	defer func() { _ = conn.Close() }()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://" + up.Address + statusPath(r.service.StatusPath, key))
	req.Header.Set(keyHeader, key)
	err := roundTrip(conn, &req, &resp, p.timer.Now().Add(r.limit), p.cfg.MaxBody)
	done(kindOf(&resp, err), p.timer.Now().Sub(began))
	if err != nil {
		return claim.Unknown, claim.Answer{}
	}
	switch resp.StatusCode() {
	case http.StatusOK:
		return claim.Done, claim.Answer{
			Status:      http.StatusOK,
			ContentType: string(resp.Header.ContentType()),
			Body:        append([]byte(nil), resp.Body()...),
		}
	case http.StatusNotFound:
		return claim.NotRun, claim.Answer{}
	}
	return claim.Unknown, claim.Answer{}
}

// keyPlace stands for the key in a status path.
const keyPlace = "{key}"

// statusPath puts the key in its place in path, or at the end.
func statusPath(path, key string) string {
	escaped := url.PathEscape(key)
	if before, after, ok := strings.Cut(path, keyPlace); ok {
		return before + escaped + after
	}
	if path[len(path)-1] != '/' {
		path += "/"
	}
	return path + escaped
}

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

// Header fields of actions.
const (
	keyHeader     = "Idempotency-Key"
	dateHeader    = "Idempotency-Date"
	replayHeader  = "Idempotency-Replayed"
	omittedHeader = "Idempotency-Body-Omitted"
)

// minClaimTimeout is the least time limit of a claim, even if the limit of the call is shorter. It
// covers the wait for a preferred writer that has just died.
const minClaimTimeout = 2 * time.Second

// runOnce claims an action and runs it, or writes the recorded answer if the action ran before.
func (p *Proxy) runOnce(r *request) *result.Error {
	key := string(r.ctx.Request.Header.Peek(keyHeader))
	if key == "" {
		return result.New(result.KeyMissing, "the request needs an "+keyHeader)
	}
	issued, err := claim.IssueTime(key, string(r.ctx.Request.Header.Peek(dateHeader)))
	if err != nil {
		return result.New(result.Malformed, dateHeader+": want an HTTP date or an RFC 3339 time")
	}
	ctx, cancel := context.WithCancel(r.traceCtx)
	defer cancel()
	sub := p.timer.After(max(r.timeout, minClaimTimeout), func(time.Time) { cancel() })
	defer sub.Stop()
	op, v := p.ports.Claim(ctx, claimwriter.Request{
		Key:         claim.KeyOf(r.workspace, r.service.Name, key),
		Fingerprint: claim.FingerprintOf(string(r.ctx.Method()), r.path+"?"+string(r.ctx.URI().QueryString()), r.ctx.Request.Body()),
		Issued:      issued,
		Timeout:     p.cfg.DialTimeout.Std() + r.timeout,
		Status:      p.statusCheck(r, key),
	})
	switch {
	case v.Answer != nil:
		writeAnswer(r.ctx, *v.Answer)
		return nil
	case v.Granted:
		return p.runClaimed(r.traceCtx, r, op)
	}
	return v.Err
}

// writeAnswer writes the recorded answer of an action that ran before.
func writeAnswer(ctx *fasthttp.RequestCtx, a claim.Answer) {
	ctx.Response.SetStatusCode(a.Status)
	ctx.Response.Header.SetContentType(a.ContentType)
	ctx.Response.Header.Set(replayHeader, "true")
	if a.Omitted {
		ctx.Response.Header.Set(omittedHeader, "true")
	}
	ctx.Response.SetBody(a.Body)
}

// runClaimed sends a claimed action and records the outcome.
func (p *Proxy) runClaimed(ctx context.Context, r *request, op claim.Operation) *result.Error {
	conn, up, done, detail := p.connect(r, op.StartBy)
	if conn == nil {
		return p.notRun(op, detail)
	}
	defer func() { _ = conn.Close() }()
	began := p.timer.Now()
	if ctx.Err() != nil || !began.Before(op.StartBy) {
		done(health.OK, 0)
		return p.notRun(op, "the connection to the upstream was open too late to start the action")
	}
	err := p.send(r, up, conn, &r.ctx.Response)
	p.recordEnd(r, up, began, err)
	done(healthKind(&r.ctx.Response, err), p.timer.Now().Sub(began))
	if err != nil {
		op.State = claim.Unknown
		p.ports.Settle(op)
		r.ctx.Response.Reset()
		return result.New(result.ActionUnknown, "the upstream failed while it ran the action").Ran(result.RunUnknown)
	}
	op.State = claim.Done
	op.Answer = claim.Answer{
		Status:      r.ctx.Response.StatusCode(),
		ContentType: string(r.ctx.Response.Header.ContentType()),
		Body:        append([]byte(nil), r.ctx.Response.Body()...),
	}
	p.ports.Settle(op)
	return nil
}

// connect dials upstreams until a connection opens, and sends nothing. Upstreams that do not
// respond may only have paused, so they are dialled again until startBy. Without a connection
// it returns the reason.
func (p *Proxy) connect(r *request, startBy time.Time) (net.Conn, configuration.Upstream, func(health.Kind, time.Duration), string) {
	detail := "no upstream serves the service"
	var tried []ident.Upstream
	failures, silent := 0, false
	for failures < p.cfg.MaxAttempts && p.timer.Now().Before(startBy) {
		up, done, ok := p.ports.ChooseUpstream(r.service.Name, tried)
		if !ok && silent {
			tried, silent = nil, false
			continue
		}
		if !ok {
			break
		}
		conn, err := p.dial(up.Address)
		if err == nil {
			return conn, up, done, ""
		}
		done(dialKind(err), 0)
		tried = append(tried, up.Name)
		detail = "no upstream could be reached"
		if isTimeout(err) {
			silent = true
		} else {
			failures++
		}
	}
	return nil, configuration.Upstream{}, nil, detail
}

// notRunRetryAfter is the time after which a caller may repeat a request that was not run.
const notRunRetryAfter = time.Second

// notRun records that an action was not run and returns the error for the caller.
func (p *Proxy) notRun(op claim.Operation, detail string) *result.Error {
	op.State = claim.NotRun
	p.ports.Settle(op)
	return result.New(result.ActionNotRun, detail).After(notRunRetryAfter)
}

// statusCheck returns a function that asks the service whether the action with key ran, or nil if
// the service has no status path.
func (p *Proxy) statusCheck(r *request, key string) func(context.Context) (claim.State, claim.Answer) {
	if r.service.StatusPath == "" {
		return nil
	}
	return func(context.Context) (claim.State, claim.Answer) { return p.askStatus(r, key) }
}

// askStatus asks the service for the state of the action with key and for its answer.
func (p *Proxy) askStatus(r *request, key string) (claim.State, claim.Answer) {
	began := p.timer.Now()
	conn, up, done, _ := p.connect(r, began.Add(r.timeout))
	if conn == nil {
		return claim.Unknown, claim.Answer{}
	}
	defer func() { _ = conn.Close() }()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://" + up.Address + statusPath(r.service.StatusPath, key))
	req.Header.Set(keyHeader, key)
	err := roundTrip(conn, &req, &resp, p.timer.Now().Add(r.timeout), p.cfg.MaxBody)
	done(healthKind(&resp, err), p.timer.Now().Sub(began))
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

// keyPlaceholder stands for the key in a status path.
const keyPlaceholder = "{key}"

// statusPath returns path with key in place of keyPlaceholder, or at the end if there is no
// placeholder.
func statusPath(path, key string) string {
	escaped := url.PathEscape(key)
	if before, after, ok := strings.Cut(path, keyPlaceholder); ok {
		return before + escaped + after
	}
	if path[len(path)-1] != '/' {
		path += "/"
	}
	return path + escaped
}

package serviceproxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"crocuslug/configuration"
	"crocuslug/health"
	"crocuslug/result"
	"crocuslug/statusline"
)

// hopHeaders concern a single connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// credentialHeader holds the caller's key to this system. It is not forwarded to services.
const credentialHeader = "Authorization"

func (p *Proxy) dial(address string) (net.Conn, error) {
	return fasthttp.DialTimeout(address, p.cfg.DialTimeout.Std())
}

// exchange sends a request to an upstream on a new connection. With an error it returns whether
// the request may have run.
func (p *Proxy) exchange(r *request, up configuration.Upstream, done func(health.Kind, time.Duration)) (result.Run, error) {
	began := p.timer.Now()
	conn, err := p.dial(up.Address)
	if err != nil {
		done(dialKind(err), p.timer.Now().Sub(began))
		return result.RunNot, err
	}
	defer func() { _ = conn.Close() }()
	sent := p.timer.Now()
	err = p.send(r, up, conn, &r.ctx.Response)
	p.recordEnd(r, up, sent, err)
	done(healthKind(&r.ctx.Response, err), p.timer.Now().Sub(began))
	if err != nil {
		r.ctx.Response.Reset()
	}
	return result.RunUnknown, err
}

// dialKind returns the outcome of a failed connection for the health of the upstream. One that
// does not respond in time may only have paused.
func dialKind(err error) health.Kind {
	if isTimeout(err) {
		return health.Silent
	}
	return health.Refused
}

// isTimeout reports whether a connection could not be opened in time.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &ne) && ne.Timeout()
}

// healthKind returns the outcome of an exchange for the health of the upstream.
func healthKind(resp *fasthttp.Response, err error) health.Kind {
	switch {
	case err != nil:
		return health.Failed
	case resp.StatusCode() == http.StatusServiceUnavailable:
		return health.Refused
	}
	return health.OK
}

// send sends a request on conn, without the fields that concern the caller's connection, and reads
// the response.
func (p *Proxy) send(r *request, up configuration.Upstream, conn net.Conn, resp *fasthttp.Response) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	r.ctx.Request.CopyTo(req)
	removeHopHeaders(&req.Header)
	req.Header.Del(credentialHeader)
	req.SetRequestURI("http://" + up.Address)
	req.URI().SetPath(r.path)
	req.URI().SetQueryStringBytes(r.ctx.URI().QueryString())
	req.Header.SetHost(up.Address)
	span := p.startUpstreamSpan(r, up, req)
	err := roundTrip(conn, req, resp, p.timer.Now().Add(r.timeout), p.cfg.MaxBody)
	if err != nil {
		span.RecordError(err)
	}
	span.End()
	if err != nil {
		return err
	}
	if resp.StatusCode() == http.StatusServiceUnavailable && p.ports.OnUnavailable != nil {
		p.ports.OnUnavailable(up.Name)
	}
	for _, h := range hopHeaders {
		resp.Header.Del(h)
	}
	return nil
}

// removeHopHeaders removes the header fields that concern the caller's connection, including those
// that its Connection field names.
func removeHopHeaders(h *fasthttp.RequestHeader) {
	for name := range strings.SplitSeq(string(h.Peek("Connection")), ",") {
		if name = strings.TrimSpace(name); name != "" {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// Bounds on what is read of a response, beside that on its body.
const (
	maxHead    = 64 << 10 // bytes
	maxFraming = 8        // bytes in chunks for each byte of the body; those of one byte take six
)

// roundTrip writes a request and reads its response of at most maxBody bytes, both before
// deadline.
func roundTrip(conn net.Conn, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time, maxBody int) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	req.SetConnectionClose()
	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	resp.SkipBody = req.Header.IsHead()
	r := bufio.NewReader(io.LimitReader(conn, maxHead+maxFraming*int64(maxBody)))
	if err := statusline.SkipInterim(r, &resp.Header); err != nil {
		return err
	}
	if err := resp.ReadLimitBody(r, maxBody); err != nil {
		return err
	}
	resp.Header.ResetConnectionClose()
	return nil
}

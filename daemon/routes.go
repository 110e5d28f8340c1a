package daemon

import (
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"crocuslug/bodybudget"
	"crocuslug/problem"
	"crocuslug/result"
	"crocuslug/serviceproxy"
)

// Default limits of the HTTP server.
const (
	defaultBodyBytes   = 4 << 20
	defaultConnections = 16384
	maxRequestHead     = 64 << 10 // bytes of a head that are counted with the largest body
)

// buildRoutes wires the HTTP server and its routes.
func (d *Daemon) buildRoutes() {
	r := router.New()
	r.POST("/v1/chat/completions", d.requireConfiguration(d.gateway.Completions))
	r.GET("/v1/generations/{request}", d.requireConfiguration(d.gateway.Generations))
	r.ANY(serviceproxy.Prefix+"{service}/{path:*}", d.requireConfiguration(d.serveService))
	r.ANY(operatorPath+"{call}", d.operator.Handle)
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", d.handleReady)
	r.GET("/metrics", d.writeMetrics)
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		problem.Write(ctx, result.New(result.NotFound, "no such path"), "")
	}
	r.MethodNotAllowed = func(ctx *fasthttp.RequestCtx) {
		problem.Write(ctx, result.New(result.MethodNotAllowed, "the Allow header lists the methods of this path"), "")
	}
	d.buildGauges()
	d.server = &fasthttp.Server{
		Handler:               d.countAnswers(checkFraming(r.Handler)),
		HeaderReceived:        d.requestLimits,
		ErrorHandler:          d.handleReadError,
		ConnState:             changeState,
		Name:                  "crocuslug",
		MaxRequestBodySize:    orDefault(d.cfg.Limits.BodyBytes, defaultBodyBytes),
		Concurrency:           orDefault(d.cfg.Limits.Connections, defaultConnections),
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
	}
}

func orDefault(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}

// discardLogger drops the log lines of the HTTP server. Requests that it cannot read are
// answered by handleReadError.
type discardLogger struct{}

// Printf drops a log line.
func (discardLogger) Printf(string, ...any) {}

// handleReadError answers a request that could not be read.
func (d *Daemon) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	c, counted := ctx.Conn().(*conn)
	switch {
	case counted && c.memory.lost():
		c.memory.release()
		d.discardBody(c.Conn)
		problem.Write(ctx, result.New(result.Overloaded, errGaveWay.Error()).After(busyRetry), "")
		return
	case counted && c.memory.refused == bodybudget.TooLarge, err == fasthttp.ErrBodyTooLarge:
		if counted {
			c.memory.release()
			d.discardBody(c.Conn)
		}
		problem.Write(ctx, result.New(result.TooLarge, "the request could not be read"), "")
		return
	}
	problem.Write(ctx, result.New(result.Malformed, "the request could not be read"), "")
}

// Limits of reading the rest of a body that is refused for its size.
const (
	discardIdleTimeout = 200 * time.Millisecond
	discardTimeout     = 5 * time.Second
	maxDiscardedBytes  = 64 << 20
)

// discardBody reads and drops what the caller still sends. A connection that is closed with
// unread bytes is reset, and the caller would not receive the answer.
func (d *Daemon) discardBody(c net.Conn) {
	buf := make([]byte, 64<<10)
	began := d.opt.Timer.Now()
	for discarded := 0; discarded < maxDiscardedBytes; {
		now := d.opt.Timer.Now()
		if now.Sub(began) > discardTimeout || c.SetReadDeadline(now.Add(discardIdleTimeout)) != nil {
			return
		}
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		discarded += n
	}
}

func (d *Daemon) handleReady(ctx *fasthttp.RequestCtx) {
	if d.leaving.Load() {
		problem.Write(ctx, result.New(result.InstanceLeaving, "leaving"), "")
		return
	}
	if !d.configured() {
		problem.Write(ctx, result.New(result.ConfigurationMissing, "this instance has not received a configuration yet").After(busyRetry), "")
		return
	}
	ctx.SetBodyString("ready\n")
}

func (d *Daemon) writeMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/json")
	metrics.WriteJSONOnce(d.metrics.registry, ctx)
}

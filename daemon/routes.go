package daemon

import (
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"crocuslug/problem"
	"crocuslug/result"
	"crocuslug/serviceproxy"
)

// Bounds of the HTTP server.
const (
	defaultBodyBytes   = 4 << 20
	defaultConnections = 16384
)

// buildRoutes wires the HTTP server.
func (d *Daemon) buildRoutes() {
	r := router.New()
	r.POST("/v1/chat/completions", d.needConfiguration(d.gateway.Completions))
	r.GET("/v1/generations/{request}", d.needConfiguration(d.gateway.Generations))
	r.ANY(serviceproxy.Prefix+"{service}/{path:*}", d.needConfiguration(d.serveService))
	r.ANY(operatorPath+"{call}", d.operator.Handle)
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", d.ready)
	r.GET("/metrics", d.writeMetrics)
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		problem.Write(ctx, result.New(result.NotFound, "no such path"), "")
	}
	r.MethodNotAllowed = func(ctx *fasthttp.RequestCtx) {
		problem.Write(ctx, result.New(result.MethodNotAllowed, "see the Allow header"), "")
	}
	d.buildGauges()
	d.server = &fasthttp.Server{
		Handler:               d.countAnswers(r.Handler),
		HeaderReceived:        d.bounds,
		ErrorHandler:          d.malformed,
		Name:                  "crocuslug",
		MaxRequestBodySize:    orDefault(d.cfg.Limits.BodyBytes, defaultBodyBytes),
		Concurrency:           orDefault(d.cfg.Limits.Connections, defaultConnections),
		NoDefaultServerHeader: true,
		Logger:                quiet{},
	}
}

func orDefault(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}

// quiet drops the server's own log lines; malformed requests are answered.
type quiet struct{}

// Printf drops a line.
func (quiet) Printf(string, ...any) {}

// malformed answers a request that could not be read.
func (d *Daemon) malformed(ctx *fasthttp.RequestCtx, err error) {
	code := result.Malformed
	if err == fasthttp.ErrBodyTooLarge {
		code = result.TooLarge
		d.drain(ctx.Conn())
	}
	problem.Write(ctx, result.New(code, "the request could not be read"), "")
}

// Bounds of taking in a body that is refused for its size.
const (
	drainIdle  = 200 * time.Millisecond
	drainTime  = 5 * time.Second
	drainBytes = 64 << 20
)

// drain drops what the caller still sends. A connection that is closed with
// bytes unread is reset, and the caller would not see why.
func (d *Daemon) drain(c net.Conn) {
	buf := make([]byte, 64<<10)
	began := d.opt.Timer.Now()
	for taken := 0; taken < drainBytes; {
		now := d.opt.Timer.Now()
		if now.Sub(began) > drainTime || c.SetReadDeadline(now.Add(drainIdle)) != nil {
			return
		}
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		taken += n
	}
}

func (d *Daemon) ready(ctx *fasthttp.RequestCtx) {
	if d.leaving.Load() {
		problem.Write(ctx, result.New(result.InstanceLeaving, "leaving"), "")
		return
	}
	if !d.configured() {
		problem.Write(ctx, result.New(result.ConfigurationMissing, "no configuration has reached this instance").After(busyRetry), "")
		return
	}
	ctx.SetBodyString("ready\n")
}

func (d *Daemon) writeMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/json")
	metrics.WriteJSONOnce(d.metrics.registry, ctx)
}

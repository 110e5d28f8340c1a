package edge

import (
	"net"
	"net/http"
	"strings"

	"github.com/valyala/fasthttp"
)

// MetricsPath is the path of the metrics, at the address of readiness.
const MetricsPath = "/metrics"

// startAdmin serves readiness and metrics.
func (e *Edge) startAdmin() error {
	l, err := net.Listen("tcp", e.cfg.ReadyListen)
	if err != nil {
		return err
	}
	e.admin = &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case e.ports.ReadinessPath:
			if !e.ready() {
				ctx.SetStatusCode(http.StatusServiceUnavailable)
			}
		case MetricsPath:
			var b strings.Builder
			e.writeMetrics(&b)
			ctx.SetBodyString(b.String())
		default:
			ctx.SetStatusCode(http.StatusNotFound)
		}
	}}
	e.tasks.Go(func() {
		if err := e.admin.Serve(l); err != nil {
			e.log.Error().Err(err).Msg("readiness is no longer served")
		}
	})
	return nil
}

// ready reports whether new callers may come.
func (e *Edge) ready() bool {
	return e.current.Load() != nil && !e.leaving.Load()
}

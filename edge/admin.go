package edge

import (
	"net"
	"net/http"
	"strings"

	"github.com/valyala/fasthttp"
)

// MetricsPath is the path of the metrics. They are served at the address for readiness checks.
const MetricsPath = "/metrics"

// startAdmin starts the HTTP server for readiness checks and metrics.
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
			e.log.Error().Err(err).Msg("server for readiness and metrics has ended")
		}
	})
	return nil
}

// ready reports whether this instance accepts new callers: it has a configuration and is not
// leaving.
func (e *Edge) ready() bool {
	return e.current.Load() != nil && !e.leaving.Load()
}

package serviceproxy

import (
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"crocuslug/configuration"
)

// traceHeader is the header field of W3C Trace Context.
const traceHeader = "traceparent"

// startCallerSpan starts the span of a caller's request and sets r.traceCtx.
func (p *Proxy) startCallerSpan(r *request) trace.Span {
	in := propagation.MapCarrier{traceHeader: string(r.ctx.Request.Header.Peek(traceHeader))}
	ctx := propagation.TraceContext{}.Extract(p.ports.Context(), in)
	ctx, span := p.ports.Tracer.Start(ctx, "caller request", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("Request", string(r.id)),
		attribute.String("Workspace", string(r.workspace)),
		attribute.String("Service", string(r.service.Name))))
	r.traceCtx = ctx
	return span
}

// startUpstreamSpan starts the span of a call to an upstream and adds its context to the header of
// req.
func (p *Proxy) startUpstreamSpan(r *request, up configuration.Upstream, req *fasthttp.Request) trace.Span {
	ctx, span := p.ports.Tracer.Start(r.traceCtx, "upstream call", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("Upstream", string(up.Name))))
	out := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, out)
	for name, value := range out {
		req.Header.Set(name, value)
	}
	return span
}

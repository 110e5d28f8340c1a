package serviceproxy

import (
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"crocuslug/configuration"
)

// traceHeader is that of W3C Trace Context.
const traceHeader = "traceparent"

// received begins the span of the caller's hop.
func (p *Proxy) received(r *request) trace.Span {
	in := propagation.MapCarrier{traceHeader: string(r.ctx.Request.Header.Peek(traceHeader))}
	ctx := propagation.TraceContext{}.Extract(p.seams.Context(), in)
	ctx, span := p.seams.Tracer.Start(ctx, "caller request", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("Request", string(r.id)),
		attribute.String("Workspace", string(r.workspace)),
		attribute.String("Service", string(r.service.Name))))
	r.trace = ctx
	return span
}

// sent begins the span of a call to an upstream and puts it into req.
func (p *Proxy) sent(r *request, up configuration.Upstream, req *fasthttp.Request) trace.Span {
	ctx, span := p.seams.Tracer.Start(r.trace, "upstream call", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("Upstream", string(up.Name))))
	out := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, out)
	for name, value := range out {
		req.Header.Set(name, value)
	}
	return span
}

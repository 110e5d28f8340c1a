package peerlink

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"crocuslug/ident"
)

// startClientSpan starts the span of a call to a peer and returns the options that
// propagate it. Calls outside a trace get no span, because instances call each other
// continuously.
func (l *Link) startClientSpan(ctx context.Context, to ident.Instance, method string) (context.Context, trace.Span, []jsonrpc2.CallOption) {
	if l.Tracer == nil || !trace.SpanContextFromContext(ctx).IsValid() {
		return ctx, trace.SpanFromContext(context.Background()), nil
	}
	ctx, span := l.Tracer.Start(ctx, "peer call", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("Method", method), attribute.String("Instance", string(to))))
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return ctx, span, []jsonrpc2.CallOption{jsonrpc2.Meta(carrier)}
}

// startServerSpan starts the span of a call from a peer if the call belongs to a trace.
func (l *Link) startServerSpan(ctx context.Context, from ident.Instance, req *jsonrpc2.Request) (context.Context, trace.Span) {
	none := trace.SpanFromContext(context.Background())
	if l.Tracer == nil || req.Meta == nil {
		return ctx, none
	}
	carrier := propagation.MapCarrier{}
	if err := json.Unmarshal(*req.Meta, &carrier); err != nil {
		return ctx, none
	}
	ctx = propagation.TraceContext{}.Extract(ctx, carrier)
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ctx, none
	}
	return l.Tracer.Start(ctx, "peer request", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("Method", req.Method), attribute.String("Peer", string(from))))
}

// endSpan ends a span and records err if it is not nil.
func endSpan(span trace.Span, err error) {
	if err != nil {
		span.RecordError(err)
	}
	span.End()
}

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

// span begins the span of a call to a peer and returns the options that carry
// it there. Calls that belong to no trace get none: instances call each other
// all the time.
func (l *Link) span(ctx context.Context, to ident.Instance, method string) (context.Context, trace.Span, []jsonrpc2.CallOption) {
	if l.Tracer == nil || !trace.SpanContextFromContext(ctx).IsValid() {
		return ctx, trace.SpanFromContext(context.Background()), nil
	}
	ctx, span := l.Tracer.Start(ctx, "peer call", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("Method", method), attribute.String("Instance", string(to))))
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return ctx, span, []jsonrpc2.CallOption{jsonrpc2.Meta(carrier)}
}

// received begins the span of a call that a peer made, if it belongs to a trace.
func (l *Link) received(ctx context.Context, from ident.Instance, req *jsonrpc2.Request) (context.Context, trace.Span) {
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

// finish ends a span with what came of it.
func finish(span trace.Span, err error) {
	if err != nil {
		span.RecordError(err)
	}
	span.End()
}

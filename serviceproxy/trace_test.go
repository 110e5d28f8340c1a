package serviceproxy

import (
	"slices"
	"testing"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/valyala/fasthttp"
)

// TestTrace checks that the span of the upstream call is a child of the span of the caller's
// request, and that this is a child of the span that the caller named.
func TestTrace(t *testing.T) {
	b := newFixture(t)
	out := tracetest.NewInMemoryExporter()
	b.proxy.ports.Tracer = sdktrace.NewTracerProvider(sdktrace.WithSyncer(out)).Tracer("test")
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod("POST")
	ctx.Request.SetRequestURI("/v1/services/booking/bookings?q=1")
	ctx.Request.Header.Set("Idempotency-Key", "trace")
	ctx.Request.Header.Set("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	b.proxy.Handle(&ctx)
	var got []string
	parent := "b7ad6b7169203331"
	spans := out.GetSpans()
	slices.Reverse(spans)
	for _, s := range spans {
		if s.Parent.SpanID().String() != parent {
			t.Errorf("parent of %q: got %s, want %s", s.Name, s.Parent.SpanID(), parent)
		}
		got = append(got, s.Name)
		parent = s.SpanContext.SpanID().String()
	}
	if want := []string{"caller request", "upstream call"}; !slices.Equal(got, want) {
		t.Errorf("spans: got %v, want %v", got, want)
	}
	if b.privateHeaders.Load() != 0 {
		t.Errorf("header of the upstream's request: got no traceparent or a private field, want only the traceparent")
	}
}

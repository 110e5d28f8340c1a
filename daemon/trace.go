package daemon

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"crocuslug/store"
)

// tracingStore records a span for each call to the platform's key-value service.
type tracingStore struct {
	tracer trace.Tracer
	store  store.Store
}

// tracedStore returns s with a span around each call.
func tracedStore(s store.Store, tracer trace.Tracer) store.Store {
	p := tracingStore{tracer, s}
	return store.Store{
		Get:    p.get,
		List:   p.list,
		Scan:   p.scan,
		Put:    p.put,
		Delete: p.delete,
		Watch:  p.watch,
		Grant:  p.grant,
		Renew:  p.renew,
		Revoke: p.revoke,
	}
}

func (p tracingStore) start(ctx context.Context, kind, key string) (context.Context, trace.Span) {
	return p.tracer.Start(ctx, "platform call", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("Kind", kind), attribute.String("Key", key)))
}

func finishSpan(span trace.Span, err error) {
	if err != nil {
		span.RecordError(err)
	}
	span.End()
}

func (p tracingStore) get(ctx context.Context, key string) (store.Entry, error) {
	ctx, span := p.start(ctx, "Get", key)
	e, err := p.store.Get(ctx, key)
	finishSpan(span, err)
	return e, err
}

func (p tracingStore) list(ctx context.Context, prefix string) ([]store.Entry, error) {
	ctx, span := p.start(ctx, "List", prefix)
	es, err := p.store.List(ctx, prefix)
	finishSpan(span, err)
	return es, err
}

func (p tracingStore) scan(ctx context.Context, prefix string) ([]store.Entry, store.Version, error) {
	ctx, span := p.start(ctx, "Scan", prefix)
	es, v, err := p.store.Scan(ctx, prefix)
	finishSpan(span, err)
	return es, v, err
}

func (p tracingStore) put(ctx context.Context, key string, value []byte, expect store.Version, lease store.Lease) (store.Version, error) {
	ctx, span := p.start(ctx, "Put", key)
	v, err := p.store.Put(ctx, key, value, expect, lease)
	finishSpan(span, err)
	return v, err
}

func (p tracingStore) delete(ctx context.Context, key string, expect store.Version) error {
	ctx, span := p.start(ctx, "Delete", key)
	err := p.store.Delete(ctx, key, expect)
	finishSpan(span, err)
	return err
}

func (p tracingStore) watch(ctx context.Context, prefix string, after store.Version) ([]store.Entry, store.Version, error) {
	ctx, span := p.start(ctx, "Watch", prefix)
	es, v, err := p.store.Watch(ctx, prefix, after)
	finishSpan(span, err)
	return es, v, err
}

func (p tracingStore) grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	ctx, span := p.start(ctx, "Grant", "")
	l, err := p.store.Grant(ctx, ttl)
	finishSpan(span, err)
	return l, err
}

func (p tracingStore) renew(ctx context.Context, lease store.Lease) error {
	ctx, span := p.start(ctx, "Renew", "")
	err := p.store.Renew(ctx, lease)
	finishSpan(span, err)
	return err
}

func (p tracingStore) revoke(ctx context.Context, lease store.Lease) error {
	ctx, span := p.start(ctx, "Revoke", "")
	err := p.store.Revoke(ctx, lease)
	finishSpan(span, err)
	return err
}

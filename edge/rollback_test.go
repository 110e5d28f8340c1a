package edge_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"crocuslug/canary"
	"crocuslug/edge"
	"crocuslug/ident"
)

// writeCounter counts the writes to upstreams of a build while that is rolled back.
type writeCounter struct {
	rolledBack atomic.Bool
	writes     atomic.Int32

	mu        sync.Mutex
	addresses map[string]bool // of upstreams of the build
}

// countedConn is a connection to an upstream of that build.
type countedConn struct {
	net.Conn
	counter *writeCounter
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	if c.counter.rolledBack.Load() {
		c.counter.writes.Add(1)
	}
	return c.Conn.Write(b)
}

// wrap returns a function that opens the connections of an instance and counts what is written.
func (w *writeCounter) wrap(dial func(context.Context, string) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		w.mu.Lock()
		defer w.mu.Unlock()
		if err != nil || !w.addresses[address] {
			return c, err
		}
		return countedConn{c, w}, nil
	}
}

// TestRolledBackBuildGetsNothing guards against requests to a build that was rolled back: new streams, streams that
// callers take up, which must be refused, probes and copies.
func TestRolledBackBuildGetsNothing(t *testing.T) {
	t.Parallel()
	counter := &writeCounter{addresses: make(map[string]bool)}
	s := newSite(t)
	s.prepare = func(e *edge.Edge) {
		e.SetDelivery(func(s ident.Service) (canary.Choice, ident.Build) {
			switch {
			case s != "engine":
				return canary.AnyBuild, ""
			case counter.rolledBack.Load():
				return canary.FormerBuilds, "v2"
			}
			return canary.NewBuild, "v2"
		}, func(b ident.Build) bool { return b != "v2" || !counter.rolledBack.Load() })
		e.DialUpstream = counter.wrap(e.DialUpstream)
	}
	b := buildOn(s, "v1", "v2")
	counter.mu.Lock()
	for _, u := range b.engines["v2"] {
		counter.addresses[u.Addr()] = true
	}
	counter.mu.Unlock()
	list := began(b.begin(midway, nil), "v2")
	if len(list) < streamsAtOnce/2 {
		t.Fatalf("streams that began at the new build: got %d of %d, want most", len(list), streamsAtOnce)
	}
	counter.rolledBack.Store(true)
	b.takeUp(list, 2)
	for _, k := range list {
		if k.status != http.StatusServiceUnavailable || k.last != midway {
			t.Errorf("stream %s taken up: got status %d and pieces up to %d, want it refused with %d", k.id, k.status, k.last, midway)
			break
		}
	}
	fresh := b.begin(midway, nil)
	if got := len(began(fresh, "v1")); got != streamsAtOnce {
		t.Errorf("new streams at the former build: got %d of %d, want all", got, streamsAtOnce)
	}
	if got := counter.writes.Load(); got > 0 {
		t.Errorf("writes to the build that was rolled back: got %d, want none", got)
	}
}

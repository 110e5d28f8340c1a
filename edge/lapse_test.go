package edge

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/loopback"
	"crocuslug/settings"
	"crocuslug/timer"
)

// TestLapseAtPeer guards against requests at an upstream that left longer ago than it may be used, from instances
// that hear of it from one that the store had turned away: that one takes the removal for a lapse until two seconds
// after its own outage, and the others must not begin to count when they hear of it.
func TestLapseAtPeer(t *testing.T) {
	clock := timer.New()
	newEdge := func() *Edge {
		address, err := loopback.Reserve()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(address.Release)
		listen := address.String()
		e := New(settings.Edge{Name: listen, Domain: "a", PeerListen: listen}, Ports{}, []byte("s"), clock, zerolog.Nop())
		t.Cleanup(e.exchange.Close)
		if err := e.link.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.link.Stop)
		e.registry.Set(directory.Upstream{ID: "u", Service: "s", Address: "192.0.2.1:1", Domain: "a", Revision: 1})
		e.view.Confirm(1, clock.Uptime())
		return e
	}
	teller, peer := newEdge(), newEdge()
	now := clock.Now()
	const left = 500 * time.Millisecond // of the grace period of the teller
	teller.registry.RecordOutage(now.Add(left - 2*time.Second))
	teller.registry.Remove("u", 2, now)
	teller.view.Confirm(2, clock.Uptime())
	peer.addPeer(presence{Instance: teller.self, Domain: "a"}, now)
	peer.catchUp(teller.self)
	if got := peer.view.Seen(); got != 2 {
		t.Fatalf("version after catching up: got %d, want 2", got)
	}
	for _, e := range []*Edge{teller, peer} {
		e.registry.Expire(now.Add(left + time.Second))
		if got := e.registry.ByAddress("192.0.2.1:1").ID; got != "" {
			t.Errorf("upstream at %s a second after the grace period: got %q, want none", e.self, got)
		}
	}
}

// TestLapseAfterCutWatch guards against requests at an upstream that left longer ago than it may be used, from an
// instance whose call to the store had just failed once: its knowledge was current all the while.
func TestLapseAfterCutWatch(t *testing.T) {
	clock := timer.New()
	cfg := settings.Edge{Name: "i", Domain: "a", PeerListen: "127.0.0.1:1"}
	e := New(cfg, Ports{}, []byte("s"), clock, zerolog.Nop())
	t.Cleanup(e.exchange.Close)
	e.registry.Set(directory.Upstream{ID: "u", Service: "s", Address: "192.0.2.1:1", Domain: "a", Revision: 1})
	e.view.Confirm(1, clock.Uptime())
	now := clock.Now()
	e.registry.RecordOutage(now)
	e.registry.Remove("u", 2, now)
	// Expire is called each tickInterval, and a request may be under way for another.
	e.registry.Expire(now.Add(defaultDrain - 2*tickInterval))
	if got := e.registry.ByAddress("192.0.2.1:1").ID; got != "" {
		t.Errorf("upstream %v after its removal: got %q, want none", defaultDrain-2*tickInterval, got)
	}
}

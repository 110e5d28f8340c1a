package edge

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/routing"
	"crocuslug/settings"
	"crocuslug/timer"
)

// TestSharesWhileInstancesStart guards the pattern of load in which all instances of a failure domain
// start together: an instance that has heard nobody yet must not take the upstreams of those that the
// store lists for its own share.
func TestSharesWhileInstancesStart(t *testing.T) {
	const instances, upstreams = 4, 12
	e := New(settings.Edge{Name: "i", Domain: "a", PeerListen: "127.0.0.1:1"}, Ports{}, []byte("s"), timer.New(), zerolog.Nop())
	defer e.exchange.Close()
	now := e.timer.Now()
	for i := range upstreams {
		id := ident.Upstream(fmt.Sprintf("u%d", i))
		e.registry.Set(directory.Upstream{ID: id, Service: "s", Address: fmt.Sprintf("192.0.2.%d:1", i), Domain: "a", Slots: 9, Revision: 1})
	}
	e.publish(now)
	for i := range instances - 1 {
		e.addPeer(presence{ident.Instance(fmt.Sprintf("127.0.0.1:%d", 2+i)), "a"}, now)
	}
	picked := func() int {
		seen := make(map[ident.Upstream]bool)
		for range 20 * upstreams {
			if u, kind := e.fleet.Pick(fleet.PickRequest{Service: "s", RequireIdle: true}, now); kind == routing.Send {
				seen[u.ID] = true
				e.fleet.Release(u.ID, now)
			}
		}
		return len(seen)
	}
	e.updateFleetInstances(now)
	if got, want := picked(), upstreams/instances; got != want {
		t.Errorf("upstreams in the share just after the start: got %d, want %d", got, want)
	}
	e.updateFleetInstances(now.Add(peerExpiry + 1))
	if got, want := picked(), upstreams; got != want {
		t.Errorf("upstreams in the share once nobody was heard: got %d, want %d", got, want)
	}
}

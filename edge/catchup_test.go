package edge

import (
	"testing"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/settings"
	"crocuslug/store"
	"crocuslug/timer"
)

// TestConfigurationOmitted guards against large configurations that hold up the changes of upstreams:
// a peer that omits the configuration gets its version only.
func TestConfigurationOmitted(t *testing.T) {
	ports := Ports{DecodeConfiguration: func([]byte) (directory.Document, error) { return directory.Document{Version: 7}, nil }}
	e := New(settings.Edge{Name: "i", Domain: "a", PeerListen: "127.0.0.1:1"}, ports, []byte("s"), timer.New(), zerolog.Nop())
	t.Cleanup(e.exchange.Close)
	e.applyConfiguration([]byte(`{}`), "store", e.timer.Now())
	tests := []struct {
		query   changesRequest
		inForce uint64
		sent    bool
	}{
		{changesRequest{Configuration: 5, OmitConfiguration: true}, 7, false},
		{changesRequest{Configuration: 5}, 7, true},
		{changesRequest{Configuration: 7}, 7, false},
	}
	for _, tc := range tests {
		c := e.changesSince(tc.query)
		if got := len(c.Configuration) > 0; c.InForce != tc.inForce || got != tc.sent {
			t.Errorf("%+v: got version %d, configuration sent %v, want %d, %v", tc.query, c.InForce, got, tc.inForce, tc.sent)
		}
	}
}

// TestWatcherTellsNews guards against changes that reach the instances of a failure domain only through
// others that know them late: a watcher tells many of them in the round after it has seen a change.
func TestWatcherTellsNews(t *testing.T) {
	e := New(settings.Edge{Name: "i", Domain: "a", PeerListen: "127.0.0.1:1"}, Ports{}, []byte("s"), timer.New(), zerolog.Nop())
	t.Cleanup(e.exchange.Close)
	alone := []ident.Instance{e.self}
	crowd := alone
	for i := 0; e.view.Watcher(); i++ {
		crowd = append(crowd, ident.Instance(rune('a'+i)))
		e.view.SetPeers("a", e.self, crowd, 1)
	}
	tests := []struct {
		name string
		live []ident.Instance
		seen store.Version
		want int
	}{
		{"watcher, change", alone, 5, maxNewsDigests},
		{"watcher, no change", alone, 5, nearDigests},
		{"watcher, another change", alone, 6, maxNewsDigests},
		{"not a watcher", crowd, 7, nearDigests},
		{"watcher, change told before", alone, 7, nearDigests},
	}
	for _, tc := range tests {
		e.view.SetPeers("a", e.self, tc.live, 1)
		if got := e.nearDigestCount(tc.seen); got != tc.want {
			t.Errorf("%s: got %d digests, want %d", tc.name, got, tc.want)
		}
	}
}

package edge

import (
	"testing"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/settings"
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

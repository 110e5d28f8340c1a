package edge

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"crocuslug/ident"
	"crocuslug/settings"
	"crocuslug/timer"
)

// TestRetrySlackIsShared guards the pattern of load in which all instances of a large fleet retry at
// the same time: together they may use the retry slack once.
func TestRetrySlackIsShared(t *testing.T) {
	const slack = 150
	for _, test := range []struct {
		peers int
		want  float64
	}{{0, slack / 16.}, {6, slack / 16.}, {89, slack / 90.}, {149, 1}, {294, 1}} {
		cfg := settings.Edge{Name: "i", Domain: "a", PeerListen: "127.0.0.1:1", RetrySlack: slack}
		e := New(cfg, Ports{}, []byte("s"), timer.New(), zerolog.Nop())
		defer e.exchange.Close()
		raw, err := json.Marshal(digest{Domain: "b"})
		if err != nil {
			t.Fatal(err)
		}
		for i := range test.peers {
			if err := e.applyDigest(ident.Instance(fmt.Sprintf("192.0.2.1:%d", i+1)), raw); err != nil {
				t.Fatal(err)
			}
		}
		e.updateFleetInstances(e.timer.Now())
		if got := e.dispatcher.RetryBurst(); got != test.want {
			t.Errorf("retry burst of one of %d instances: got %v, want %v", test.peers+1, got, test.want)
		}
	}
}

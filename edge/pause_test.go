package edge_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"crocuslug/standinregistered"
)

// Pauses of TestSilenceEndsNoAnswer. Each engine is sound and writes a piece each slowInterval, which
// is longer than the longest pause that meets the objective of the route.
const (
	slowInterval  = 300 * time.Millisecond
	slowTargetGap = 100 * time.Millisecond
	slowPieces    = 6
)

// TestSilenceEndsNoAnswer guards against streams that are cut because their engines were silent for a
// moment, though no engine was lost and the stream could not, or need not, go on elsewhere.
func TestSilenceEndsNoAnswer(t *testing.T) {
	tests := []struct {
		name        string
		resumable   bool
		maxAttempts int
		engines     int
	}{
		{"not resumable", false, 4, 2},
		{"one attempt", true, 1, 2},
		{"one engine", true, 4, 1},
		{"all engines pause", true, 8, 5},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := newSite(t)
			r := &s.doc.Routes[0]
			r.Resumable, r.MaxAttempts, r.TargetGap = tc.resumable, tc.maxAttempts, slowTargetGap
			s.putConfiguration(3)
			for range tc.engines {
				u := standinregistered.New(standinregistered.Settings{
					Listen: "127.0.0.1:0", Store: s.http.Addr(), Service: "engine", Domain: "a", Pieces: slowPieces, Interval: slowInterval,
				}, s.clock)
				if err := u.Start(); err != nil {
					t.Fatal(err)
				}
				t.Cleanup(u.Kill)
			}
			s.startUpstream("plain", 0, "127.0.0.1:0")
			s.waitForUpstreams(tc.engines + 1)
			_, cfg := s.startInstance("e1", s.http.Addr())
			s.waitForStatus(cfg.Listen, "/unsafe/x", "k", http.StatusOK) // all upstreams are known at once
			status, body, err := sendRequest(cfg.Listen, "r2", "/stream/x", "k")
			var want strings.Builder
			for n := range slowPieces {
				want.WriteString(standinregistered.Piece("r2", n+1))
			}
			if err != nil || status != http.StatusOK || body != want.String() {
				t.Errorf("got %d, %v, %q, want 200 and %q", status, err, body, want.String())
			}
		})
	}
}

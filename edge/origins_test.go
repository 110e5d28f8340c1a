package edge

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/builds"
	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/settings"
	"crocuslug/timer"
	"crocuslug/work"
)

// TestOnlyBuildIsKept guards against a stream that goes on at a new build because that registers after
// the stream was taken up and before an upstream is chosen for it.
func TestOnlyBuildIsKept(t *testing.T) {
	e := New(settings.Edge{Name: "i", Domain: "a", PeerListen: "127.0.0.1:1"}, Ports{}, []byte("s"), timer.New(), zerolog.Nop())
	defer e.exchange.Close()
	w := &work.Work{Service: &directory.Service{Name: "s"}, Resumes: true, LastPiece: 3, Origin: "r"}
	if build, found := e.findOrigin(context.Background(), w); build != nil || !found {
		t.Errorf("no upstream: got %v, %t, want any build", build, found)
	}
	e.registry.Set(directory.Upstream{ID: "u1", Service: "s", Address: "1:1", Build: "v1", Revision: 1})
	e.publish(e.timer.Now())
	build, found := e.findOrigin(context.Background(), w)
	if !found || build == nil || *build != "v1" {
		t.Errorf("one build: got %v, %t, want v1", build, found)
	}
}

// TestStreamsTakenUpWhileInstancesStart guards the pattern of load after all instances have
// started again at once: callers take their streams up before any instance has heard another one.
func TestStreamsTakenUpWhileInstancesStart(t *testing.T) {
	tests := []struct {
		name  string
		heard digest // what the first peer says; nothing if its Domain is empty
		want  ident.Build
		found bool
	}{
		{"one build", digest{Domain: "a"}, "v1", true},
		{"two builds", digest{Domain: "a", Builds: []builds.State{{Service: "s"}}}, "", false},
		{"no peer heard", digest{}, "", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			clock := timer.New()
			go clock.Run(ctx)
			cfg := settings.Edge{Name: "i", Domain: "a", PeerListen: "127.0.0.1:1", Seeds: []string{"127.0.0.1:2"}}
			e := New(cfg, Ports{}, []byte("s"), clock, zerolog.Nop())
			defer e.exchange.Close()
			e.registry.Set(directory.Upstream{ID: "u1", Service: "s", Address: "1:1", Build: "v1", Revision: 1})
			e.publish(e.timer.Now())
			e.view.SetFailing(true)
			if test.heard.Domain != "" {
				raw, err := json.Marshal(test.heard)
				if err != nil {
					t.Fatal(err)
				}
				e.timer.After(digestInterval, func(time.Time) {
					if err := e.applyDigest("127.0.0.1:2", raw); err != nil {
						t.Errorf("digest: got %v, want none", err)
					}
				})
			}
			w := &work.Work{Service: &directory.Service{Name: "s"}, Resumes: true, LastPiece: 3}
			build, found := e.findOrigin(ctx, w)
			if found != test.found || found && (build == nil || *build != test.want) {
				t.Errorf("got %v, %t, want %q, %t", build, found, test.want, test.found)
			}
			if ctx.Err() != nil {
				t.Errorf("refusal: got none within 10s, want one once the instance has settled")
			}
		})
	}
}

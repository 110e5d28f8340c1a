package edge

import (
	"context"
	"testing"

	"github.com/rs/zerolog"

	"crocuslug/directory"
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

package dispatch

import (
	"sync"
	"testing"
	"time"

	"crocuslug/directory"
	"crocuslug/upstreamlimit"
	"crocuslug/work"
)

// TestProbeDuringFirstPiece guards against a data race between a probe, which asks whether the stream may
// go on elsewhere, and the first piece, which fixes the build of the stream.
func TestProbeDuringFirstPiece(t *testing.T) {
	d := newLimitedDispatcher(t, func(upstreamlimit.Request) upstreamlimit.Answer { return upstreamlimit.Answer{} })
	w := &work.Work{Route: &directory.Route{Kind: directory.Streaming, Resumable: true, MaxAttempts: 5}, Service: &directory.Service{Name: "s"}}
	s := &stream{attempts: attempts{w: w}, copies: newCopyManager(d, w)}
	p := d.newPatience(s, "a")
	var probe sync.WaitGroup
	probe.Go(func() { p.beforeStart(time.Second) })
	d.keepBuild(t.Context(), s)
	probe.Wait()
}

package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/timer"
	"crocuslug/work"
)

// TestPausedDomain guards against a failure domain that counts as failed because its sound engines
// paused, which would excuse contents that crash engines there.
func TestPausedDomain(t *testing.T) {
	cluster := &cluster{}
	for _, name := range []string{"a", "b"} {
		cluster.add(t, name, "near", "", []string{"stream:1-2:whole"})
	}
	cluster.add(t, "c", "far", "", []string{"stream:1-2:whole"})
	for _, e := range cluster.engines[:2] {
		e.still.Lock()
		time.AfterFunc(pauseTime, e.still.Unlock)
	}
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go clock.Run(ctx)
	var draws atomic.Uint64
	f := fleet.New(fleet.Settings{Domain: "near"}, func() uint64 { return draws.Add(1) }, zerolog.Nop())
	f.SetUpstreams(cluster.list, func(ident.Service) int { return 0 }, clock.Now())
	client := exchange.New(exchange.Settings{}, clock)
	defer client.Close()
	d := New(Settings{}, testDependencies(testProtocol(), f, client, clock, zerolog.Nop()))
	var all sync.WaitGroup
	for n := range 4 {
		w := &work.Work{
			ID: ident.Request(fmt.Sprint("r", n)), PromptTokens: 1000, Tokens: 1000, Route: &directory.Route{Kind: directory.Streaming, Resumable: true, MaxAttempts: 5}, Service: &directory.Service{Name: "s"},
			Deadline: clock.Now().Add(20 * time.Second), Method: http.MethodPost, Target: "/x", Header: http.Header{},
		}
		all.Go(func() {
			if _, _, refusal := d.Stream(ctx, w, (&receivedStream{}).sink()); refusal != nil {
				t.Errorf("stream %s: got %v, want no refusal", w.ID, refusal)
			}
		})
	}
	all.Wait()
	if f.FailedDomains(clock.Now()) > 0 {
		t.Error("failure domain whose engines paused: got failed, want not failed")
	}
}

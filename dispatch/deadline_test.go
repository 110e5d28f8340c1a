package dispatch

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/timer"
	"crocuslug/work"
)

// TestDeadlineWhileChoosing guards against streams that end with neither an answer nor a refusal
// because their time ends while an upstream is chosen.
func TestDeadlineWhileChoosing(t *testing.T) {
	const limit = 100 * time.Millisecond
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go clock.Run(ctx)
	var once sync.Once
	delayed := func() uint64 {
		once.Do(func() { <-time.After(2 * limit) })
		return 0
	}
	f := fleet.New(fleet.Settings{}, delayed, zerolog.Nop())
	f.SetUpstreams([]directory.Upstream{
		{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 1},
		{ID: "b", Service: "s", Address: "127.0.0.1:1", Slots: 1},
	}, func(ident.Service) int { return 0 }, clock.Now())
	client := exchange.New(exchange.Settings{}, clock)
	defer client.Close()
	d := New(Settings{}, testDependencies(testProtocol(), f, client, clock, zerolog.Nop()))
	w := &work.Work{
		ID: "r1", Route: &directory.Route{Kind: directory.Streaming}, Service: &directory.Service{Name: "s"},
		PromptTokens: 1000, Tokens: 1000, Deadline: clock.Now().Add(limit), Method: http.MethodPost, Target: "/x", Header: http.Header{},
	}
	_, started, refusal := d.Stream(ctx, w, (&receivedStream{}).sink())
	if started || refusal == nil || refusal.Code != result.DeadlineInfeasible {
		t.Errorf("stream whose time has ended: got started %t, refusal %v, want a refusal with code %v", started, refusal, result.DeadlineInfeasible)
	}
	if load := f.InFlight(); len(load) > 0 {
		t.Errorf("load of upstreams after the stream: got %v, want none", load)
	}
}

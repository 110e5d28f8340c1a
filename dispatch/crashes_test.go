package dispatch

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/poison"
	"crocuslug/result"
	"crocuslug/timer"
	"crocuslug/work"
)

// TestCrashingContent sends content that crashes each engine that runs it. After three engines
// have crashed, the content must be refused before it reaches a fourth.
func TestCrashingContent(t *testing.T) {
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go clock.Run(ctx)
	var list []directory.Upstream
	for _, name := range []string{"a", "b", "c", "d"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 1)
			_, _ = c.Read(buf)
			<-time.After(minRunTime)
			_ = l.Close() // the engine crashes on its first request
			_ = c.Close()
		}()
		list = append(list, directory.Upstream{
			ID: ident.Upstream(name), Service: "s", Address: l.Addr().String(), Domain: ident.Domain("of-" + name), Slots: 64,
		})
	}
	f := fleet.New(fleet.Settings{}, func() uint64 { return 0 }, zerolog.Nop())
	f.SetUpstreams(list, func(ident.Service) int { return 55000 }, clock.Now())
	p := testProtocol()
	p.ProbePath = "/probe"
	client := exchange.New(exchange.Settings{}, clock)
	defer client.Close()
	ps := testDependencies(p, f, client, clock, zerolog.Nop())
	d := New(Settings{}, ps)
	send := func() *result.Error {
		_, _, refusal := d.Stream(ctx, &work.Work{
			ID:          "r1",
			Route:       &directory.Route{Kind: directory.Streaming, Resumable: true, MaxAttempts: 5},
			Service:     &directory.Service{Name: "s"},
			Fingerprint: 7,
			Deadline:    clock.Now().Add(20 * time.Second),
			Method:      http.MethodPost,
			Target:      "/x",
			Header:      http.Header{},
		}, (&receivedStream{}).sink())
		return refusal
	}
	if got := send(); got == nil || got.Code != result.RequestCrashes || got.Run != result.RunUnknown {
		t.Errorf("first request: got %v, want RequestCrashes that may have run", got)
	}
	for {
		ps.Poison.Tick(clock.Now())
		if _, refused := ps.Poison.Refused(poison.Run{Content: 7}, clock.Now()); refused {
			break
		}
		<-time.After(10 * time.Millisecond)
	}
	if got := send(); got == nil || got.Code != result.RequestCrashes || got.Run != result.RunNot || got.RetryAfter <= 0 {
		t.Errorf("second request: got %v, want RequestCrashes that has not run, with a retry time", got)
	}
}

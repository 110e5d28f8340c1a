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
	"crocuslug/result"
	"crocuslug/suspect"
	"crocuslug/timer"
	"crocuslug/work"
)

// TestProvenContent sends a content that kills each engine that runs it. When
// three have died alone, the content is refused before it reaches a fourth.
func TestProvenContent(t *testing.T) {
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
			<-time.After(leastRun)
			_ = l.Close() // the engine dies of its first request
			_ = c.Close()
		}()
		list = append(list, directory.Upstream{
			ID: ident.Upstream(name), Service: "s", Address: l.Addr().String(), Domain: ident.Domain("of-" + name), Slots: 64,
		})
	}
	f := fleet.New(fleet.Settings{}, func() uint64 { return 0 }, zerolog.Nop())
	f.SetUpstreams(list, func(ident.Service) int { return 55000 }, clock.Now())
	p := ports()
	p.ProbePath = "/probe"
	client := exchange.New(exchange.Settings{}, clock)
	defer client.Close()
	ps := parts(p, f, client, clock, zerolog.Nop())
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
		}, (&taken{}).sink())
		return refusal
	}
	if got := send(); got == nil || got.Code != result.RequestCrashes || got.Run != result.RunUnknown {
		t.Errorf("first sending: got %v, want RequestCrashes that may have run", got)
	}
	for {
		if treatment, _ := ps.Suspects.Restriction(clock.Now(), 7); treatment == suspect.Banned {
			break
		}
		<-time.After(10 * time.Millisecond)
	}
	if got := send(); got == nil || got.Code != result.RequestCrashes || got.Run != result.RunNot || got.RetryAfter <= 0 {
		t.Errorf("second sending: got %v, want RequestCrashes that has not run, and when to come back", got)
	}
}

package serviceproxy

import (
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"crocuslug/configuration"
	"crocuslug/health"
	"crocuslug/ident"
	"crocuslug/suspect"
)

// crashingUpstreams listen at addresses of their own. Each ends when it receives the body "bad".
type crashingUpstreams struct {
	addresses []string
	next      int
	crashed   atomic.Int64
}

func startCrashing(t *testing.T, n int) *crashingUpstreams {
	t.Helper()
	c := &crashingUpstreams{}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Request.Body()) == "bad" {
				c.crashed.Add(1)
				_ = l.Close()
				ctx.HijackSetNoResponse(true)
				ctx.Hijack(func(net.Conn) {})
			}
		}}
		go func() { _ = s.Serve(l) }() // ends with l
		c.addresses = append(c.addresses, l.Addr().String())
	}
	return c
}

// choose returns the upstreams in turn.
func (c *crashingUpstreams) choose(ident.Service, []ident.Upstream) (configuration.Upstream, func(health.Kind, time.Duration), bool) {
	i := c.next
	c.next++
	if i >= len(c.addresses) {
		return configuration.Upstream{}, nil, false
	}
	return configuration.Upstream{Name: ident.Upstream(strconv.Itoa(i)), Address: c.addresses[i]}, func(health.Kind, time.Duration) {}, true
}

// TestCallThatCrashesUpstreams guards against a request that crashes each upstream of a plain service,
// action or not, and is sent again and again.
func TestCallThatCrashesUpstreams(t *testing.T) {
	tests := []struct {
		method   string
		requests int // until three upstreams have crashed
	}{{"GET", 1}, {"PUT", 3}, {"POST", 3}} // repeatable, sent once, and an action
	for _, tc := range tests {
		t.Run(tc.method, func(t *testing.T) {
			b, up := newFixture(t), startCrashing(t, 8)
			suspects := suspect.New(suspect.Settings{})
			b.proxy.ports.ChooseUpstream, b.proxy.ports.Suspects = up.choose, suspects
			send := func(n int, body string) string {
				return b.send(tc.method, "/bookings", "k"+strconv.Itoa(n), body, "")
			}
			if got, want := send(0, "good"), "200 0"; got != want {
				t.Errorf("sound request: got %q, want %q", got, want)
			}
			for n := range tc.requests {
				send(n+1, "bad")
				awaitRestriction(t, suspects, up.content(b, tc.method), suspect.Banned-suspect.Restriction(tc.requests-1-n))
			}
			if got, want := send(99, "bad"), "RequestCrashes/NotRun 0"; got != want {
				t.Errorf("crashing request: got %q, want %q", got, want)
			}
			if got, want := up.crashed.Load(), int64(3); got != want {
				t.Errorf("upstreams that crashed: got %d, want %d", got, want)
			}
			if got, want := send(100, "good"), "200 0"; got != want {
				t.Errorf("sound request after the refusal: got %q, want %q", got, want)
			}
		})
	}
}

// content returns the content of the crashing request.
func (c *crashingUpstreams) content(b *fixture, method string) uint64 {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI("/v1/services/booking/bookings?q=1")
	ctx.Request.SetBodyString("bad")
	r, _ := b.proxy.readRequest(&ctx)
	return r.content
}

// awaitRestriction waits until a content is restricted as wanted.
func awaitRestriction(t *testing.T, suspects *suspect.Tracker, content uint64, want suspect.Restriction) {
	t.Helper()
	var got suspect.Restriction
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if got, _ = suspects.Restriction(time.Now(), content); got == want {
			return
		}
	}
	t.Fatalf("restriction: got %d, want %d", got, want)
}

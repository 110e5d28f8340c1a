package serviceproxy

import (
	"bufio"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"crocuslug/claimstore"
	"crocuslug/claimwriter"
	"crocuslug/configuration"
	"crocuslug/health"
	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/retry"
	"crocuslug/standinkeyvalue"
	"crocuslug/timer"
)

// fixture is a proxy in front of a service with one live and one dead upstream address.
type fixture struct {
	proxy          *Proxy
	store          *standinkeyvalue.Store
	mode           atomic.Value  // how the upstream answers the next requests, a string
	runs           atomic.Int64  // bookings that the service ran
	lostAnswers    atomic.Int64  // answers that were not sent
	privateHeaders atomic.Int64  // requests with a header field that must not be forwarded, or without one that must
	kinds          []health.Kind // outcomes reported for the health of upstreams
	live           string
	dead           string
}

// TestScript runs testdata/actions.txt. Each line is a request with the behaviour of the upstream,
// and the expected outcome and number of runs; or a fault of the store.
func TestScript(t *testing.T) {
	b := newFixture(t)
	f, err := os.Open("testdata/actions.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	s := bufio.NewScanner(f)
	for n := 1; s.Scan(); n++ {
		fields := strings.Fields(s.Text())
		switch fields[0] {
		case "#":
		case "outage":
			b.store.SetFaults(standinkeyvalue.Faults{Outage: fields[1] == "on"})
		case "lose-answers":
			b.store.SetFaults(standinkeyvalue.Faults{LoseAnswers: 1})
		default:
			got := b.send(fields[0], fields[1], fields[2], fields[3], fields[4])
			if want := strings.Join(fields[6:], " "); got != want {
				t.Errorf("line %d: %s: got %q, want %q", n, s.Text(), got, want)
			}
		}
	}
	if got := b.privateHeaders.Load(); got != 0 {
		t.Errorf("requests with wrong header fields: got %d, want 0", got)
	}
}

func (b *fixture) send(method, path, key, body, mode string) string {
	b.mode.Store(mode)
	b.lostAnswers.Store(0)
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI("/v1/services/booking" + path + "?q=1")
	ctx.Request.Header.Set("Connection", "X-Private")
	ctx.Request.Header.Set("X-Private", "1")
	ctx.Request.Header.Set("Authorization", "Bearer k")
	ctx.Request.Header.Set("traceparent", "t")
	if key != "-" {
		ctx.Request.Header.Set(keyHeader, key)
	}
	if body != "-" {
		ctx.Request.SetBodyString(body)
	}
	b.proxy.Handle(&ctx)
	outcome := string(ctx.Response.Body())
	if !strings.HasPrefix(outcome, "!") {
		outcome = strconv.Itoa(ctx.Response.StatusCode())
	}
	return strings.TrimPrefix(outcome, "!") + " " + strconv.FormatInt(b.runs.Load(), 10)
}

// pauseLength is how long the upstream is silent in mode pause.
const pauseLength = 1200 * time.Millisecond

// serve is the handler of the service.
func (b *fixture) serve(ctx *fasthttp.RequestCtx) {
	h := &ctx.Request.Header
	if len(h.Peek("X-Private")) > 0 || len(h.Peek("Authorization")) > 0 {
		b.privateHeaders.Add(1)
	}
	if b.mode.Load() == "pause" {
		time.Sleep(pauseLength)
	}
	ctx.SetBodyString("ok")
	if string(ctx.Path()) == "/bookings" {
		if len(h.Peek("traceparent")) == 0 || string(ctx.QueryArgs().Peek("q")) != "1" {
			b.privateHeaders.Add(1)
		}
		b.runs.Add(1)
		ctx.SetStatusCode(fasthttp.StatusCreated)
	}
	if b.mode.Load() == "lose" || b.mode.Load() == "lose-then-refuse" || b.mode.Load() == "lose-once" && b.lostAnswers.Add(1) == 1 {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	}
}

func newFixture(t *testing.T) *fixture {
	b := &fixture{}
	b.live = startServer(t, b.serve)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.dead = l.Addr().String()
	_ = l.Close()
	clock := timer.New()
	b.store = standinkeyvalue.New(clock)
	ledger := claimstore.New(claimstore.Settings{Interval: -1}, b.store.Port(), clock, "i1")
	writer := claimwriter.New(claimwriter.Settings{}, claimwriter.Dependencies{
		ApplyLocal:      ledger.Apply,
		PreferredWriter: func(int) ident.Instance { return "" },
	}, clock, "i1")
	doc := &configuration.Document{
		Services: []configuration.Service{{Name: "booking", Kind: configuration.Plain, StatusPath: "/bookings-status/{key}"}},
		Rules: []configuration.Rule{
			{Method: "POST", PathPrefix: "/bookings", Once: true},
			{Method: "GET", Repeatable: true},
		},
	}
	b.proxy = New(Settings{}, Ports{
		Configuration:  func() *configuration.Document { return doc },
		Authenticate:   func(*fasthttp.RequestCtx) (ident.Workspace, *result.Error) { return "w", nil },
		ChooseUpstream: b.choose,
		Retry: func(a retry.Attempt) (retry.Decision, time.Duration) {
			if a.Run != result.RunNot && !a.Repeatable {
				return retry.MayHaveRun, 0
			}
			return retry.Retry, 0
		},
		Claim:  writer.Claim,
		Settle: writer.Settle,
		Admit: func(*fasthttp.RequestCtx, ident.Workspace, configuration.Rule) (func(), *result.Error) {
			return func() {}, nil
		},
		Problem: func(ctx *fasthttp.RequestCtx, e *result.Error, _ ident.Request) {
			ctx.SetBodyString("!" + e.Code.String() + "/" + string(e.Run))
		},
	}, clock)
	return b
}

func (b *fixture) choose(_ ident.Service, tried []ident.Upstream) (configuration.Upstream, func(health.Kind, time.Duration), bool) {
	address := b.live
	if b.mode.Load() == "refuse" {
		address = b.dead
	}
	name := ident.Upstream(strconv.Itoa(len(tried)))
	if b.mode.Load() == "lose-then-refuse" && len(tried) > 0 {
		address = b.dead
	}
	count := 2
	if b.mode.Load() == "only" {
		count = 1
	}
	done := func(k health.Kind, _ time.Duration) { b.kinds = append(b.kinds, k) }
	return configuration.Upstream{Name: name, Address: address}, done, len(tried) < count
}

func startServer(t *testing.T, h fasthttp.RequestHandler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fasthttp.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	return l.Addr().String()
}

package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/builds"
	"crocuslug/cooldown"
	"crocuslug/directory"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/meter"
	"crocuslug/poison"
	"crocuslug/relay"
	"crocuslug/retry"
	"crocuslug/standinnetwork"
	"crocuslug/timer"
	"crocuslug/upstreamlimit"
	"crocuslug/work"
)

func testProtocol() work.Protocol {
	return work.Protocol{
		Header: func(w *work.Work, leg *work.Attempt) http.Header {
			h := http.Header{"Id": {string(w.ID)}}
			if leg.Resumes {
				h.Set("After", strconv.FormatUint(leg.LastPiece, 10))
			}
			if leg.CopyTo != "" {
				h.Set("Copy-To", leg.CopyTo)
			}
			if leg.ResumeFrom != nil {
				h.Set("From-Copy", leg.ResumeFrom.Owner+"/"+leg.ResumeFrom.Name)
			}
			return h
		},
		Matches:    func(w *work.Work, h http.Header) bool { return h.Get("Id") == string(w.ID) },
		NotRun:     func(_ int, h http.Header) bool { return h.Get("Not-Run") != "" },
		Replaced:   func(status int, _ http.Header) bool { return status == http.StatusMisdirectedRequest },
		UpstreamID: func(h http.Header) ident.Upstream { return ident.Upstream(h.Get("Upstream")) },
		Signed:     func(h http.Header) bool { return h.Get("Signed") != "" },
		Rest:       func(h http.Header) string { return h.Get("Rest") },

		ProbePath: "/probe",
	}
}

// testDependencies returns the dependencies of a dispatcher whose choices are not random.
func testDependencies(p work.Protocol, f *fleet.Fleet, c *exchange.Client, clock *timer.Service, log zerolog.Logger) Dependencies {
	return Dependencies{
		Protocol:    p,
		Fleet:       f,
		Client:      c,
		Poison:      poison.New(),
		Limits:      upstreamlimit.New("e1"),
		Rests:       cooldown.New(func() uint64 { return 0 }),
		Builds:      builds.New(builds.Settings{}, clock.Now()),
		PreferBuild: func(ident.Service) *ident.Build { return nil },
		CutOff:      func(ident.Domain) (bool, bool) { return false, false },
		Leaves:      func(directory.Upstream, ident.Request) {},
		Meters:      meter.New(clock),
		Budget:      retry.Settings{Burst: 100, MaxAttempts: 8},
		Timer:       clock,
		Random:      func() uint64 { return 0 },
		Log:         log,
	}
}

// run sends one request and returns a description of its result.
func (wd *cluster) run(t *testing.T) string {
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go clock.Run(ctx)
	random := func() uint64 { return 0 }
	f := fleet.New(fleet.Settings{Domain: "near", ByMemory: wd.byMemory}, random, zerolog.Nop())
	defer func() { wd.memoryUsed, _ = f.MemoryUsed(wd.service.Name) }()
	client := exchange.New(exchange.Settings{MaxBuffered: wd.memory}, clock)
	defer client.Close()
	server := relay.New(relay.Settings{Listen: "127.0.0.1:0"}, clock, zerolog.Nop())
	server.Accepted = wd.addRelay
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	dial := client.Dial
	client.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		if name := wd.nameOf(address); name == wd.departs {
			wd.leave(name)
		}
		if wd.relayed != "" && wd.nameOf(address) == wd.relayed {
			return wd.dialThroughPeer(ctx, clock, server, dial, address)
		}
		return dial(ctx, address)
	}
	dependencies := testDependencies(testProtocol(), f, client, clock, zerolog.Nop())
	dependencies.Budget = wd.budget
	if wd.delivery != nil {
		dependencies.Delivery = wd.delivery.functions()
	}
	wd.publish = func() {
		f.SetUpstreams(wd.list, func(ident.Service) int { return wd.service.Memory }, clock.Now())
		dependencies.Builds.SetUpstreams(wd.list, clock.Now())
		dependencies.Rests.SetUpstreams(wd.list)
	}
	wd.publish()
	dependencies.TellOrigin = func(r builds.Record) <-chan struct{} {
		wd.mu.Lock()
		defer wd.mu.Unlock()
		wd.told = append(wd.told, string(r.Build))
		told := make(chan struct{})
		close(told)
		return told
	}
	dependencies.FindOrigin = func(context.Context, *work.Work) (*ident.Build, bool) { return wd.origin, *wd.origin != "" }
	d := New(Settings{FirstPieceTimeout: wd.first, DefaultGap: 300 * time.Millisecond, MaxResumeWait: 3 * time.Second, ByMemory: wd.byMemory}, dependencies)
	clock.Every(otherRequestInterval, d.Tick)
	if wd.budget.RetryRatio > 0 {
		clock.Every(otherRequestInterval, func(time.Time) { d.retryBudget(wd.service.Name).AddRequest() })
	}
	w := &work.Work{
		ID:       "r1",
		Route:    &wd.route,
		Service:  &wd.service,
		Deadline: clock.Now().Add(wd.deadline),
		Method:   http.MethodPost,
		Target:   "/x",
		Host:     "h",
		Header:   http.Header{},
		Tokens:   wd.tokens,
	}
	if wd.origin != nil {
		w.Resumes, w.LastPiece, w.Origin = true, takenUpAfter, "r0"
	}
	if wd.route.Kind != directory.Streaming {
		reply, refusal := d.Call(ctx, w)
		if refusal != nil {
			return "refused " + string(refusal.Run)
		}
		return strings.TrimSpace(fmt.Sprintf("%d %s", reply.Status, reply.Body))
	}
	got := &receivedStream{}
	reply, begun, refusal := d.Stream(ctx, w, got.sink())
	switch {
	case reply != nil:
		return strings.TrimSpace(fmt.Sprintf("%d %s", reply.Status, reply.Body))
	case refusal != nil && begun:
		return "cut " + got.span()
	case refusal != nil:
		return "refused " + string(refusal.Run)
	case !got.ended:
		return "open " + got.span()
	}
	return "pieces " + got.span()
}

// dialThroughPeer opens a connection to an upstream through server.
func (wd *cluster) dialThroughPeer(ctx context.Context, clock *timer.Service, server *relay.Server, dial func(context.Context, string) (net.Conn, error), address string) (net.Conn, error) {
	up, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	token, ok := server.Offer(up, ident.Upstream(wd.relayed), "self", true)
	if !ok {
		return nil, errors.New("the connection was not offered")
	}
	c, err := relay.Dial(ctx, clock, "peer", server.Addr(), token, true)
	if err != nil {
		return nil, err
	}
	wd.addRelay(c.TCPConn)
	return c, nil
}

// addRelay records an end of a connection between instances.
func (wd *cluster) addRelay(c *net.TCPConn) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.relays = append(wd.relays, c)
}

// cutRelays cuts this instance off from the one that passes its connections on: nothing arrives in
// either direction.
func (wd *cluster) cutRelays() {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	for _, c := range wd.relays {
		if err := standinnetwork.DropReceived(c); err != nil {
			wd.received = append(wd.received, err.Error())
		}
	}
}

// record adds an event to the requests that were received.
func (wd *cluster) record(event string) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.received = append(wd.received, event)
}

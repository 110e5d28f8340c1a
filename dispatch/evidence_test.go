package dispatch

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/poison"
	"crocuslug/timer"
	"crocuslug/work"
)

// brittleEngine is an engine that writes one answer and ends its connection.
type brittleEngine struct {
	listener net.Listener
	head     string        // of the answer, "" for none
	body     []string      // written one after the other
	pause    time.Duration // before each of body
	crashes  bool          // the engine ends with the connection
}

// Heads of answers of a brittleEngine.
const (
	undelimitedHead = "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: 1\r\n\r\n"
	chunkedHead     = "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
)

func (e *brittleEngine) serve() {
	c, err := e.listener.Accept()
	if err != nil {
		return
	}
	buf := make([]byte, 1)
	_, _ = c.Read(buf)
	_, _ = fmt.Fprint(c, e.head)
	for _, s := range e.body {
		<-time.After(e.pause)
		_, _ = fmt.Fprint(c, s)
	}
	if e.crashes {
		_ = e.listener.Close()
	}
	_ = c.Close()
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(buf)
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		_ = c.Close()
	}
}

// chunk returns s as a chunk of a chunked body.
func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// TestEvidence checks which ends of a run are evidence against its prompt and which clear it.
func TestEvidence(t *testing.T) {
	const part poison.Part = 9
	piece := "id: 1\ndata: a\n\n"
	const twoPauses = provenTime/2 + 100*time.Millisecond
	long := []string{piece, "id: 2\ndata: a\n\n", "id: 3\ndata: a\n\n"}
	tests := []struct {
		name              string
		engine            brittleEngine
		evidence, cleared bool
	}{
		{"crash before the head", brittleEngine{crashes: true}, true, false},
		{"crash after the head", brittleEngine{head: chunkedHead, crashes: true}, true, false},
		{"crash after the head of an answer that ends with its connection", brittleEngine{head: undelimitedHead, crashes: true}, true, false},
		{"crash after the first piece", brittleEngine{head: chunkedHead, body: []string{chunk(piece)}, crashes: true}, true, false},
		{"crash after an answer of more than a second", brittleEngine{head: undelimitedHead, body: append(long, "id: 4"), pause: twoPauses, crashes: true}, false, true},
		{"connection lost, engine alive", brittleEngine{}, false, false},
		{"whole answer", brittleEngine{head: chunkedHead, body: []string{chunk(piece), "0\r\n\r\n"}}, false, true},
		{"whole answer by its connection", brittleEngine{head: undelimitedHead, body: []string{piece}}, false, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d, clock := tc.engine.start(t)
			now := clock.Now()
			d.poison.EngineCrashed(poison.Engine{ID: "other"}, poison.Run{Content: 1, Parts: []poison.Part{part}}, now, now)
			_, _, _ = d.Stream(context.Background(), &work.Work{
				ID: "r1", Route: &directory.Route{Kind: directory.Streaming, TargetGap: 2 * time.Second}, Service: &directory.Service{Name: "s"}, Fingerprint: 7, Shared: []poison.Part{part},
				Deadline: now.Add(20 * time.Second), Method: http.MethodPost, Target: "/x", Header: http.Header{},
			}, (&receivedStream{}).sink())
			<-time.After(2 * (crashCheckDelay + probeTimeout)) // until all probes have ended
			r := d.poison.Report(clock.Now())
			_, cleared := r.Cleared[part]
			evidence := slices.ContainsFunc(r.Crashes, func(c poison.Crash) bool { return c.Engine.ID == "a" && len(c.Runs) == 1 && c.Runs[0].Content == 7 })
			if evidence != tc.evidence || cleared != tc.cleared {
				t.Errorf("got evidence %t, cleared %t, want %t, %t", evidence, cleared, tc.evidence, tc.cleared)
			}
		})
	}
}

// TestEvidenceOfCalls guards against calls whose end is neither evidence against their content nor
// clears it. Whether the call may be repeated makes no difference.
func TestEvidenceOfCalls(t *testing.T) {
	const whole, failed = "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: 1\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 500 Failed\r\nId: r1\r\nSigned: 1\r\nContent-Length: 2\r\n\r\n"
	const notRun = "HTTP/1.1 503 Full\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\n"
	tests := []struct {
		name              string
		engine            brittleEngine
		evidence, cleared bool
	}{
		{"crash before the head", brittleEngine{crashes: true}, true, false},
		{"crash within the body", brittleEngine{head: whole, body: []string{"a"}, crashes: true}, true, false},
		{"crash after an answer of more than a second", brittleEngine{head: chunkedHead, body: []string{chunk("a"), chunk("b")}, pause: provenTime/2 + 100*time.Millisecond, crashes: true}, false, false},
		{"connection lost, upstream alive", brittleEngine{}, false, false},
		{"whole answer", brittleEngine{head: whole, body: []string{"ab"}}, false, true},
		{"whole answer by its connection", brittleEngine{head: undelimitedHead, body: []string{"ab"}}, false, false},
		{"failure answered", brittleEngine{head: failed, body: []string{"ab"}}, false, false},
		{"refused as not run", brittleEngine{head: notRun, body: []string{"ab"}}, false, false},
	}
	for _, tc := range tests {
		for _, kind := range []directory.Kind{directory.Safe, directory.Unsafe} {
			t.Run(tc.name+", "+kind.String(), func(t *testing.T) {
				t.Parallel()
				engine := tc.engine
				d, clock := engine.start(t)
				now := clock.Now()
				d.poison.EngineCrashed(poison.Engine{ID: "other"}, poison.Run{Content: 7}, now, now)
				_, _ = d.Call(context.Background(), &work.Work{
					ID: "r1", Route: &directory.Route{Kind: kind, MaxAttempts: 1}, Service: &directory.Service{Name: "s"}, Fingerprint: 7,
					Deadline: now.Add(20 * time.Second), Method: http.MethodPost, Target: "/x", Header: http.Header{},
				})
				<-time.After(2 * (crashCheckDelay + probeTimeout)) // until all probes have ended
				r := d.poison.Report(clock.Now())
				_, cleared := r.Cleared[7]
				evidence := slices.ContainsFunc(r.Crashes, func(c poison.Crash) bool { return c.Engine.ID == "a" && len(c.Runs) == 1 && c.Runs[0].Content == 7 })
				if evidence != tc.evidence || cleared != tc.cleared {
					t.Errorf("got evidence %t, cleared %t, want %t, %t", evidence, cleared, tc.evidence, tc.cleared)
				}
			})
		}
	}
}

// start starts the engine and a dispatcher that knows no other.
func (e *brittleEngine) start(t *testing.T) (*Dispatcher, *timer.Service) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e.listener = l
	go e.serve()
	return startDispatcher(t, l.Addr().String())
}

// startDispatcher returns a dispatcher with one upstream.
func startDispatcher(t *testing.T, address string) (*Dispatcher, *timer.Service) {
	t.Helper()
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go clock.Run(ctx)
	f := fleet.New(fleet.Settings{}, func() uint64 { return 0 }, zerolog.Nop())
	f.SetUpstreams([]directory.Upstream{{ID: "a", Service: "s", Address: address, Slots: 64}}, func(ident.Service) int { return 0 }, clock.Now())
	client := exchange.New(exchange.Settings{}, clock)
	t.Cleanup(client.Close)
	return New(Settings{}, testDependencies(testProtocol(), f, client, clock, zerolog.Nop())), clock
}

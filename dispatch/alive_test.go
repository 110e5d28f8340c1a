package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
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

// newAliveTest returns a Dispatcher that knows the upstream "a" at an address, and its Fleet.
func newAliveTest(t *testing.T, address string) (*Dispatcher, *fleet.Fleet, *timer.Service) {
	t.Helper()
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go clock.Run(ctx)
	u := directory.Upstream{ID: "a", Service: "s", Address: address, Slots: 64}
	f := fleet.New(fleet.Settings{}, func() uint64 { return 0 }, zerolog.Nop())
	f.SetUpstreams([]directory.Upstream{u}, func(ident.Service) int { return 0 }, clock.Now())
	client := exchange.New(exchange.Settings{}, clock)
	t.Cleanup(client.Close)
	d := New(Settings{}, testDependencies(testProtocol(), f, client, clock, zerolog.Nop()))
	d.rests.SetUpstreams([]directory.Upstream{u})
	return d, f, clock
}

// TestPiecesReadLate guards against an engine of another service that is taken for a restarted one: pieces that
// are read long after their engine has ended must not count as a sign that it was alive.
func TestPiecesReadLate(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	d, f, clock := newAliveTest(t, l.Addr().String())
	began, ended := make(chan struct{}), make(chan struct{})
	var end time.Duration // of the engine
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		piece := func(n int) {
			text := fmt.Sprintf("id: %d\ndata: x\n\n", n)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		}
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		piece(1)
		<-began
		piece(2)
		piece(3)
		_ = c.Close() // in the middle of the stream
		_ = l.Close()
		end = clock.Uptime()
		close(ended)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lost := make(chan time.Duration, 10)
	f.OnLost = func(_ directory.Upstream, _ fleet.Outcome, lastAlive time.Duration) {
		lost <- lastAlive
		cancel()
	}
	got := &receivedStream{}
	sink := got.sink()
	take := sink.Piece
	sink.Piece = func(raw []byte) error {
		if len(got.numbers) == 0 { // the caller takes nothing until after the end of the engine
			close(began)
			<-ended
			for clock.Uptime() <= end {
				d.sleep(ctx, time.Millisecond)
			}
		}
		return take(raw)
	}
	w := &work.Work{
		ID: "r1", Route: &directory.Route{Kind: directory.Streaming, Resumable: true, MaxAttempts: 5}, Service: &directory.Service{Name: "s"},
		Deadline: clock.Now().Add(10 * time.Second), Method: http.MethodPost, Target: "/x", Header: http.Header{},
	}
	_, _, _ = d.Stream(ctx, w, sink)
	if span := got.span(); span != "1-3" {
		t.Fatalf("pieces: got %s, want 1-3", span)
	}
	if alive := <-lost; alive > end {
		t.Errorf("engine last known to be alive: got %v after its end, want a time before it", alive-end)
	}
}

// TestProbeIsNoSignOfLife guards against an engine of another service that is taken for a restarted one: an answer
// to a probe does not say which engine has the address.
func TestProbeIsNoSignOfLife(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	d, f, clock := newAliveTest(t, server.Listener.Addr().String())
	u, _ := f.Upstream("a")
	if err := d.probe(context.Background(), u, clock.Now()); err != nil {
		t.Fatal(err)
	}
	if f.AliveWithin("a", time.Hour, clock.Uptime()) {
		t.Error("engine after a probe without a name was answered: got alive, want unknown")
	}
}

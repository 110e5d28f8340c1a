package dispatch

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
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

// startRepeatingEngine starts an engine that names each copy after its run, and that sends each answer a second time
// once the next request on the connection has arrived.
func startRepeatingEngine(t *testing.T) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for former := ""; ; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			var m work.Move
			b, _ := io.ReadAll(r.Body)
			_ = json.Unmarshal(b, &m) // probes have no body
			name := "copy of " + string(m.Run)
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(name), name)
			_, _ = io.WriteString(c, former+answer)
			former = answer
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// TestLateCopyName guards against a late second answer to the copy of one run that names the copy of another one, which
// would then go on from the memory of the first.
func TestLateCopyName(t *testing.T) {
	run := directory.Upstream{ID: "a", Service: "s", Address: startRepeatingEngine(t), Slots: 64}
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go clock.Run(ctx)
	p := testProtocol()
	p.CopyRequest = func(m work.Move) (string, []byte) {
		b, _ := json.Marshal(m)
		return "/move", b
	}
	p.CopyName = func(status int, body []byte) (string, bool) { return string(body), status == http.StatusOK }
	p.DropTarget = func(name string) string { return "/drop" }
	client := exchange.New(exchange.Settings{}, clock)
	defer client.Close()
	f := fleet.New(fleet.Settings{}, func() uint64 { return 0 }, zerolog.Nop())
	f.SetUpstreams([]directory.Upstream{run}, func(ident.Service) int { return 0 }, clock.Now())
	d := New(Settings{}, testDependencies(p, f, client, clock, zerolog.Nop()))
	d.rests.SetUpstreams([]directory.Upstream{run})
	for _, id := range []ident.Request{"r1", "r2", "r1", "r3"} {
		k := newCopyManager(d, &work.Work{ID: id})
		got, err := k.requestCopy(ctx, run, "10.0.0.1:1", clock.Now())
		if want := "copy of " + string(id); got != want || err != nil {
			t.Errorf("copy of %s: got %q, %v, want %q", id, got, err, want)
		}
		if err := d.probe(ctx, run, clock.Now().Add(time.Second)); err != nil {
			t.Errorf("probe: got %v, want none", err)
		}
		k.drop(run, got)
	}
}

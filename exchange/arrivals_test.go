package exchange

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"crocuslug/timer"
)

// TestArrivals guards against data that waited in a buffer and counts as a sign of life of its sender. Times
// are in milliseconds.
func TestArrivals(t *testing.T) {
	const queue = int(maxQueueTime / time.Millisecond)
	tests := []struct {
		name  string
		steps func(a *arrivals)
		want  int
	}{
		{"an answer to a request", func(a *arrivals) { a.read(false) }, 1000},
		{"read at once", func(a *arrivals) { a.drained(1200e6); a.read(false) }, 1200},
		{"the rest of a read", func(a *arrivals) { a.drained(1200e6); a.read(false); a.read(false) }, 1200},
		{"a full read, then the rest", func(a *arrivals) { a.drained(1200e6); a.read(true); a.read(false) }, 1200},
		{"sent while the window was closed", func(a *arrivals) { a.drained(1200e6); a.read(true); a.drained(4000e6); a.read(false) }, 1200},
		{"sent when all of that has come", func(a *arrivals) {
			a.read(true)
			a.drained(4000e6)
			a.read(false)
			a.drained(time.Duration(4000+queue) * time.Millisecond)
			a.read(false)
		}, 4000 + queue},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var a arrivals
			a.begin(time.Second)
			tc.steps(&a)
			if got := int(a.sentAfter.Milliseconds()); got != tc.want {
				t.Errorf("the sender was alive after: got %d, want %d", got, tc.want)
			}
		})
	}
}

// TestAliveAt guards against a sign of life that is younger than its upstream, and against one that pieces read
// as they arrive do not renew.
func TestAliveAt(t *testing.T) {
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go clock.Run(ctx)
	end, ended := make(chan struct{}), make(chan time.Duration, 1)
	u := startUpstream(t, func(_ int, c *net.TCPConn) {
		if _, err := readRequest(c, bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n")
		pieces := time.NewTicker(5 * time.Millisecond)
		defer pieces.Stop()
		for running := true; running; {
			select {
			case <-pieces.C:
			case <-end:
				running = false
			}
			_, _ = fmt.Fprint(c, "1\r\n.\r\n")
		}
		ended <- clock.Uptime()
		_ = c.Close()
	})
	client := New(Settings{}, clock)
	defer client.Close()
	ans, err := client.Do(ctx, u.Addr().String(), newRequest("r"))
	if err != nil {
		t.Fatal(err)
	}
	defer ans.Close()
	b := make([]byte, 16)
	for mark := clock.Uptime(); ans.AliveAt() <= mark; {
		if _, err := ans.Read(b); err != nil {
			t.Fatalf("answer that goes on: got %v, want a sign of life after %v", err, mark)
		}
	}
	close(end)
	want := <-ended
	for err == nil { // the last pieces wait here
		_, err = ans.Read(b)
	}
	if got := ans.AliveAt(); got > want {
		t.Errorf("upstream alive: got after %v, want at most %v, its end", got, want)
	}
}

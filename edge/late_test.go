package edge_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"crocuslug/nativewire"
	"crocuslug/standinregistered"
)

// TestLateRequestRefused guards against requests that may not be repeated and are lost in a planned stop: their
// callers are still sending when the instance stops accepting connections, the requests are passed on, and the end
// of the grace period cuts them.
func TestLateRequestRefused(t *testing.T) {
	var runs atomic.Int64
	recorder := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	defer recorder.Close()
	s := newSite(t)
	s.putConfiguration(3)
	u := standinregistered.New(standinregistered.Settings{
		Listen: reserveAddress(t), Store: s.http.Addr(), Service: "plain", Domain: "a", Recorder: recorder.Listener.Addr().String(),
		Prefill: 4 * time.Second, // longer than the grace period
	}, s.clock)
	if err := u.Start(); err != nil {
		t.Fatal(err)
	}
	defer u.Kill()
	s.waitForUpstreams(1)
	e, cfg := s.startInstance("e1", s.http.Addr())
	s.waitForStatus(cfg.Listen, "/unsafe/x", "stolen", http.StatusUnauthorized)
	conn, err := net.Dial("tcp", cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	if _, err := fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\n%s: r1\r\n%s: k\r\nContent-Length: 2\r\n\r\nh", nativewire.RequestField, nativewire.KeyField); err != nil {
		t.Fatal(err)
	}
	left := make(chan struct{})
	go func() {
		e.Leave()
		close(left)
	}()
	for {
		c, err := net.Dial("tcp", cfg.Listen)
		if err != nil {
			break // the instance accepts no more connections
		}
		_ = c.Close()
		time.Sleep(10 * time.Millisecond)
	}
	if _, err := fmt.Fprint(conn, "i"); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("late request: got %v, want an answer", err)
	}
	if got := runs.Load(); res.StatusCode != http.StatusServiceUnavailable || got != 0 {
		t.Errorf("late request: got status %d and %d runs, want 503 and none", res.StatusCode, got)
	}
	<-left
}

package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"crocuslug/timer"
)

// TestPausedReader guards against requests that are broken off because a sound upstream pauses
// for a second before it reads a long body.
func TestPausedReader(t *testing.T) {
	const (
		pause    = 1200 * time.Millisecond
		bodySize = 16 << 20 // more than the buffers of a connection hold
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		<-time.After(pause)
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}()
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go clock.Run(ctx)
	client := New(Settings{}, clock)
	defer client.Close()
	ans, err := client.Do(ctx, l.Addr().String(), &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, bodySize)})
	if err != nil {
		t.Fatalf("request to a paused upstream: got error %v, want an answer", err)
	}
	defer ans.Close()
	if got, err := ans.ReadBody(); err != nil || string(got) != "ok" {
		t.Errorf("answer: got %q, %v, want %q", got, err, "ok")
	}
}

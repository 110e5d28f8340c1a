package upstreamcontrol

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"crocuslug/store"
	"crocuslug/timer"
)

// TestLateAnswer guards against a second answer to a reading of an engine's state that counts as an accepted order.
func TestLateAnswer(t *testing.T) {
	const state, refusal = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	serve := func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for late := ""; ; late = state {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			answer := state
			if r.Method == http.MethodPost {
				answer = refusal
			}
			_, _ = io.WriteString(c, late+answer)
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
	c := New(Settings{}, Ports{}, store.Store{}, timer.New(), "i1", "d1")
	defer c.Close()
	const limit = 10 * time.Second
	at := "http://" + l.Addr().String()
	for range 3 {
		if err := c.call(http.MethodGet, at+"/v1/state", nil, nil, limit); err != nil {
			t.Fatalf("state: got %v, want none", err)
		}
		if err := c.call(http.MethodPost, at+"/v1/orders", []byte("{}"), nil, limit); err == nil {
			t.Error("refused order: got no error, want one")
		}
	}
}

package engineclient

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// TestCutHead guards against a stream whose head is cut being taken for a whole one.
func TestCutHead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n"
	cuts := make(chan string, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, <-cuts)
			}
			_ = c.Close()
		}
	}()
	for n := range len(head) + 1 {
		cuts <- head[:n]
		s := New(Settings{}).NewStream()
		err := New(Settings{}).Start(s, Request{Address: l.Addr().String(), Stream: "s", Body: []byte("{}")})
		if err == nil {
			err = s.Read(func(Token) bool { return true })
		}
		if err == nil {
			t.Errorf("%q: got a whole stream, want an error", head[:n])
		}
		s.Close()
	}
}

package engineclient

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"crocuslug/generation"
)

// startRaw starts an engine that answers each request, once its head was read, with raw bytes. It waits for
// its reader to close the connection, or resets it as soon as resetAfter bytes of the body were read. The end of
// each connection is sent to closed.
func startRaw(t *testing.T, answer string, resetAfter int64) (address string, closed chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	closed = make(chan struct{}, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			br := bufio.NewReader(c)
			r, err := http.ReadRequest(br)
			if err == nil {
				_, _ = io.WriteString(c, answer)
				if resetAfter > 0 {
					_, _ = io.CopyN(io.Discard, r.Body, resetAfter)
					_ = c.(*net.TCPConn).SetLinger(0)
				} else {
					_, _ = io.Copy(io.Discard, br)
				}
			}
			_ = c.Close()
			closed <- struct{}{}
		}
	}()
	return l.Addr().String(), closed
}

// TestResetDuringUpload guards against a stream without a length that ends as a whole one, if the engine
// resets the connection while the request is being written.
func TestResetDuringUpload(t *testing.T) {
	const (
		runs   = 5        // the write ends before the answer is read, so no race is expected
		upload = 16 << 20 // bytes, more than socket buffers hold
		token  = "id: 0\ndata: {\"id\":\"s\",\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\n"
	)
	address, _ := startRaw(t, streamHead+token, 1<<20)
	body := []byte("{\"x\":\"" + strings.Repeat("x", upload) + "\"}")
	c := New(Settings{})
	for range runs {
		s := c.NewStream()
		err := c.Start(s, Request{Address: address, Stream: "s", Body: body})
		if err == nil {
			err = s.Read(func(Token) bool { return true })
		}
		s.Close()
		var lost *StreamError
		if !errors.As(err, &lost) || lost.Cause != generation.ConnectionReset {
			t.Fatalf("got %v, want a loss with cause %v", err, generation.ConnectionReset)
		}
	}
}

// TestInvalidStatus guards against statuses that HTTP does not define being taken for an engine's rejection,
// after which the caller is told that its request has not run.
func TestInvalidStatus(t *testing.T) {
	const next = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	tests := []struct {
		status string
		want   generation.LossCause
	}{
		{"000", generation.ConnectionReset},
		{"042", generation.ConnectionReset},
		{"099", generation.ConnectionReset},
		{"600", generation.ConnectionReset},
		{"999", generation.ConnectionReset},
		{"400", generation.RequestRejected},
		{"500", generation.RequestRejected},
		{"599", generation.RequestRejected},
	}
	for _, tc := range tests {
		address, closed := startRaw(t, "HTTP/1.1 "+tc.status+" X\r\nContent-Length: 0\r\n\r\n"+next, 0)
		c := New(Settings{})
		s := c.NewStream()
		err := c.Start(s, Request{Address: address, Stream: "s", Body: []byte("{}")})
		var lost *StreamError
		if !errors.As(err, &lost) || lost.Cause != tc.want {
			t.Errorf("status %s: got %v, want a loss with cause %v", tc.status, err, tc.want)
		}
		s.Close()
		<-closed
	}
}

package engineclient

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// flood serves an answer that begins with some bytes and goes on with others until its reader closes
// the connection. Each connection reports its end.
func flood(t *testing.T, begin, unit string) (address string, closed chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	closed = make(chan struct{}, 10)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			_ = req.Body.Close()
			_, err = c.Write([]byte(begin))
		}
		const block = 16 << 10 // bytes
		units := []byte(strings.Repeat(unit, block/len(unit)))
		for err == nil {
			_, err = c.Write(units)
		}
		closed <- struct{}{}
	}()
	return l.Addr().String(), closed
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

// TestEndlessStream guards against streams that go on as long as an engine sends bytes that are no
// events of the answer.
func TestEndlessStream(t *testing.T) {
	tests := []struct{ name, begin, unit string }{
		{"head: line", "HTTP/1.1 200 ", "x"},
		{"head: fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"head: no HTTP", "", "x\r\n"},
		{"line", streamHead, "x"},
		{"event", streamHead, "data: x\n"},
		{"events of no answer", streamHead, "data: x\n\n"},
		{"events of another answer", streamHead, "id: 1\ndata: {\"id\":\"other\",\"choices\":[{}]}\n\n"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			address, closed := flood(t, tc.begin, tc.unit)
			s := New(Settings{}).NewStream()
			err := New(Settings{}).Start(s, Request{Address: address, Stream: "s", Body: []byte("{}")})
			if err == nil {
				err = s.Read(func(Token) bool { return true })
			}
			var lost *StreamError
			if !errors.As(err, &lost) {
				t.Errorf("got %v, want a *StreamError", err)
			}
			s.Close()
			<-closed
		})
	}
}

// TestEndlessCancel guards against memory that an answer to a cancellation may take: it is read whole.
func TestEndlessCancel(t *testing.T) {
	for _, framing := range []string{"", "Content-Length: 99999999999\r\n"} {
		address, closed := flood(t, "HTTP/1.1 200 OK\r\n"+framing+"\r\n", "x")
		err := New(Settings{CancelTimeout: 10 * time.Second}).Cancel(address, "s")
		if !errors.Is(err, fasthttp.ErrBodyTooLarge) {
			t.Errorf("framing %q: got %v, want %v", framing, err, fasthttp.ErrBodyTooLarge)
		}
		<-closed
	}
}

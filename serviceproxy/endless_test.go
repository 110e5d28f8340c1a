package serviceproxy

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// answerRaw makes a round trip to a service that sends begin, and then unit until its caller closes
// the connection, or resets the connection if unit is empty and reset is set.
func answerRaw(t *testing.T, begin, unit string, reset bool) (string, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err = http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, err = c.Write([]byte(begin))
		}
		const block = 16 << 10 // bytes
		for units := []byte(strings.Repeat(unit, block)); err == nil && unit != ""; {
			_, err = c.Write(units)
		}
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://" + l.Addr().String() + "/")
	const limit = 10 * time.Second
	err = roundTrip(conn, &req, &resp, time.Now().Add(limit), defaultMaxBody)
	_ = conn.Close()
	<-done
	return string(resp.Body()), err
}

const rawHead = "HTTP/1.1 200 OK\r\n"

// TestEndless guards against answers of services that are read as long as they come.
func TestEndless(t *testing.T) {
	tests := []struct{ name, begin, unit string }{
		{"head: line", rawHead[:9], "x"},
		{"head: fields", rawHead, "A: b\r\n"},
		{"head: no HTTP", "", "x\r\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"body", rawHead + "\r\n", "x"},
		{"body with a length", rawHead + "Content-Length: 99999999999\r\n\r\n", "x"},
		{"chunk", rawHead + "Transfer-Encoding: chunked\r\n\r\nFFFFFFF\r\n", "x"},
		{"chunks", rawHead + "Transfer-Encoding: chunked\r\n\r\n", "3\r\none\r\n"},
		{"chunk size", rawHead + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"chunk extension", rawHead + "Transfer-Encoding: chunked\r\n\r\n3;", "x"},
		{"trailers", rawHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			body, err := answerRaw(t, tc.begin, tc.unit, false)
			if err == nil || strings.Contains(err.Error(), "timeout") {
				t.Errorf("got a body of %d bytes, %v, want an error before the time limit", len(body), err)
			}
		})
	}
}

// TestUnframed guards against answers that end with their connection and were broken off, but count
// as complete.
func TestUnframed(t *testing.T) {
	for _, head := range []string{rawHead, rawHead + "Connection: keep-alive\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n"} {
		for _, reset := range []bool{false, true} {
			body, err := answerRaw(t, head+"\r\none", "", reset)
			if (err != nil) != reset || err == nil && body != "one" {
				t.Errorf("%q, reset %v: got %q, %v, want one or an error", head, reset, body, err)
			}
		}
	}
}

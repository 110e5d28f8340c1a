package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"crocuslug/timer"
)

const (
	// uploadSize is the size in bytes of a request body that no socket buffers hold, so that it is still being
	// written when an early answer arrives.
	uploadSize = 16 << 20
	// truncatedRuns is the number of runs of a case that is a race. Before the check of the write, 35 and 38
	// of 40 runs returned a part as the whole.
	truncatedRuns = 40
)

// earlyAnswer is an answer to an upload that is still being written.
type earlyAnswer struct {
	name string
	body int // size of the request in bytes
	head string
	end  func(c *net.TCPConn, br *bufio.Reader) // after the answer
	want string                                 // result
}

// resetAfter ends a connection with a reset once n bytes of the request were read.
func resetAfter(n int64) func(c *net.TCPConn, br *bufio.Reader) {
	return func(c *net.TCPConn, br *bufio.Reader) {
		_, _ = io.CopyN(io.Discard, br, n)
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

const (
	unframedHead = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"
	framedHead   = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\n"
	chunkedHead  = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n"
)

var earlyAnswers = []earlyAnswer{
	{"reset during the upload", uploadSize, unframedHead, resetAfter(1 << 20), "broken"},
	{"reset during the upload, HTTP/1.0", uploadSize, "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n", resetAfter(1 << 20), "broken"},
	{"reset after the upload", uploadSize, unframedHead, resetAfter(uploadSize), "broken"},
	{"reset after a short request", 4, unframedHead, resetAfter(4), "broken"},
	{"closed after the upload", uploadSize, unframedHead, func(c *net.TCPConn, br *bufio.Reader) {
		_, _ = io.CopyN(io.Discard, br, uploadSize)
		_ = c.Close()
	}, `200 "part"`},
	{"closed during the upload, which is read on", uploadSize, unframedHead, func(c *net.TCPConn, br *bufio.Reader) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, br)
		_ = c.Close()
	}, `200 "part"`},
	{"closed during the upload, then reset", uploadSize, unframedHead, func(c *net.TCPConn, br *bufio.Reader) {
		_ = c.CloseWrite()
		resetAfter(1<<10)(c, br)
	}, `200 "part"`},
	{"length, reset", uploadSize, framedHead, resetAfter(1 << 20), `200 "part"`},
	{"chunks, reset between them", uploadSize, chunkedHead, resetAfter(1 << 20), "broken"},
}

// serve answers once the head of the request was read.
func (e earlyAnswer) serve(_ int, c *net.TCPConn) {
	br := bufio.NewReader(c)
	if _, err := http.ReadRequest(br); err != nil {
		return
	}
	_, _ = io.WriteString(c, e.head+"part")
	e.end(c, br)
}

// TestTruncated guards against a part of an answer without a length being returned as the whole, if its
// connection is reset while the request is being written, and against whole answers that count as parts.
func TestTruncated(t *testing.T) {
	t.Parallel()
	for _, tc := range earlyAnswers {
		t.Run(tc.name, func(t *testing.T) {
			u := startUpstream(t, tc.serve)
			c := New(Settings{}, timer.New())
			defer c.Close()
			body := make([]byte, tc.body)
			got := make(map[string]int) // runs by result
			for range truncatedRuns {
				r := newRequest("1")
				r.Body = body
				got[result(context.Background(), c, u.Addr().String(), r)]++
			}
			if got[tc.want] != truncatedRuns {
				t.Errorf("results of %d runs: got %v, want all %s", truncatedRuns, got, tc.want)
			}
		})
	}
}

package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"crocuslug/directory"
)

// connection is one connection of a caller.
type connection struct {
	net.Conn
	server  *Server
	br      *bufio.Reader
	bw      *bufio.Writer
	in      *io.LimitedReader // under br; bounds the head of a request
	ctx     context.Context   // of the request in progress
	closing bool              // the connection ends after the answer in progress

	mu   sync.Mutex
	busy bool // a request is being read or answered
}

// Sizes of buffers in bytes.
const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	unlimited   = 1 << 62
)

// serve reads and answers requests until the connection ends.
func (c *connection) serve() {
	for {
		if !c.awaitRequest() {
			return
		}
		limits := c.server.ports.Limits()
		call, status := c.read(limits)
		if call == nil {
			c.reject(status)
			return
		}
		if !c.handle(call, limits) {
			return
		}
	}
}

// awaitRequest waits for the first byte of a request.
func (c *connection) awaitRequest() bool {
	c.in.N = unlimited
	if _, err := c.br.Peek(1); err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	return true
}

// rest begins the wait for the next request, or ends the connection.
func (c *connection) rest(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	if c.closing || c.server.closed.Load() {
		_ = c.Conn.Close() // the reader ends
		return
	}
	c.readBy(c.server.timer.Now(), idle)
}

// dismiss ends the connection unless a request has begun. Its reader decides
// which came first, so that no request is read and then dropped.
func (c *connection) dismiss() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		_ = c.SetReadDeadline(c.server.timer.Now()) // fails only on a closed connection
	}
}

// read reads one request whole. Without a request it returns the status of the
// answer that says why, or 0 if the caller has gone.
func (c *connection) read(limits directory.Limits) (*Call, int) {
	now := c.server.timer.Now()
	c.readBy(now, limits.HeaderTimeout)
	if limits.HeaderBytes > 0 {
		c.in.N = int64(limits.HeaderBytes) - int64(c.br.Buffered()) + headSlack
	}
	req, err := http.ReadRequest(c.br)
	if err != nil {
		// The parser takes a line that is not finished for a malformed one.
		if limits.HeaderTimeout > 0 && c.server.timer.Now().Sub(now) >= limits.HeaderTimeout {
			return nil, http.StatusRequestTimeout
		}
		return nil, c.headFailure(err)
	}
	if limits.HeaderBytes > 0 && headSize(req) > limits.HeaderBytes {
		return nil, http.StatusRequestHeaderFieldsTooLarge
	}
	c.in.N = unlimited
	if req.ContentLength > int64(limits.BodyBytes) && limits.BodyBytes > 0 {
		return nil, http.StatusRequestEntityTooLarge
	}
	if expects(req.Header) && (req.ContentLength != 0) {
		c.writeBy()
		if _, err := c.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil || c.bw.Flush() != nil {
			return nil, 0
		}
	}
	c.readBy(now, c.server.cfg.BodyTimeout)
	body, status := readBody(req, limits)
	if status != 0 {
		return nil, status
	}
	_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
	return &Call{Request: req, Body: body, Arrived: c.server.timer.Now(), Caller: c.RemoteAddr().String(), c: c}, 0
}

// headSlack is what the request line and the buffer may add to the header.
const headSlack = 8 << 10

// headFailure returns the status for a head that could not be read.
func (c *connection) headFailure(err error) int {
	switch {
	case c.in.N <= 0:
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), isReset(err):
		return 0
	}
	return http.StatusBadRequest
}

func isReset(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// headSize returns the bytes of the header fields.
func headSize(req *http.Request) int {
	n := len(req.Host)
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

func expects(h http.Header) bool {
	return strings.EqualFold(h.Get("Expect"), "100-continue")
}

// readBody reads the body of a request within the limits.
func readBody(req *http.Request, limits directory.Limits) ([]byte, int) {
	if req.ContentLength == 0 {
		return nil, 0
	}
	var b bytes.Buffer
	if req.ContentLength > 0 {
		b.Grow(int(req.ContentLength))
	}
	most := int64(unlimited)
	if limits.BodyBytes > 0 {
		most = int64(limits.BodyBytes)
	}
	n, err := b.ReadFrom(io.LimitReader(req.Body, most+1))
	switch {
	case n > most:
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case errors.Is(err, io.ErrUnexpectedEOF), isReset(err):
		return nil, 0
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return b.Bytes(), 0
}

// handle lets the handler answer a request and meanwhile watches whether the
// caller leaves. It returns whether the connection goes on.
func (c *connection) handle(call *Call, limits directory.Limits) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.ctx = ctx
	c.closing = call.Request.Close
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.server.ports.Handle(call)
		c.closing = c.closing || !call.ended
		c.rest(limits.IdleTimeout)
	}()
	_, err := c.br.Peek(1)
	if err != nil {
		cancel()
	}
	<-done
	return err == nil && call.ended && !c.closing && !c.server.closed.Load()
}

// reject answers a request that could not be read, and ends the connection.
func (c *connection) reject(status int) {
	if status == 0 {
		return
	}
	c.server.ports.Rejected(c.RemoteAddr().String(), status)
	call := &Call{Request: &http.Request{Method: http.MethodGet}, c: c}
	c.closing = true
	if call.Answer(status, nil, nil) != nil {
		return
	}
	c.linger()
}

// lingerFor is how long a caller that is still sending may go on after its
// request was rejected, so that the answer is not lost with a reset.
const lingerFor = 500 * time.Millisecond

func (c *connection) linger() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the caller may have gone
	}
	c.readBy(c.server.timer.Now(), lingerFor)
	_, _ = io.Copy(io.Discard, c.Conn) // ends with the caller or the deadline
}

// readBy bounds reading to d from now; 0 means no bound.
func (c *connection) readBy(now time.Time, d time.Duration) {
	var t time.Time
	if d > 0 {
		t = now.Add(d)
	}
	_ = c.SetReadDeadline(t) // fails only on a closed connection
}

// writeBy bounds the next writes.
func (c *connection) writeBy() {
	_ = c.SetWriteDeadline(c.server.timer.Now().Add(c.server.cfg.WriteTimeout)) // fails only on a closed connection
}

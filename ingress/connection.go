package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"crocuslug/connectionlimit"
	"crocuslug/directory"
	"crocuslug/socket"
)

// connection is one connection of a caller.
type connection struct {
	net.Conn
	server    *Server
	br        *bufio.Reader
	bw        *bufio.Writer
	head      headReader        // source of headLimit
	headLimit *io.LimitedReader // source of br; bounds the head of a request
	ctx       context.Context   // of the request in progress
	closing   bool              // the connection is closed after the answer in progress
	checkedAt time.Time         // when it was last checked whether the caller is lost
	evict     func(writing bool)
	place     *connectionlimit.Place

	mu     sync.Mutex
	busy   bool                    // a request is being read or answered
	cancel context.CancelCauseFunc // ends ctx; nil while no request is answered
}

// Buffer sizes in bytes.
const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	unlimited   = 1 << 62 // number of bytes that is never reached
)

// serve reads and answers requests until the connection ends.
func (c *connection) serve() {
	for {
		if !c.awaitRequest() {
			return
		}
		limits := c.server.ports.Limits()
		call, status, err := c.readRequest(limits)
		if call == nil {
			c.reject(status, err)
			return
		}
		if !c.handle(call, limits) {
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. It returns false if the connection ends.
func (c *connection) awaitRequest() bool {
	c.headLimit.N = unlimited
	if _, err := c.br.Peek(1); err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	return true
}

// finishRequest marks the end of a request: it closes the connection or bounds the wait for the
// next request to idle. If the server is closed it waits no longer, but a request whose first bytes
// were read during the answer is still answered.
func (c *connection) finishRequest(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	switch {
	case c.closing:
		_ = c.Conn.Close() // the reader in handle then returns
	case c.server.closed.Load():
		_ = c.SetReadDeadline(c.server.timer.Now()) // fails only on a closed connection
	default:
		now := c.server.timer.Now()
		c.setReadTimeout(now, idle)
		c.place.Idle(now)
	}
}

// closeIfIdle ends the connection unless a request has begun. It only sets a read deadline in the
// past: the reading goroutine decides whether a request began first, so that no request is read
// and then dropped.
func (c *connection) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		_ = c.SetReadDeadline(c.server.timer.Now()) // fails only on a closed connection
	}
}

// setCancel sets the function that ends the context of the request in progress.
func (c *connection) setCancel(cancel context.CancelCauseFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
}

// endRequest ends the context of the request in progress, if there is one.
func (c *connection) endRequest(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel(cause)
	}
}

// readRequest reads one complete request. If that fails it returns the status with which to
// answer and the cause, or 0 if the caller has disconnected.
func (c *connection) readRequest(limits directory.Limits) (*Call, int, error) {
	now := c.server.timer.Now()
	c.setReadTimeout(now, limits.HeaderTimeout)
	if !c.place.Read(now) {
		return nil, http.StatusServiceUnavailable, errNoPlace
	}
	if limits.HeaderBytes > 0 {
		c.headLimit.N = int64(limits.HeaderBytes) - int64(c.br.Buffered()) + headSlack
	}
	call := &Call{Caller: c.RemoteAddr().String(), conn: c}
	call.memory.Attach(c.server.bodies, c.evict)
	call.memory.Open(now, int64(limits.BodyBytes)+1+largestHead(limits))
	status, err := c.readHead(call, limits, now)
	if err == nil {
		c.setReadTimeout(now, c.server.cfg.BodyTimeout)
		if c.place.Read(c.server.timer.Now()) { // the time limit of the body overrides an earlier stopReading
			status, err = call.readBody(limits)
		}
	}
	if !c.place.Hold() {
		status, err = http.StatusServiceUnavailable, errNoPlace
	}
	if err != nil {
		call.release()
		return nil, status, err
	}
	_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
	call.Arrived = c.server.timer.Now()
	return call, 0, nil
}

// errNoPlace is returned when the connection gave way to a new one.
var errNoPlace = errors.New("the connection gave way to a new one: there are as many as allowed, and this one made no progress for the longest time")

// readHead reads the head of a request. If that fails it returns the status with which to answer and the
// cause, or 0 if the caller has disconnected.
func (c *connection) readHead(call *Call, limits directory.Limits, now time.Time) (int, error) {
	buffered, _ := c.br.Peek(c.br.Buffered()) // nothing is read
	c.head.begin(call, buffered)
	req, err := http.ReadRequest(c.br)
	c.head.end()
	if err == nil {
		err = c.head.err
	}
	if err != nil {
		if errors.Is(err, errOverBudget) {
			return http.StatusRequestHeaderFieldsTooLarge, err
		}
		if !call.memory.Hold() {
			return http.StatusServiceUnavailable, errGaveWay
		}
		// The parser reports an incomplete line as malformed, so check the time first.
		if limits.HeaderTimeout > 0 && c.server.timer.Now().Sub(now) >= limits.HeaderTimeout {
			return http.StatusRequestTimeout, err
		}
		return c.headErrorStatus(err), err
	}
	if err := c.head.framing.Err(req.ProtoAtLeast(1, 1)); err != nil {
		return http.StatusBadRequest, err
	}
	if limits.HeaderBytes > 0 && headerSize(req) > limits.HeaderBytes {
		return http.StatusRequestHeaderFieldsTooLarge, errHeaderTooLarge
	}
	c.headLimit.N = unlimited
	if req.ContentLength > int64(limits.BodyBytes) && limits.BodyBytes > 0 {
		return http.StatusRequestEntityTooLarge, errBodyTooLarge
	}
	if expectsContinue(req.Header) && (req.ContentLength != 0) {
		c.setWriteTimeout()
		_, _ = c.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n") // an error shows at the flush
		if err := c.bw.Flush(); err != nil {
			return 0, err
		}
	}
	call.Request = req
	return 0, nil
}

// errHeaderTooLarge is returned for header fields that exceed their limit.
var errHeaderTooLarge = errors.New("header fields exceed their limit")

// headSlack is the number of bytes by which the request line and buffered input may exceed the
// limit on the header.
const headSlack = 8 << 10

// headErrorStatus returns the status for a request head that could not be read, or 0 if the
// connection has failed.
func (c *connection) headErrorStatus(err error) int {
	switch {
	case c.headLimit.N <= 0:
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), isNetError(err):
		return 0
	}
	return http.StatusBadRequest
}

// isNetError reports whether err comes from the network connection, such as a reset.
func isNetError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// headerSize returns the size of the header fields in bytes.
func headerSize(req *http.Request) int {
	n := len(req.Host)
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// expectsContinue reports whether the caller waits for 100 Continue before it sends the body.
func expectsContinue(h http.Header) bool {
	return strings.EqualFold(h.Get("Expect"), "100-continue")
}

// handle runs the handler for a request and cancels its context if the caller disconnects
// meanwhile. It returns whether the connection stays open.
func (c *connection) handle(call *Call, limits directory.Limits) bool {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer c.setCancel(nil)
	defer cancel(nil)
	c.ctx = ctx
	c.setCancel(cancel)
	c.closing = call.Request.Close
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer call.release()
		c.server.ports.Handle(call)
		c.closing = c.closing || !call.complete
		c.finishRequest(limits.IdleTimeout)
	}()
	_, err := c.br.Peek(1)
	if err != nil {
		cancel(nil)
	}
	<-done
	return err == nil && call.complete && !c.closing
}

// retryBody is the Retry-After, in seconds, of a request that gave way to others while it was read.
const retryBody = "1"

// reject answers a request that could not be read and ends the connection.
func (c *connection) reject(status int, cause error) {
	if status == 0 {
		return
	}
	c.server.ports.Rejected(c.RemoteAddr().String(), status, cause)
	call := &Call{Request: &http.Request{Method: http.MethodGet}, conn: c}
	c.closing = true
	var h http.Header
	if status == http.StatusServiceUnavailable {
		h = http.Header{"Retry-After": {retryBody}}
	}
	if call.Answer(status, h, nil) != nil || errors.Is(cause, errNoPlace) {
		return
	}
	c.linger()
}

// lingerTime is how long input is still read after a request was rejected. Closing the connection
// while the caller sends would reset it, and the caller could lose the answer.
const lingerTime = 500 * time.Millisecond

// linger closes the connection for writing and discards input until the caller closes it or
// lingerTime is over.
func (c *connection) linger() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails if the caller has disconnected
	}
	c.setReadTimeout(c.server.timer.Now(), lingerTime)
	_, _ = io.Copy(io.Discard, c.Conn) // ends when the caller closes or at the deadline
}

// setReadTimeout bounds reading to d after now; 0 means no bound.
func (c *connection) setReadTimeout(now time.Time, d time.Duration) {
	var t time.Time
	if d > 0 {
		t = now.Add(d)
	}
	_ = c.SetReadDeadline(t) // fails only on a closed connection
}

// setWriteTimeout bounds the next writes to Settings.WriteTimeout.
func (c *connection) setWriteTimeout() {
	_ = c.SetWriteDeadline(c.server.timer.Now().Add(c.server.cfg.WriteTimeout)) // fails only on a closed connection
}

// lostCheckInterval is the interval of the checks whether the caller is lost while an answer is written.
const lostCheckInterval = time.Second

// checkLost returns errCallerLost if the caller acknowledges nothing any more.
func (c *connection) checkLost() error {
	now := c.server.timer.Now()
	if now.Sub(c.checkedAt) < lostCheckInterval {
		return nil
	}
	c.checkedAt = now
	if socket.Lost(c.Conn) {
		return errCallerLost
	}
	return nil
}

// resetAtClose sets whether closing the connection resets it, which discards data that was not sent.
func (c *connection) resetAtClose(reset bool) {
	linger := -1 // the default of the system
	if reset {
		linger = 0
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(linger) // fails only on a closed connection
	}
}

package ingress

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Call is one request and the means to answer it. Its methods are called from one goroutine.
type Call struct {
	Request *http.Request // its body was read into Body
	Body    []byte
	Arrived time.Time // when the whole request had been read
	Caller  string    // address of the caller

	conn     *connection
	started  bool // the answer was started
	chunked  bool
	complete bool // the whole answer was written
}

// errAnswerEnded is returned when an answer is started twice.
var errAnswerEnded = errors.New("answer was already started")

// errCallerLost is returned when the kernel of the caller acknowledges nothing any more.
var errCallerLost = errors.New("caller acknowledges nothing")

// Answer writes a complete answer.
func (c *Call) Answer(status int, h http.Header, body []byte) error {
	if c.started {
		return errAnswerEnded
	}
	c.started = true
	w := c.conn.bw
	c.conn.setWriteTimeout()
	if err := c.writeHead(w, status, h, "Content-Length: "+strconv.Itoa(len(body))+"\r\n"); err != nil {
		return err
	}
	if !c.headOnly() {
		if _, err := w.Write(body); err != nil {
			return err
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	c.complete = true
	return nil
}

// Begin starts an answer that is written piece by piece. To an HTTP/1.0 caller it ends with the
// connection, which is reset if it ends before End, also by the end of the process.
func (c *Call) Begin(status int, h http.Header) error {
	if c.started {
		return errAnswerEnded
	}
	c.started = true
	c.chunked = c.Request.ProtoAtLeast(1, 1)
	framing := "Transfer-Encoding: chunked\r\n"
	if !c.chunked {
		framing = ""
		c.conn.closing = true
		c.conn.resetAtClose(true)
	}
	c.conn.setWriteTimeout()
	return c.writeHead(c.conn.bw, status, h, framing)
}

// headOnly reports whether the answer consists of its head.
func (c *Call) headOnly() bool { return c.Request.Method == http.MethodHead }

// Piece writes and flushes one part of the answer. To a HEAD request it writes nothing. It returns an
// error if the caller is lost.
func (c *Call) Piece(b []byte) error {
	if c.complete || len(b) == 0 || c.headOnly() {
		return nil
	}
	if err := c.conn.checkLost(); err != nil {
		return err
	}
	w := c.conn.bw
	c.conn.setWriteTimeout()
	if c.chunked {
		const hex = 16
		if _, err := w.WriteString(strconv.FormatInt(int64(len(b)), hex) + "\r\n"); err != nil {
			return err
		}
	}
	if _, err := w.Write(b); err != nil {
		return err
	}
	if c.chunked {
		if _, err := w.WriteString("\r\n"); err != nil {
			return err
		}
	}
	return w.Flush()
}

// End completes an answer that was started with Begin. Without it the connection is closed after
// the handler, so that the caller sees that the answer is incomplete.
func (c *Call) End() error {
	c.conn.setWriteTimeout()
	if c.chunked && !c.headOnly() {
		if _, err := c.conn.bw.WriteString("0\r\n\r\n"); err != nil {
			return err
		}
	}
	if err := c.conn.bw.Flush(); err != nil {
		return err
	}
	if !c.chunked {
		c.conn.resetAtClose(false)
	}
	c.complete = true
	return nil
}

// writeHead writes the status line and the header.
func (c *Call) writeHead(w *bufio.Writer, status int, h http.Header, framing string) error {
	if c.conn.server.leaving() {
		c.conn.closing = true
	}
	text := http.StatusText(status)
	if text == "" {
		text = "Status " + strconv.Itoa(status)
	}
	if _, err := w.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + text + "\r\n"); err != nil {
		return err
	}
	if err := h.Write(w); err != nil {
		return err
	}
	switch {
	case c.conn.closing:
		framing += "Connection: close\r\n"
	case !c.Request.ProtoAtLeast(1, 1):
		framing += "Connection: keep-alive\r\n" // the caller asked for it; it would expect the end otherwise
	}
	_, err := w.WriteString(framing + "\r\n")
	return err
}

// Context returns a context that ends when the caller disconnects.
func (c *Call) Context() context.Context { return c.conn.ctx }

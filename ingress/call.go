package ingress

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"crocuslug/bodybudget"
)

// Call is one request and the means to answer it. Its methods are called from one goroutine.
type Call struct {
	Request *http.Request // its body was read into Body and More
	Body    []byte
	More    [][]byte  // of the body, after Body
	Arrived time.Time // when the whole request had been read
	Caller  string    // address of the caller

	conn     *connection
	memory   bodybudget.Claim // of the body and the answer
	started  bool             // the answer was started
	chunked  bool
	complete bool // the whole answer was written
}

// errAnswerEnded is returned when an answer is started twice.
var errAnswerEnded = errors.New("answer was already started")

// errCallerLost is returned when the kernel of the caller acknowledges nothing any more.
var errCallerLost = errors.New("caller acknowledges nothing")

// Answer writes a complete answer, whose body is body and more.
func (c *Call) Answer(status int, h http.Header, body []byte, more ...[]byte) error {
	if c.started {
		return errAnswerEnded
	}
	c.started = true
	length := len(body)
	for _, part := range more {
		length += len(part)
	}
	w := c.conn.bw
	c.conn.setWriteTimeout()
	if err := c.writeHead(w, status, h, "Content-Length: "+strconv.Itoa(length)+"\r\n"); err != nil {
		return err
	}
	if !c.headOnly() {
		err := c.writePart(body)
		for i := 0; err == nil && i < len(more); i++ {
			err = c.writePart(more[i])
		}
		if err != nil {
			return err
		}
	}
	if err := w.Flush(); err != nil {
		return c.writeError(err)
	}
	c.complete = true
	return nil
}

// writePart writes a part of the body of a complete answer. While it waits for the caller, the request may have to
// give way to others.
func (c *Call) writePart(b []byte) error {
	for len(b) > 0 {
		if !c.memory.Write(c.conn.server.timer.Now()) {
			return c.writeError(errGaveWay)
		}
		n := min(len(b), writeStep)
		if _, err := c.conn.bw.Write(b[:n]); err != nil {
			return c.writeError(err)
		}
		b = b[n:]
	}
	return nil
}

// writeError returns the cause of an error of a write. A connection whose request gave way is reset, so
// that the kernel does not keep what the caller does not read.
func (c *Call) writeError(err error) error {
	if c.memory.Hold() {
		return err
	}
	c.conn.resetAtClose(true)
	return errGaveWay
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
	c.conn.setWriteTimeout()
	if !c.memory.Write(c.conn.server.timer.Now()) {
		return c.writeError(errGaveWay)
	}
	if err := c.writePiece(b); err != nil {
		return c.writeError(err)
	}
	if !c.memory.Hold() {
		return c.writeError(errGaveWay)
	}
	return nil
}

// writePiece writes one part of the answer as it is sent.
func (c *Call) writePiece(b []byte) error {
	w := c.conn.bw
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

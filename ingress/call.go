package ingress

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Call is one request with the means to answer it. Its methods are called by
// one goroutine.
type Call struct {
	Request *http.Request // without body
	Body    []byte
	Arrived time.Time // when it had been read
	Caller  string    // address

	c       *connection
	begun   bool
	chunked bool
	ended   bool // the answer is whole
}

// errEnded is returned by writes after the end of an answer.
var errEnded = errors.New("the answer has ended")

// Answer writes a whole answer.
func (c *Call) Answer(status int, h http.Header, body []byte) error {
	if c.begun {
		return errEnded
	}
	c.begun = true
	w := c.c.bw
	c.c.writeBy()
	if err := c.head(w, status, h, "Content-Length: "+strconv.Itoa(len(body))+"\r\n"); err != nil {
		return err
	}
	if c.Request.Method != http.MethodHead {
		if _, err := w.Write(body); err != nil {
			return err
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	c.ended = true
	return nil
}

// Begin starts an answer that is written piece by piece.
func (c *Call) Begin(status int, h http.Header) error {
	if c.begun {
		return errEnded
	}
	c.begun = true
	c.chunked = c.Request.ProtoAtLeast(1, 1)
	framing := "Transfer-Encoding: chunked\r\n"
	if !c.chunked {
		framing = ""
		c.c.closing = true
	}
	c.c.writeBy()
	return c.head(c.c.bw, status, h, framing)
}

// Piece writes one part of the answer and sends it at once.
func (c *Call) Piece(b []byte) error {
	if c.ended || len(b) == 0 {
		return nil
	}
	w := c.c.bw
	c.c.writeBy()
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

// End marks an answer written piece by piece as whole. Without it the
// connection is closed after the handler, so that the caller sees the cut.
func (c *Call) End() error {
	c.c.writeBy()
	if c.chunked {
		if _, err := c.c.bw.WriteString("0\r\n\r\n"); err != nil {
			return err
		}
	}
	if err := c.c.bw.Flush(); err != nil {
		return err
	}
	c.ended = true
	return nil
}

// head writes the status line and the header.
func (c *Call) head(w *bufio.Writer, status int, h http.Header, framing string) error {
	if c.c.server.leaving() {
		c.c.closing = true
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
	if c.c.closing {
		framing += "Connection: close\r\n"
	}
	_, err := w.WriteString(framing + "\r\n")
	return err
}

// Context ends when the caller has gone.
func (c *Call) Context() context.Context { return c.c.ctx }

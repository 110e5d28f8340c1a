package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"crocuslug/bodybudget"
	"crocuslug/directory"
)

// errGaveWay is returned when a request gave way to others because the memory for bodies is used up.
var errGaveWay = errors.New("the memory for bodies is used up, and this one made no progress for the longest time")

// errOverBudget is returned when a body is larger than all bodies together may be.
var errOverBudget = errors.New("body exceeds the memory for all bodies")

// Sizes in bytes of the parts in which a body is read. They bound what a caller takes in advance, and what the
// last part has too much.
const (
	firstPart   = 4 << 10  // of a body without a length
	trustedPart = 32 << 10 // of a body with a length
	maxPart     = 256 << 10
	growth      = 4        // a part has a fourth of what was read before
	writeStep   = 64 << 10 // of an answer, after which it has made progress
)

// nextPart returns how many bytes to read after size bytes of a body that has length bytes, or an unknown number
// if that is negative, and at most limit.
func nextPart(size, length, limit int64) int64 {
	first, rest := int64(firstPart), limit+1-size // one byte more shows that the body is too large
	if length >= 0 {
		first, rest = trustedPart, length-size
	}
	return min(max(first, size/growth), maxPart, rest)
}

// readBody reads the body of the request. It returns the status with which to answer if the body cannot be read
// within the limits, and 0 with an error if the connection has failed.
func (c *Call) readBody(limits directory.Limits) (int, error) {
	length, limit := c.Request.ContentLength, int64(unlimited)
	if limits.BodyBytes > 0 {
		limit = int64(limits.BodyBytes)
	}
	var size int64
	for length < 0 || size < length {
		n := nextPart(size, length, limit)
		if err := c.Take(n); err != nil {
			return bodyStatus(err), err
		}
		part := make([]byte, n)
		got, err := fill(c.Request.Body, part)
		size += int64(got)
		c.addPart(part[:got])
		if size > limit {
			return http.StatusRequestEntityTooLarge, errBodyTooLarge
		}
		if err == io.EOF {
			break
		}
		if err == nil && !c.conn.place.Read(c.conn.server.timer.Now()) {
			return http.StatusServiceUnavailable, errNoPlace
		}
		if err != nil {
			if !c.memory.Hold() {
				err = errGaveWay
			}
			return bodyStatus(err), err
		}
	}
	if !c.memory.Hold() {
		return http.StatusServiceUnavailable, errGaveWay
	}
	return 0, nil
}

// errBodyTooLarge is returned for a body that exceeds its limit.
var errBodyTooLarge = errors.New("body exceeds its limit")

// bodyStatus returns the status for a body that could not be read, or 0 if the connection has failed.
func bodyStatus(err error) int {
	switch {
	case errors.Is(err, errGaveWay):
		return http.StatusServiceUnavailable
	case errors.Is(err, errOverBudget):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	case errors.Is(err, io.ErrUnexpectedEOF), isNetError(err):
		return 0
	}
	return http.StatusBadRequest
}

// fill reads until b is full. It returns io.EOF at the end of the body.
func fill(r io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var m int
		m, err = r.Read(b[n:])
		n += m
	}
	return n, err
}

// addPart appends a part to the body.
func (c *Call) addPart(part []byte) {
	switch {
	case len(part) == 0:
	case c.Body == nil:
		c.Body = part
	default:
		c.More = append(c.More, part)
	}
}

// Take takes n bytes of the memory for bodies for the request or its answer, until the handler returns, and
// waits for them if need be. It returns an error if the request has to give way; one that was passed on does not.
func (c *Call) Take(n int64) error {
	t := c.conn.server.timer
	switch c.memory.Await(n, t.Now, t.Wait) {
	case bodybudget.Refused:
		return errGaveWay
	case bodybudget.TooLarge:
		return errOverBudget
	}
	return nil
}

// release ends the request for the budget. The body must not be used any more.
func (c *Call) release() {
	c.Body, c.More = nil, nil
	c.memory.Release()
}

// Give returns n bytes that Take took.
func (c *Call) Give(n int64) { c.memory.Give(n) }

// giveWay makes the request in progress end because others need its memory. The budget calls it.
func (c *connection) giveWay(writing bool) {
	if writing {
		_ = c.SetWriteDeadline(past) // fails only on a closed connection
		return
	}
	c.stopReading()
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// stopReading makes reading from the connection fail.
func (c *connection) stopReading() {
	_ = c.SetReadDeadline(past) // fails only on a closed connection
}

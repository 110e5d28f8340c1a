// Package statusline checks the statuses of HTTP/1 answers that fasthttp reads.
//
// HTTP defines statuses from 100 to 599 (RFC 9110, 15). What comes with another one is no answer: the request
// may have run, and nothing more on the connection belongs to it. fasthttp takes such statuses for answers, and
// reports status 000 as 200, so the status line is checked before fasthttp reads it.
package statusline

import (
	"bufio"
	"bytes"
	"slices"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
)

const (
	statusLength = 3   // digits
	maxPrefix    = 64  // bytes before the status; fasthttp ignores empty lines and repeated spaces among them
	maxInterim   = 100 // interim answers before one answer, as in fasthttp
)

// SkipInterim reads the heads of interim answers and checks the status line of the answer that follows them,
// whose head is left unread. h is used for reading. It returns an error if a status is outside 100 to 599 or if
// reading fails. Other faults of a status line are left to be found by fasthttp.
func SkipInterim(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxInterim + 1 {
		status, err := peek(r)
		if err != nil {
			return err
		}
		if !isInterim(status) {
			return nil
		}
		if err := h.Read(r); err != nil {
			return err
		}
	}
	return errs.New("more than %d interim answers", maxInterim)
}

// isInterim reports whether another answer follows. None does after 101, which changes the protocol.
func isInterim(status []byte) bool {
	return len(status) > 0 && status[0] == '1' && string(status) != "101"
}

// peek returns the status of the next answer, which is valid until the next read, or nil if its first line has
// none. It reads no byte more than needed, as more may only come after another request.
func peek(r *bufio.Reader) ([]byte, error) {
	for n := 1; n <= maxPrefix+statusLength; n++ {
		b, err := r.Peek(n)
		if err != nil {
			return nil, err
		}
		line := bytes.TrimLeft(b, "\r\n")
		_, rest, _ := bytes.Cut(line, []byte(" "))
		switch rest = bytes.TrimLeft(rest, " "); {
		case bytes.IndexByte(line, '\n') >= 0:
			return nil, nil
		case len(rest) == statusLength && !valid(rest):
			return nil, errs.New("status %q is outside 100 to 599", rest)
		case len(rest) == statusLength:
			return rest, nil
		}
	}
	return nil, errs.New("no status in the first %d bytes", maxPrefix+statusLength)
}

func valid(status []byte) bool {
	isNoDigit := func(c byte) bool { return c < '0' || c > '9' }
	return !slices.ContainsFunc(status, isNoDigit) && status[0] >= '1' && status[0] <= '5'
}

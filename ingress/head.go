package ingress

import (
	"bytes"
	"net"

	"crocuslug/directory"
	"crocuslug/framing"
)

// Memory of a head in bytes. Each field takes a place in a map and a string for its name, value and list of
// values; a field of five bytes takes 103.
const (
	fieldCost = 128
	leastLine = 5       // bytes of a line with a field, in a head with as many as possible
	freeHead  = 8 << 10 // for which no memory is taken; it has room for the head of an ordinary request
	headStep  = 16 << 10
)

// largestHead returns the memory of the largest head within the limits.
func largestHead(limits directory.Limits) int64 {
	n := int64(limits.HeaderBytes) + headSlack
	return n + n/leastLine*fieldCost + headStep
}

// headReader reads from the connection of a caller. While the head of a request is read, it takes memory for it and
// looks at its framing.
type headReader struct {
	net.Conn
	call  *Call // whose head is being read; nil if there is none
	cost  int64 // of the head up to now
	taken int64
	err   error // of counting what was read before

	framing framing.Scanner
}

// begin begins the head of a request, of which b was read already.
func (h *headReader) begin(c *Call, b []byte) {
	h.call, h.cost, h.taken = c, 0, freeHead
	h.framing.Reset(false)
	h.framing.Scan(b)
	h.err = h.count(b)
}

// end ends the head.
func (h *headReader) end() { h.call = nil }

// Read reads from the connection. It returns an error of Call.Take if there is no memory for the head.
func (h *headReader) Read(b []byte) (int, error) {
	if h.err != nil {
		return 0, h.err
	}
	n, err := h.Conn.Read(b)
	if h.call != nil && n > 0 {
		h.framing.Scan(b[:n])
		if err := h.count(b[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// count takes memory for a part of the head, up to its end if that is in b.
func (h *headReader) count(b []byte) error {
	if i := bytes.Index(b, []byte("\r\n\r\n")); i >= 0 {
		b = b[:i]
	}
	h.cost += int64(len(b)) + fieldCost*int64(bytes.Count(b, []byte("\n")))
	for h.taken < h.cost {
		if err := h.call.Take(headStep); err != nil {
			return err
		}
		h.taken += headStep
	}
	return nil
}

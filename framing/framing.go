// Package framing finds what leaves in doubt where an HTTP/1 request ends. Parsers that are lenient there read as the
// next request what the caller sent as a body, or the reverse (RFC 9112, 11.2).
package framing

import (
	"bytes"
	"errors"
	"strings"
)

// Reasons for which the framing of a request is in doubt.
var (
	ErrLengthAndCoding = errors.New("head has both Content-Length and Transfer-Encoding")
	ErrCoding          = errors.New("head has another Transfer-Encoding than chunked, or is of HTTP/1.0")
	ErrFieldName       = errors.New("head has a field with whitespace in its name or before its colon")
	ErrFolded          = errors.New("head has a folded line")
)

// Fields that decide on the framing, and the one coding that is known.
const (
	lengthField = "Content-Length"
	codingField = "Transfer-Encoding"
	chunked     = "chunked"
)

// maxKept is the number of bytes of a field's name or value that are kept; longer ones do not concern the framing.
const maxKept = 32

// Scanner looks at the head of one request as it arrives. It ends lines where net/textproto does. The zero value
// expects a request line.
type Scanner struct {
	inFields bool   // the request line has ended
	inValue  bool   // the name of the present field has ended
	ended    bool   // the head has ended
	name     []byte // of the present field, up to maxKept bytes
	value    []byte // likewise

	length, coding bool
	err            error // of a single field; the first one
}

// Reset expects a new head. With inFields it begins with its first field, otherwise with the request line.
func (s *Scanner) Reset(inFields bool) {
	*s = Scanner{inFields: inFields, name: s.name[:0], value: s.value[:0]}
}

// Scan looks at the next bytes of the connection. Those behind the head are ignored.
func (s *Scanner) Scan(b []byte) {
	for len(b) > 0 && !s.ended {
		part, rest, whole := bytes.Cut(b, []byte("\n"))
		s.scanPart(part)
		if whole {
			s.endLine()
		}
		b = rest
	}
}

// scanPart looks at a part of a line without its end.
func (s *Scanner) scanPart(b []byte) {
	if !s.inFields || len(b) == 0 {
		return
	}
	if s.inValue {
		s.value = keep(s.value, b)
		return
	}
	name, value, found := bytes.Cut(b, []byte(":"))
	if i := bytes.IndexAny(name, " \t"); i >= 0 {
		err := ErrFieldName
		if i == 0 && len(s.name) == 0 {
			err = ErrFolded
		}
		s.fail(err)
	}
	s.name = keep(s.name, name)
	s.value = keep(s.value, value)
	s.inValue = found
}

// keep appends b to kept, up to maxKept bytes.
func keep(kept, b []byte) []byte {
	return append(kept, b[:min(len(b), maxKept-len(kept))]...)
}

// endLine ends the present line.
func (s *Scanner) endLine() {
	switch {
	case !s.inFields:
		s.inFields = true
	case !s.inValue && (len(s.name) == 0 || string(s.name) == "\r"):
		s.ended = true
	case strings.EqualFold(string(s.name), lengthField):
		s.length = true
	case strings.EqualFold(string(s.name), codingField):
		if s.coding || !strings.EqualFold(strings.TrimSpace(string(s.value)), chunked) {
			s.fail(ErrCoding)
		}
		s.coding = true
	}
	s.name, s.value, s.inValue = s.name[:0], s.value[:0], false
}

func (s *Scanner) fail(err error) {
	if s.err == nil {
		s.err = err
	}
}

// Err returns why the framing is in doubt, or nil. It is called once the head has ended; http11 tells whether its
// version is HTTP/1.1.
func (s *Scanner) Err(http11 bool) error {
	switch {
	case s.length && s.coding:
		return ErrLengthAndCoding
	case s.err == nil && s.coding && !http11:
		return ErrCoding
	}
	return s.err
}

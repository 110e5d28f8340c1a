// Package pieces cuts an event stream into its events, whole ones only.
//
// A stream that goes on at another upstream after a loss must go on after a
// whole event: what an upstream wrote of an event before it died belongs to
// nobody. So the reader gives out an event only when its end has come, with the
// number in its id field, by which a continuation is joined to what was sent.
package pieces

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/zeebo/errs"
)

// Piece is one event.
type Piece struct {
	Number uint64 // of its id field
	Has    bool   // it has an id field that is a number
	Raw    []byte // all bytes with the empty line at the end; valid until the next call of Next
}

// Errors of a Reader beside those of the source.
var (
	TooLong = errs.Class("event too long")
	Partial = errs.Class("stream ends inside an event")
)

// maxBytes bounds one event.
const maxBytes = 1 << 20

// Reader reads the events of one stream.
type Reader struct {
	br  *bufio.Reader
	raw []byte
}

// New returns a reader of the events in r.
func New(r io.Reader) *Reader {
	const buffer = 2 << 10 // several events
	return &Reader{br: bufio.NewReaderSize(r, buffer)}
}

// Next returns the next whole event. It returns io.EOF at the end of the
// stream, and an error of class Partial if that is inside an event.
func (r *Reader) Next() (Piece, error) {
	r.raw = r.raw[:0]
	var p Piece
	for {
		start := len(r.raw)
		if err := r.line(); err != nil {
			if err == io.EOF && len(r.raw) > 0 {
				return Piece{}, Partial.New("%d bytes are left", len(r.raw))
			}
			return Piece{}, err
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) == 0 {
			if start == 0 {
				r.raw = r.raw[:0] // an empty line before an event
				continue
			}
			p.Raw = r.raw
			return p, nil
		}
		if value, ok := field(line, "id"); ok {
			n, err := strconv.ParseUint(string(value), 10, 64)
			p.Number, p.Has = n, err == nil
		}
	}
}

// line appends one line with its end to raw.
func (r *Reader) line() error {
	for {
		part, err := r.br.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > maxBytes {
			return TooLong.New("more than %d bytes", maxBytes)
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// field returns the value of a line of the named field.
func field(line []byte, name string) ([]byte, bool) {
	value, ok := bytes.CutPrefix(line, []byte(name+":"))
	if !ok {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}

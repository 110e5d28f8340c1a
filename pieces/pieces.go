// Package pieces splits a stream of server-sent events into whole events.
//
// A stream that is resumed at another upstream must be resumed after a whole event, so a
// partial event written by an upstream before it crashed must be discarded. The Reader
// returns an event only after its end has arrived, together with the number in its id field,
// which shows where a resumed stream continues.
package pieces

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/zeebo/errs"
)

// Piece is one event of a stream.
type Piece struct {
	Number    uint64 // value of the id field
	HasNumber bool   // there is an id field whose value is a number
	Raw       []byte // all bytes, including the empty line at the end; valid until the next call of Next
}

// Error classes of a Reader, besides the errors of its source.
var (
	TooLong = errs.Class("event too long")
	Partial = errs.Class("stream ends inside an event")
)

// maxBytes is the greatest size of an event in bytes.
const maxBytes = 1 << 20

// Reader reads the events of a stream.
type Reader struct {
	br  *bufio.Reader
	raw []byte
}

// New returns a Reader of the events in r.
func New(r io.Reader) *Reader {
	const buffer = 2 << 10 // bytes; several events
	return &Reader{br: bufio.NewReaderSize(r, buffer)}
}

// Next returns the next whole event. It returns io.EOF at the end of the stream, an error of
// class Partial if the stream ends inside an event, and one of class TooLong if an event
// exceeds the greatest size.
func (r *Reader) Next() (Piece, error) {
	r.raw = r.raw[:0]
	var p Piece
	for {
		start := len(r.raw)
		if err := r.readLine(); err != nil {
			if err == io.EOF && len(r.raw) > 0 {
				return Piece{}, Partial.New("%d bytes of an incomplete event", len(r.raw))
			}
			return Piece{}, err
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) == 0 {
			if start == 0 {
				r.raw = r.raw[:0] // empty line before an event
				continue
			}
			p.Raw = r.raw
			return p, nil
		}
		if value, ok := field(line, "id"); ok {
			n, err := strconv.ParseUint(string(value), 10, 64)
			p.Number, p.HasNumber = n, err == nil
		}
	}
}

// readLine appends one line, including its end, to r.raw.
func (r *Reader) readLine() error {
	for {
		part, err := r.br.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > maxBytes {
			return TooLong.New("event exceeds %d bytes", maxBytes)
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// field returns the value of a line and true if the line is of the named field.
func field(line []byte, name string) ([]byte, bool) {
	value, ok := bytes.CutPrefix(line, []byte(name+":"))
	if !ok {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}

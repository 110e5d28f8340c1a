// Package pieces splits a stream of server-sent events into whole events.
//
// A stream that is resumed at another upstream must be resumed after a whole event, so a
// partial event written by an upstream before it crashed must be discarded. The Reader
// returns an event only after its end has arrived, together with the number in its id field,
// which shows where a resumed stream continues.
//
// The numbers of the events of an answer increase. An upstream in trouble may send other bytes
// without end, so NextNew holds back events without a number until one with a new number
// follows, and bounds their size. It discards events with a number that was passed. Events without a
// number may hold the fields of the protocol only: other lines are the text of a failure, which an
// upstream in trouble writes in the place of events.
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
	TooLong    = errs.Class("event too long")
	Partial    = errs.Class("stream ends inside an event")
	NoProgress = errs.Class("stream without progress")
	NoEvent    = errs.Class("no event")
)

// maxBytes is the greatest size of an event in bytes.
const maxBytes = 1 << 20

// maxOther is the number of bytes that may come between two events with increasing numbers.
const maxOther = 64 << 10

// Reader reads the events of a stream.
type Reader struct {
	// Reserve, if it is set, is called before the Reader takes n bytes of memory more for a long
	// event. If it returns an error, so does the Reader.
	Reserve func(n int64) error

	br       *bufio.Reader
	raw      []byte // bytes of the next piece
	numbered bool   // NextNew has returned an event with a number
	last     uint64 // its number
	reserved int    // bytes passed to Reserve
	other    int    // bytes since that event that belong to no event with a new number
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
	for {
		r.raw = r.raw[:0]
		number, numbered, err := r.readEvent()
		if err != nil {
			return Piece{}, err
		}
		if !r.empty() {
			return Piece{Number: number, HasNumber: numbered, Raw: r.raw}, nil
		}
	}
}

// NextNew returns the next event with a number that is greater than those before it, together
// with the events without a number before it. At the end of the stream it returns those that
// are left, as a piece without a number. Its errors are those of Next, one of class NoProgress if
// too many bytes come that belong to no event with a new number, and one of class NoEvent if a line
// outside the events with a number is no field of an event.
func (r *Reader) NextNew() (Piece, error) {
	r.raw = r.raw[:0]
	for {
		start := len(r.raw)
		number, numbered, err := r.readEvent()
		if err == io.EOF && start > 0 {
			return Piece{Raw: r.raw}, nil
		}
		if err != nil {
			return Piece{}, err
		}
		if line := foreignLine(r.raw[start:]); !numbered && line != nil {
			return Piece{}, NoEvent.New("line %.200q is no field of an event", line)
		}
		if numbered && (!r.numbered || number > r.last) {
			r.numbered, r.last, r.other = true, number, 0
			return Piece{Number: number, HasNumber: true, Raw: r.raw}, nil
		}
		r.other += len(r.raw) - start
		if r.other > maxOther {
			return Piece{}, NoProgress.New("more than %d bytes since the event with the greatest number", maxOther)
		}
		if numbered || r.empty() {
			r.raw = r.raw[:0]
		}
	}
}

// foreignLine returns a line of raw that is neither empty nor a comment nor a field of an event, or nil.
func foreignLine(raw []byte) []byte {
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "", "event", "data", "id", "retry":
		default:
			return line
		}
	}
	return nil
}

// empty reports whether there are only empty lines.
func (r *Reader) empty() bool { return len(bytes.Trim(r.raw, "\r\n")) == 0 }

// readEvent appends the next event, or an empty line, to r.raw and returns the number of the event.
func (r *Reader) readEvent() (number uint64, numbered bool, err error) {
	first := len(r.raw)
	for {
		start := len(r.raw)
		if err := r.readLine(first); err != nil {
			if err == io.EOF && len(r.raw) > first {
				err = Partial.New("%d bytes of an incomplete event", len(r.raw)-first)
			}
			return 0, false, err
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) == 0 {
			return number, numbered, nil
		}
		if value, ok := field(line, "id"); ok {
			number, err = strconv.ParseUint(string(value), 10, 64)
			numbered = err == nil
		}
	}
}

// readLine appends one line, including its end, to r.raw. The event of the line begins at first.
func (r *Reader) readLine(first int) error {
	for {
		part, err := r.br.ReadSlice('\n')
		if err := r.grow(len(part)); err != nil {
			return err
		}
		r.raw = append(r.raw, part...)
		if len(r.raw)-first > maxBytes {
			return TooLong.New("event exceeds %d bytes", maxBytes)
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// freeBytes is the size of an event in bytes up to which its memory is not reserved.
const freeBytes = 4 << 10

// grow makes room for n bytes more in r.raw.
func (r *Reader) grow(n int) error {
	if len(r.raw)+n <= cap(r.raw) {
		return nil
	}
	const least = 256 // bytes; most events
	size := max(least, 2*cap(r.raw), len(r.raw)+n)
	if r.Reserve != nil && size > freeBytes {
		if err := r.Reserve(int64(size - r.reserved)); err != nil {
			return err
		}
		r.reserved = size
	}
	raw := make([]byte, len(r.raw), size)
	copy(raw, r.raw)
	r.raw = raw
	return nil
}

// field returns the value of a line and true if the line is of the named field.
func field(line []byte, name string) ([]byte, bool) {
	value, ok := bytes.CutPrefix(line, []byte(name+":"))
	if !ok {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}

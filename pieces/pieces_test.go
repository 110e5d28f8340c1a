package pieces

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/zeebo/errs"
)

func TestNext(t *testing.T) {
	tests := []struct {
		name, in string
		want     []Piece
		err      error // io.EOF, or errPartial
	}{
		{"empty", "", nil, io.EOF},
		{"two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []Piece{{1, true, []byte("id: 1\ndata: a\n\n")}, {2, true, []byte("id: 2\ndata: b\n\n")}}, io.EOF},
		{"no space, CRLF line ends", "id:7\r\ndata: a\r\n\r\n", []Piece{{7, true, []byte("id:7\r\ndata: a\r\n\r\n")}}, io.EOF},
		{"without id", "data: a\n\n", []Piece{{0, false, []byte("data: a\n\n")}}, io.EOF},
		{"id that is not a number", "id: x\ndata: a\n\n", []Piece{{0, false, []byte("id: x\ndata: a\n\n")}}, io.EOF},
		{"empty lines between", "\n\nid: 1\ndata: a\n\n\n", []Piece{{1, true, []byte("id: 1\ndata: a\n\n")}}, io.EOF},
		{"ends inside a line", "id: 1\ndata: a\n\nid: 2\nda", []Piece{{1, true, []byte("id: 1\ndata: a\n\n")}}, errPartial},
		{"ends before the empty line", "id: 1\ndata: a\n", nil, errPartial},
	}
	for _, tc := range tests {
		for _, source := range []io.Reader{strings.NewReader(tc.in), iotest.OneByteReader(strings.NewReader(tc.in))} {
			r := New(source)
			for i, want := range tc.want {
				got, err := r.Next()
				if err != nil || got.Number != want.Number || got.HasNumber != want.HasNumber || string(got.Raw) != string(want.Raw) {
					t.Errorf("%s: piece %d: got %+v, %v, want %+v", tc.name, i, got, err, want)
				}
			}
			_, err := r.Next()
			if tc.err == errPartial && !Partial.Has(err) || tc.err == io.EOF && err != io.EOF {
				t.Errorf("%s: end: got %v, want %v", tc.name, err, tc.err)
			}
		}
	}
}

var errPartial = errors.New("partial")

func TestTooLong(t *testing.T) {
	r := New(strings.NewReader("data: " + strings.Repeat("a", maxBytes) + "\n\n"))
	if _, err := r.Next(); !TooLong.Has(err) {
		t.Errorf("got %v, want an error of class %v", err, TooLong)
	}
}

// TestNextNew checks that only events with a new number are returned, with the others before them.
func TestNextNew(t *testing.T) {
	tests := []struct {
		name, in string
		want     []Piece
		err      error // io.EOF, or errPartial
	}{
		{"new numbers", "id: 1\n\n\nid: 3\n\n", []Piece{{1, true, []byte("id: 1\n\n")}, {3, true, []byte("id: 3\n\n")}}, io.EOF},
		{"numbers that were passed", "id: 2\n\nid: 2\n\nid: 1\n\nid: 3\n\n", []Piece{{2, true, []byte("id: 2\n\n")}, {3, true, []byte("id: 3\n\n")}}, io.EOF},
		{"comments", ": a\n\n: b\n\nid: 0\n\n: c\n\n", []Piece{{0, true, []byte(": a\n\n: b\n\nid: 0\n\n")}, {0, false, []byte(": c\n\n")}}, io.EOF},
		{"comments and an incomplete event", "id: 1\n\n: a\n\nid: 2\n", []Piece{{1, true, []byte("id: 1\n\n")}}, errPartial},
	}
	for _, tc := range tests {
		r := New(strings.NewReader(tc.in))
		for i, want := range tc.want {
			got, err := r.NextNew()
			if err != nil || got.Number != want.Number || got.HasNumber != want.HasNumber || string(got.Raw) != string(want.Raw) {
				t.Errorf("%s: piece %d: got %+v, %v, want %+v", tc.name, i, got, err, want)
			}
		}
		_, err := r.NextNew()
		if tc.err == errPartial && !Partial.Has(err) || tc.err == io.EOF && err != io.EOF {
			t.Errorf("%s: end: got %v, want %v", tc.name, err, tc.err)
		}
	}
}

// TestFailureText guards against the text of a failure being passed on as a part of a stream: only events
// with a number may hold other lines than the fields of the protocol.
func TestFailureText(t *testing.T) {
	tests := []struct {
		name, text string
		foreign    bool
	}{
		{"line", "Internal Server Error\n\n", true},
		{"head", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", true},
		{"other field", "error: failed\n\n", true},
		{"text in an event", "data: a\nfailed\n\n", true},
		{"JSON", "{\"error\":1}\n\n", true},
		{"data", "data: [DONE]\n\n", false},
		{"all fields", "event: a\ndata\nretry: 5\nid: x\n: comment\n\n", false},
		{"event with a number", "version: 4\nid: 2\ndata: a\n\n", false},
	}
	for _, tc := range tests {
		r := New(strings.NewReader("id: 1\n\n" + tc.text))
		if p, err := r.NextNew(); err != nil || p.Number != 1 {
			t.Errorf("%s: first piece: got %+v, %v", tc.name, p, err)
		}
		p, err := r.NextNew()
		if got := NoEvent.Has(err); got != tc.foreign || !tc.foreign && string(p.Raw) != tc.text {
			t.Errorf("%s: got %q, %v, want an error of class %v: %t", tc.name, p.Raw, err, NoEvent, tc.foreign)
		}
	}
}

// endless repeats a text without end.
type endless struct {
	text string
	at   int
}

// Read fills p.
func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = e.text[e.at]
		e.at = (e.at + 1) % len(e.text)
	}
	return len(p), nil
}

// TestEndless guards against streams that go on as long as bytes come that are no events of an
// answer, and against passing these on.
func TestEndless(t *testing.T) {
	tests := []struct {
		name, text string
		class      *errs.Class
	}{
		{"bytes", "x", &TooLong},
		{"lines", "data: x\n", &TooLong},
		{"empty lines", "\n", &NoProgress},
		{"empty lines, CRLF", "\r\n", &NoProgress},
		{"comments", ": x\n\n", &NoProgress},
		{"events without a number", "data: x\n\n", &NoProgress},
		{"ids that are no numbers", "id: x\ndata: x\n\n", &NoProgress},
		{"one number", "id: 3\ndata: x\n\n", &NoProgress},
		{"numbers that were passed", "id: 1\n\nid: 2\n\n", &NoProgress},
		{"event that is long but not too long", "data: " + strings.Repeat("x", maxBytes-100) + "\n\n", &NoProgress},
	}
	for _, tc := range tests {
		r := New(io.MultiReader(strings.NewReader("id: 3\ndata: a\n\n"), &endless{text: tc.text}))
		if p, err := r.NextNew(); err != nil || p.Number != 3 {
			t.Errorf("%s: first piece: got %+v, %v", tc.name, p, err)
		}
		if p, err := r.NextNew(); !tc.class.Has(err) {
			t.Errorf("%s: got %.80q, %v, want an error of class %v", tc.name, p.Raw, err, *tc.class)
		}
	}
}

// TestReserve guards against long events of many streams at once that take memory uncounted.
func TestReserve(t *testing.T) {
	const limit, small = 100 << 10, "id: 1\ndata: a\n\n"
	var reserved int64
	r := New(io.MultiReader(strings.NewReader(small), &endless{text: "x"}))
	r.Reserve = func(n int64) error {
		if reserved+n > limit {
			return errFull
		}
		reserved += n
		return nil
	}
	if _, err := r.NextNew(); err != nil || reserved != 0 {
		t.Errorf("small event: got %v and %d bytes reserved, want 0", err, reserved)
	}
	if _, err := r.NextNew(); err != errFull {
		t.Errorf("long event: got %v, want %v", err, errFull)
	}
	if got := int64(cap(r.raw)); got > reserved || reserved == 0 {
		t.Errorf("memory: got %d bytes, %d reserved", got, reserved)
	}
}

var errFull = errors.New("full")

// TestOtherBytesBetweenEvents checks that the bound on other bytes applies between two events, not
// to the whole stream.
func TestOtherBytesBetweenEvents(t *testing.T) {
	comment := ": " + strings.Repeat("x", maxOther-100) + "\n\n"
	var in strings.Builder
	const events = 5
	for i := range events {
		in.WriteString(comment + "id: " + strconv.Itoa(i) + "\n\n")
	}
	r, got := New(strings.NewReader(in.String())), 0
	for {
		p, err := r.NextNew()
		if err != nil {
			if err != io.EOF {
				t.Errorf("got %v, want EOF", err)
			}
			break
		}
		if p.HasNumber {
			got++
		}
	}
	if got != events {
		t.Errorf("events: got %d, want %d", got, events)
	}
}

// FuzzNext checks that pieces are whole events that occur in the input in order.
func FuzzNext(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n")
	f.Add("\r\n\nid:3\r\n\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		r := New(strings.NewReader(in))
		rest := in
		for {
			p, err := r.Next()
			if err != nil {
				return
			}
			at := strings.Index(rest, string(p.Raw))
			if at < 0 {
				t.Fatalf("got %q, which is not in %q", p.Raw, rest)
			}
			rest = rest[at+len(p.Raw):]
		}
	})
}

// FuzzNextNew checks that pieces are parts of the input in order, with increasing numbers.
func FuzzNextNew(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n: b\n\nid: 1\n\nid: 2\n\n: c\n\n")
	f.Fuzz(func(t *testing.T, in string) {
		r := New(strings.NewReader(in))
		rest, last, numbered := in, uint64(0), false
		for {
			p, err := r.NextNew()
			if err != nil {
				return
			}
			at := strings.Index(rest, string(p.Raw))
			if at < 0 {
				t.Fatalf("got %q, which is not in %q", p.Raw, rest)
			}
			rest = rest[at+len(p.Raw):]
			if p.HasNumber && numbered && p.Number <= last {
				t.Fatalf("got number %d after %d", p.Number, last)
			}
			last, numbered = p.Number, numbered || p.HasNumber
		}
	})
}

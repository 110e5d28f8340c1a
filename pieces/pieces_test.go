package pieces

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
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

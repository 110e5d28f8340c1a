package statusline

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
)

// TestSkipInterim guards against invalid statuses that are taken for answers or skipped as interim ones, also
// after interim answers and behind bytes that fasthttp ignores, and against valid answers that are refused.
func TestSkipInterim(t *testing.T) {
	const (
		interim = "HTTP/1.1 100 Continue\r\n\r\n"
		final   = "HTTP/1.1 200 OK\r\n"
	)
	tests := []struct {
		name, bytes string
		want        string // what is left to read, or "error"
	}{
		{"answer", final, final},
		{"answer without a reason", "HTTP/1.1 200\r\n", "HTTP/1.1 200\r\n"},
		{"least", "HTTP/1.1 101 X\r\n", "HTTP/1.1 101 X\r\n"},
		{"greatest", "HTTP/1.1 599 X\r\n", "HTTP/1.1 599 X\r\n"},
		{"interim answers", interim + "HTTP/1.1 199 X\r\nA: b\r\n\r\n" + final, final},
		{"too many interim answers", strings.Repeat(interim, maxInterim+1) + final, "error"},
		{"most interim answers", strings.Repeat(interim, maxInterim) + final, final},
		{"000", "HTTP/1.1 000 X\r\n", "error"},
		{"042", "HTTP/1.1 042 X\r\n", "error"},
		{"099", "HTTP/1.1 099 X\r\n", "error"},
		{"600", "HTTP/1.1 600 X\r\n", "error"},
		{"999", "HTTP/1.1 999 X\r\n", "error"},
		{"after an interim answer", interim + "HTTP/1.1 000 X\r\n", "error"},
		{"behind empty lines", "\r\n\n\r\nHTTP/1.1 000 X\r\n", "error"},
		{"behind spaces", "HTTP/1.1    000 X\r\n", "error"},
		{"behind many empty lines", strings.Repeat("\r\n", maxPrefix) + "HTTP/1.1 000 X\r\n", "error"},
		{"behind many spaces", "HTTP/1.1 " + strings.Repeat(" ", maxPrefix) + "000 X\r\n", "error"},
		{"no digits", "HTTP/1.1 2x0 X\r\n", "error"},
		{"two digits", "HTTP/1.1 20\r\n\r\n", "error"},
		{"short line", "x\r\n", "x\r\n"},
		{"end", "HTTP/1.", "error"},
	}
	for _, tc := range tests {
		for _, r := range []io.Reader{strings.NewReader(tc.bytes), iotest.OneByteReader(strings.NewReader(tc.bytes))} {
			br := bufio.NewReader(r)
			got := "error"
			if err := SkipInterim(br, new(fasthttp.ResponseHeader)); err == nil {
				rest, _ := io.ReadAll(br)
				got = string(rest)
			}
			if got != tc.want {
				t.Errorf("%s: got %q, want %q", tc.name, got, tc.want)
			}
		}
	}
}

// TestReadNoMore guards against a wait for bytes behind the status, which an answer need not have yet.
func TestReadNoMore(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 200", "x\n"} {
		blocked := errors.New("read on")
		r := bufio.NewReader(io.MultiReader(strings.NewReader(line), iotest.ErrReader(blocked)))
		if err := SkipInterim(r, new(fasthttp.ResponseHeader)); err != nil {
			t.Errorf("%q: got %v, want no further read", line, err)
		}
	}
}

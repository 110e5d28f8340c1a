package framing

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
)

// TestHeads guards against heads with doubtful framing that neither the parser nor Scanner refuses, and against a
// result that depends on the parts in which a head arrives.
func TestHeads(t *testing.T) {
	a, err := txtar.ParseFile("testdata/heads.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range a.Files {
		t.Run(f.Name, func(t *testing.T) {
			want, _, _ := strings.Cut(f.Name, "/")
			version := "1.1"
			if strings.HasSuffix(f.Name, "-10") {
				version = "1.0"
			}
			fields := strings.ReplaceAll(strings.ReplaceAll(string(f.Data), "@n@", "9"), "\n", "\r\n")
			text := []byte("POST /outer HTTP/" + version + "\r\nHost: h\r\n" + fields + "\r\n0\r\n\r\nX: y\r\n a : b\r\n")
			req, parseErr := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
			http11 := parseErr == nil && req.ProtoAtLeast(1, 1)
			var whole Scanner
			whole.Scan(text)
			if got := verdict(parseErr, whole.Err(http11)); got != want {
				t.Errorf("got %s (%v, %v), want %s", got, parseErr, whole.Err(http11), want)
			}
			var s Scanner
			for i := range text {
				s.Reset(false)
				s.Scan(text[:i])
				s.Scan(text[i:])
				if got, want := s.Err(http11), whole.Err(http11); got != want {
					t.Errorf("in two parts at byte %d: got %v, want %v", i, got, want)
				}
			}
			s.Reset(true)
			_, behind, _ := bytes.Cut(text, []byte("\n"))
			for i := range behind {
				s.Scan(behind[i : i+1])
			}
			if got, want := s.Err(http11), whole.Err(http11); got != want {
				t.Errorf("byte by byte from the first field: got %v, want %v", got, want)
			}
		})
	}
}

func verdict(errs ...error) string {
	for _, err := range errs {
		if err != nil {
			return "doubt"
		}
	}
	return "sound"
}

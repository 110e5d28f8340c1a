package telemetry

import (
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"crocuslug/settings"
)

// TestLogLine checks that each event is one line of key=value pairs with keys in
// Pascal case, also if values contain line breaks, spaces or equals signs.
func TestLogLine(t *testing.T) {
	var out strings.Builder
	log := NewLog(&out, "").With().Str("Instance", "a").Logger()
	log.Debug().Msg("not printed")
	log.Warn().Str("Request", "r 1").Int("Attempt", 2).Str("Detail", "two\nlines\x00 a=b").Err(errors.New("it\nbroke")).
		Msg("generation\nended")
	got := regexp.MustCompile(`^Time=\S+ `).ReplaceAllString(out.String(), "")
	want := `Level=warn Event="generation\nended" Error="it\nbroke" Attempt=2 Detail="two\nlines\x00 a=b" Instance=a Request="r 1"` + "\n"
	if got != want {
		t.Errorf("line: got\n%swant\n%s", got, want)
	}
}

// TestSpansToFile checks that spans are written to the file with their trace id,
// and that a file that cannot be opened gives an error.
func TestSpansToFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans")
	tr, err := New(settings.Trace{File: file, Share: 1}, "a")
	if err != nil {
		t.Fatal(err)
	}
	_, span := tr.Tracer.Start(t.Context(), "caller request")
	span.End()
	tr.Stop()
	b, err := os.ReadFile(file)
	if err != nil || !strings.Contains(string(b), "caller request") || !strings.Contains(string(b), span.SpanContext().TraceID().String()) {
		t.Errorf("file: got %q, %v, want the span", b, err)
	}
	if _, err := New(settings.Trace{File: filepath.Join(file, "none")}, "a"); err == nil {
		t.Error("file that cannot be opened: got no error, want one")
	}
}

package explain

import (
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
)

// TestReports compares the reports on the requests named at the head of
// testdata/*.txtar with the wanted ones. The log lines come from simulated days;
// some are malformed or cut off.
func TestReports(t *testing.T) {
	names, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(names) == 0 {
		t.Fatalf("testdata: got %v, %v, want at least one file", names, err)
	}
	for _, name := range names {
		a, err := txtar.ParseFile(name)
		if err != nil {
			t.Fatal(err)
		}
		files := map[string]string{}
		for _, f := range a.Files {
			files[f.Name] = string(f.Data)
		}
		s := New(strings.TrimSpace(string(a.Comment)))
		if err := s.Read(strings.NewReader(files["log"]), "log"); err != nil {
			t.Fatal(err)
		}
		var got strings.Builder
		if err := s.Write(&got); err != nil {
			t.Fatal(err)
		}
		if got.String() != files["want"] {
			t.Errorf("%s: got:\n%s\nwant:\n%s", name, got.String(), files["want"])
		}
	}
}

func TestParse(t *testing.T) {
	tests := []struct {
		name, text string
		ok         bool
		event, key string // key is the value of the field X
	}{
		{"plain", `Time=2026-05-11T10:58:29.024180Z Level=info Event=answered X=1`, true, "answered", "1"},
		{"quoted", `Time=2026-05-11T10:58:29.024180Z Level=info Event="stream sent" X="a \"b\" c" Y=2`, true, "stream sent", `a "b" c`},
		{"prefix", `  12.1 front-1 Time=2026-05-11T10:58:29.024180Z Event=answered X=`, true, "answered", ""},
		{"no time", `Level=info Event=answered`, false, "", ""},
		{"cut in a quote", `Time=2026-05-11T10:58:29.024180Z Event="stream s`, false, "", ""},
		{"cut in a name", `Time=2026-05-11T10:58:29.024180Z Event=answered Upst`, false, "", ""},
		{"cut in the time", `Time=2026-05-11T10:58`, false, "", ""},
		{"empty", ``, false, "", ""},
	}
	for _, tc := range tests {
		l, ok := parseLine(tc.text, "log")
		if ok != tc.ok || l.event != tc.event || l.fields["X"] != tc.key {
			t.Errorf("%s: got %+v, %v, want event %q, X %q, %v", tc.name, l, ok, tc.event, tc.key, tc.ok)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(`Time=2026-05-11T10:58:29.024180Z Level=info Event="stream sent" X="a \"b\" c"`)
	f.Add(`Time="`)
	f.Fuzz(func(t *testing.T, text string) {
		if l, ok := parseLine(text, "log"); ok && (l.event == "" || l.at.IsZero()) {
			t.Errorf("%q: got a line without time or event", text)
		}
	})
}

// TestReportWithoutLines checks that the report says so if no line names the
// request.
func TestReportWithoutLines(t *testing.T) {
	var got strings.Builder
	if err := New("r1").Write(&got); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(got.String(), "missing: no line names the request") {
		t.Errorf("got %s", got.String())
	}
}

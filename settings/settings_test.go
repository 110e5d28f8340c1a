package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"

	"crocuslug/unit"
)

// TestParseReportsAllProblems compares the problems of the files in testdata
// with the wanted ones: all are reported together and none contains the value
// of a secret.
func TestParseReportsAllProblems(t *testing.T) {
	a, err := txtar.ParseFile("testdata/refused.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(a.Files); i += 2 {
		in, want := a.Files[i], string(a.Files[i+1].Data)
		t.Run(in.Name, func(t *testing.T) {
			_, problems := Parse(in.Data)
			var got strings.Builder
			for _, p := range problems {
				got.WriteString(p.String() + "\n")
			}
			if got.String() != want {
				t.Errorf("problems: got\n%swant\n%s", got.String(), want)
			}
			if strings.Contains(got.String(), "hunter2") {
				t.Errorf("problems: got a secret in\n%s", got.String())
			}
		})
	}
}

// TestRead checks the values read from a valid file, durations and lists
// included, and that a file above the size limit is refused.
func TestRead(t *testing.T) {
	cfg, problems, err := Read("../docs/examples/accra-1.json")
	if err != nil || len(problems) > 0 {
		t.Fatalf("example: got %v, %v, want neither problem nor error", problems, err)
	}
	if cfg.Name != "accra-1" || cfg.Domain != "accra" || cfg.Secret.File == "" {
		t.Errorf("example: got %+v, want its name, failure domain and secret", cfg)
	}
	cfg, _ = Parse([]byte(`{"Leave": "90s", "Peers": [{"Instance": "b"}], "Trace": {"Share": 0.5}, "Limits": {"MaxTokens": 7}}`))
	if cfg.Leave != unit.Duration(90*time.Second) || cfg.Trace.Share != 0.5 || cfg.Limits.MaxTokens != 7 ||
		len(cfg.Peers) != 1 || cfg.Peers[0].Instance != "b" {
		t.Errorf("values: got %+v, want those of the file", cfg)
	}
	big := filepath.Join(t.TempDir(), "big.json")
	if err := os.WriteFile(big, []byte("{}"+strings.Repeat(" ", maxFileBytes)), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, problems, _ = Read(big); len(problems) != 1 || !strings.Contains(problems[0].Text, "at most") {
		t.Errorf("large file: got %v, want one problem with the bound", problems)
	}
}

// pageTypes maps kinds of fields to the names of types on the pages.
var pageTypes = map[reflect.Kind]string{
	reflect.String: "text", reflect.Int: "whole number", reflect.Float64: "number", reflect.Int64: "duration",
	reflect.Bool: "true or false",
}

// paths returns the path and type of each value in a struct.
func paths(t reflect.Type, prefix string, out map[string]string) {
	for i := range t.NumField() {
		f := t.Field(i)
		path := prefix + f.Name
		switch f.Type.Kind() {
		case reflect.Struct:
			paths(f.Type, path+".", out)
		case reflect.Slice:
			if f.Type.Elem().Kind() == reflect.String {
				out[path] = "texts"
				continue
			}
			paths(f.Type.Elem(), path+"[].", out)
		default:
			out[path] = pageTypes[f.Type.Kind()]
			if f.Type == reflect.TypeOf(int64(0)) {
				out[path] = pageTypes[reflect.Int] // unlike a duration, which has a named type
			}
		}
	}
}

// TestPagesListEverySetting checks that the pages on settings have one row for
// each field of the types and no other rows.
func TestPagesListEverySetting(t *testing.T) {
	for page, typ := range map[string]reflect.Type{
		"settings.md":      reflect.TypeOf(Settings{}),
		"edge-settings.md": reflect.TypeOf(Edge{}),
	} {
		t.Run(page, func(t *testing.T) { checkPage(t, page, typ) })
	}
}

func checkPage(t *testing.T, page string, typ reflect.Type) {
	b, err := os.ReadFile("../docs/operators/" + page)
	if err != nil {
		t.Fatal(err)
	}
	want := make(map[string]string)
	paths(typ, "", want)
	for line := range strings.Lines(string(b)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != 4 || !strings.Contains(cells[0], "`") {
			continue
		}
		path, kind := strings.Trim(cells[0], " `"), strings.TrimSpace(cells[1])
		switch w, ok := want[path]; {
		case !ok:
			t.Errorf("page: got a row of %s, want each setting once and nothing else", path)
		case kind != w:
			t.Errorf("page: %s: got type %q, want %q", path, kind, w)
		case strings.TrimSpace(cells[2]) == "" || strings.TrimSpace(cells[3]) == "":
			t.Errorf("page: %s: got an empty cell, want its default and meaning", path)
		}
		delete(want, path)
	}
	for path := range want {
		t.Errorf("page: got no row of %s, want one", path)
	}
}

// FuzzParse checks that settings without reported problems pass check, that
// each problem has a text, and that parsing twice gives the same result.
func FuzzParse(f *testing.F) {
	a, err := txtar.ParseFile("testdata/refused.txtar")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range a.Files {
		f.Add(file.Data)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		cfg, problems := Parse(text)
		again, same := Parse(text)
		if !reflect.DeepEqual(cfg, again) || !reflect.DeepEqual(problems, same) {
			t.Errorf("second parse: got %v, want %v", same, problems)
		}
		for _, p := range problems {
			if p.Text == "" {
				t.Errorf("problem at %q: got no text, want what is allowed", p.Path)
			}
		}
		if remaining := cfg.check(); len(problems) == 0 && len(remaining) > 0 {
			t.Errorf("settings without reported problems: got %v, want no problem", remaining)
		}
	})
}

package intent

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
	"pgregory.net/rapid"

	"crocuslug/configuration"
	"crocuslug/ident"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("got scripts %v, %v, want some", files, err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			a, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			parts := make(map[string][]byte)
			for _, f := range a.Files {
				parts[f.Name] = f.Data
			}
			var base, want configuration.Document
			unmarshal(t, parts["base.json"], &base)
			in, err := Decode(parts["intent.json"])
			if err != nil {
				t.Fatal(err)
			}
			got, problems := Apply(base, in)
			if body, ok := parts["want.json"]; ok {
				unmarshal(t, body, &want)
				if !reflect.DeepEqual(got, configuration.Sorted(want)) || len(problems) > 0 {
					t.Errorf("got %+v, %v, want %+v", got, problems, want)
				}
				return
			}
			comparePaths(t, problems, strings.Split(strings.TrimSpace(string(parts["want.txt"])), "\n"))
		})
	}
}

func comparePaths(t *testing.T, problems []Problem, want []string) {
	var got []string
	for _, p := range problems {
		got = append(got, p.Path)
		if !strings.Contains(p.Text, "allowed") {
			t.Errorf("%s: got %q, want what is allowed", p.Path, p.Text)
		}
		if strings.Contains(p.Text, "secret") {
			t.Errorf("%s: got %q, want no value that may be a secret key", p.Path, p.Text)
		}
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got paths\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func unmarshal(t *testing.T, body []byte, v any) {
	if err := json.Unmarshal(body, v); err != nil {
		t.Fatal(err)
	}
}

func TestDecodeRefusesMalformedBodies(t *testing.T) {
	for _, body := range []string{`{"Sett": {}}`, `{"Set": {"Workspaces": [{"Nam": "x"}]}}`, `{} {}`, `[]`} {
		if _, err := Decode([]byte(body)); err == nil {
			t.Errorf("%s: got no error, want one", body)
		}
	}
}

func TestDocumentOfDesignSizePasses(t *testing.T) {
	var doc configuration.Document
	doc.Services = []configuration.Service{{Name: "s", Kind: configuration.Model}}
	for i := range 7100 {
		doc.Upstreams = append(doc.Upstreams, configuration.Upstream{
			Name: ident.Upstream(fmt.Sprintf("e%d", i)), Service: "s", Address: "10.0.0.1:80", Domain: "A", Models: []string{"m"},
		})
	}
	for i := range 5500 {
		doc.Workspaces = append(doc.Workspaces, configuration.Workspace{
			Name: ident.Workspace(fmt.Sprintf("w%d", i)), KeyHashes: []string{fmt.Sprintf("%064x", i)},
		})
	}
	if got := Check(doc); len(got) > 0 {
		t.Errorf("got %v, want no problem", got)
	}
}

// TestDifference requires that the difference of two documents, merged into the
// earlier one, yields the later one and does not modify the earlier one.
func TestDifference(t *testing.T) {
	draw := func(t *rapid.T, what string) configuration.Document {
		var doc configuration.Document
		for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 8, rapid.ID[int]).Draw(t, what) {
			name := fmt.Sprintf("n%d", i)
			n := rapid.IntRange(0, 2).Draw(t, "value")
			switch rapid.IntRange(0, 3).Draw(t, "part") {
			case 0:
				doc.Workspaces = append(doc.Workspaces, configuration.Workspace{Name: ident.Workspace(name), MaxConcurrent: n})
			case 1:
				doc.Rules = append(doc.Rules, configuration.Rule{Name: name, Once: n == 1})
			case 2:
				doc.Placements = append(doc.Placements, configuration.Placement{Model: name, Copies: n})
			default:
				doc.Operators = append(doc.Operators, configuration.Operator{Name: name})
			}
		}
		return configuration.Sorted(doc)
	}
	rapid.Check(t, func(t *rapid.T) {
		earlier, later := draw(t, "earlier"), draw(t, "later")
		digest := configuration.Digest(earlier)
		if got := Merge(earlier, Difference(earlier, later)); !reflect.DeepEqual(got, later) {
			t.Fatalf("got %+v, want %+v", got, later)
		}
		if got := configuration.Digest(earlier); got != digest {
			t.Error("got a modified base, want it unchanged")
		}
	})
}

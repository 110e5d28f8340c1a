package directory

import (
	"bufio"
	"os"
	"strings"
	"testing"

	"crocuslug/ident"
)

// TestRoutes runs testdata/routes.txt. Each line is "route HOST PREFIX NAME",
// "lookup HOST PATH NAME" with - for no route, or empty.
func TestRoutes(t *testing.T) {
	f, err := os.Open("testdata/routes.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var doc Document
	type lookup struct{ host, path, want string }
	var lookups []lookup
	for sc := bufio.NewScanner(f); sc.Scan(); {
		w := strings.Fields(sc.Text())
		switch {
		case len(w) == 0 || w[0] == "#":
		case w[0] == "route":
			doc.Routes = append(doc.Routes, Route{Host: w[1], Prefix: w[2], Name: w[3]})
		case w[0] == "lookup":
			lookups = append(lookups, lookup{w[1], w[2], w[3]})
		default:
			t.Fatalf("line %q: want route or lookup", sc.Text())
		}
	}
	d := New(doc)
	for _, q := range lookups {
		got := "-"
		if r := d.Route(q.host, q.path); r != nil {
			got = r.Name
		}
		if got != q.want {
			t.Errorf("%s%s: got %s, want %s", q.host, q.path, got, q.want)
		}
	}
}

func TestChoose(t *testing.T) {
	r := Route{Services: []Share{{"a", 90}, {"b", 10}, {"never", 0}}}
	got := map[ident.Service]int{}
	for i := range uint64(1000) {
		got[r.ChooseService(i)]++
	}
	if got["a"] != 900 || got["b"] != 100 || len(got) != 2 {
		t.Errorf("got %v, want 900 of a and 100 of b", got)
	}
	if got := (&Route{}).ChooseService(1); got != "" {
		t.Errorf("no service: got %q, want none", got)
	}
}

func TestWorkspace(t *testing.T) {
	d := New(Document{Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}, {Name: "v", Keys: []string{"k3"}}}})
	for key, want := range map[string]ident.Workspace{"k1": "w", "k2": "w", "k3": "v", "k4": "", "": ""} {
		var got ident.Workspace
		if w := d.Workspace(key); w != nil {
			got = w.Name
		}
		if got != want {
			t.Errorf("key %q: got %q, want %q", key, got, want)
		}
	}
}

func TestRepeatable(t *testing.T) {
	tests := []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Safe}, true},
		{Route{Kind: Unsafe, Resumable: true}, false},
		{Route{Kind: Streaming}, false},
		{Route{Kind: Streaming, Resumable: true}, true},
	}
	for _, tc := range tests {
		if got := tc.route.Repeatable(); got != tc.want {
			t.Errorf("%+v: got %v, want %v", tc.route, got, tc.want)
		}
	}
}

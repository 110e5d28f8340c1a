package builds

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/unit"
)

// TestScripts runs the scripts in testdata/*.txt against the Tracker of one instance, with one service.
// Each line is one of
//
//	at MS
//	upstreams [BUILD ...]            sets the registered upstreams; BUILD! is one that leaves, - one without a build
//	record ORIGIN BUILD AGE_MS       keeps the build of a stream
//	peer SINCE_MS LAST_MS            another instance says that there are or were several builds
//	find ORIGIN known|before BUILD   checks what it says of a stream
//	find ORIGIN nothing
//	several yes|no
//	serving BUILD yes|no
//	report SINCE_MS LAST_MS | report nothing
func TestScripts(t *testing.T) {
	names, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(names) == 0 {
		t.Fatalf("scripts: got %v, %v, want some", names, err)
	}
	for _, name := range names {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) { runScript(t, name) })
	}
}

func runScript(t *testing.T, name string) {
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Unix(1000, 0)
	now := start
	tr := New(Settings{Life: time.Minute, MaxRecords: 3}, now)
	for n, line := range strings.Split(string(text), "\n") {
		w := strings.Fields(line)
		if len(w) == 0 || w[0] == "#" {
			continue
		}
		var got, want string
		switch w[0] {
		case "at":
			now = start.Add(milliseconds(t, w[1]))
		case "upstreams":
			tr.SetUpstreams(upstreams(w[1:]), now)
		case "record":
			tr.Record(Record{ident.Request(w[1]), "s", ident.Build(w[2]), unit.Duration(milliseconds(t, w[3]))}, now)
		case "peer":
			tr.Merge([]State{{"s", unit.Duration(milliseconds(t, w[1])), unit.Duration(milliseconds(t, w[2]))}}, now)
		case "find":
			got, want = describe(tr.Find(ident.Request(w[1]), "s", now)), strings.Join(w[2:], " ")
		case "several":
			got, want = yes(tr.Several("s", now)), w[1]
		case "serving":
			got, want = yes(tr.Serving("s", ident.Build(w[1]), now)), w[2]
		case "report":
			got, want = "nothing", strings.Join(w[1:], " ")
			for _, r := range tr.Report(now) {
				got = fmt.Sprint(r.Since.Std().Milliseconds(), r.LastKnown.Std().Milliseconds())
			}
		default:
			t.Fatalf("line %d: unknown command %q", n+1, w[0])
		}
		if got != want {
			t.Errorf("line %d: %s: got %s, want %s", n+1, line, got, want)
		}
	}
}

func milliseconds(t *testing.T, text string) time.Duration {
	t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(n) * time.Millisecond
}

func upstreams(words []string) []directory.Upstream {
	var list []directory.Upstream
	for i, w := range words {
		build, leaves := strings.CutSuffix(w, "!")
		list = append(list, directory.Upstream{
			ID: ident.Upstream(fmt.Sprint(i)), Service: "s", Build: ident.Build(strings.TrimPrefix(build, "-")), Draining: leaves,
		})
	}
	return list
}

func describe(s Statement) string {
	switch {
	case s.Known:
		return "known " + string(s.Build)
	case s.Build != "":
		return "before " + string(s.Build)
	}
	return "nothing"
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// TestConclude guards against a build that is assumed though holders that may have been told of the stream do not
// state it, and against one that is refused though a holder knows it.
func TestConclude(t *testing.T) {
	known, before, other, nothing := Statement{Known: true, Build: "v2"}, Statement{Build: "v1"}, Statement{Build: "v3"}, Statement{}
	const told = 3
	tests := []struct {
		statements []Statement
		holders    int
		want       ident.Build
		found      bool
	}{
		{[]Statement{known}, 6, "v2", true},
		{[]Statement{before, before, known}, 6, "v2", true},
		{[]Statement{before, other, known}, 6, "v2", true},
		{[]Statement{before, before, before, before, nothing}, 6, "v1", true},
		{[]Statement{before, before, before, nothing, nothing, nothing}, 6, "", false},
		{[]Statement{before, before, nothing}, 6, "", false},
		{[]Statement{before, nothing, nothing}, 6, "", false},
		{[]Statement{before, before, before, before, other}, 6, "", false},
		{[]Statement{before, before}, 4, "v1", true},
		{[]Statement{before}, 4, "", false},
		{[]Statement{before, before}, 2, "v1", true},
		{[]Statement{before}, 2, "", false},
		{[]Statement{before}, 1, "v1", true},
		{nil, 0, "", false},
	}
	for _, tc := range tests {
		got, found := Conclude(tc.statements, Quorum(tc.holders, told))
		if found != tc.found || found && got != tc.want {
			t.Errorf("%v of %d: got %q, %t, want %q, %t", tc.statements, tc.holders, got, found, tc.want, tc.found)
		}
	}
}

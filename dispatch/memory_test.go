package dispatch

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"crocuslug/directory"
)

// TestMemoryReleased guards against a count of memory that leaks, so that engines seem to fill up. It
// runs all scripts, in which attempts are served, fail, are refused or abandoned and copies are made,
// and wants the same results as TestScripts and no memory in use afterwards.
func TestMemoryReleased(t *testing.T) {
	names, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(names) == 0 {
		t.Fatalf("scripts: got %v, %v, want some", names, err)
	}
	for _, name := range names {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			t.Parallel()
			wd := &cluster{byMemory: true, tokens: 6000}
			runScriptOn(t, name, wd)
			if wd.memoryUsed != 0 {
				t.Errorf("memory used after the request: got %v of it, want none", wd.memoryUsed)
			}
		})
	}
}

// TestTooLarge guards against a request that waits in vain because no engine can ever hold it.
func TestTooLarge(t *testing.T) {
	for _, tc := range []struct {
		tokens int
		kind   directory.Kind
		want   string
	}{
		{55000, directory.Streaming, "pieces 1-2"},
		{55001, directory.Streaming, "refused NotRun"},
		{55001, directory.Safe, "refused NotRun"},
	} {
		wd := &cluster{byMemory: true, tokens: tc.tokens, service: directory.Service{Name: "s", Memory: 55000}, deadline: 10 * time.Second}
		wd.route = directory.Route{Kind: tc.kind, MaxAttempts: 2}
		wd.add(t, "a", "near", "", []string{"stream:1-2:whole"})
		if got := wd.run(t); got != tc.want {
			t.Errorf("%d tokens: got %q, want %q", tc.tokens, got, tc.want)
		}
		if tc.want == "refused NotRun" && len(wd.received) > 0 {
			t.Errorf("%d tokens: got requests %v at the engine, want none", tc.tokens, wd.received)
		}
	}
}

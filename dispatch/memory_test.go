package dispatch

import (
	"path/filepath"
	"strings"
	"testing"
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

package storeview

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocuslug/ident"
	"crocuslug/store"
)

// TestScripts runs the scripts in testdata/*.txt. Each line is one of
//
//	at MS                      sets the time
//	peers SELF [ID ...]        sets the live instances of the failure domain, SELF included
//	confirm VERSION [AT_MS]    an answer of the store, or of a peer's that was current at AT_MS
//	failing yes|no             the outcome of the last call to the store
//	report VERSION AGE_MS yes|no [SOURCE NUMBER]    a digest; whether to ask the peer for changes. The
//	                           knowledge of the peer goes back to an answer of the store, to a new one
//	                           unless it is named
//	want NAME VALUE            checks Seen, Age in ms, ShouldWatch, Watcher or Unavailable
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
	v := New(Settings{}, 1)
	var now time.Duration
	for n, line := range strings.Split(string(text), "\n") {
		w := strings.Fields(line)
		if len(w) == 0 || w[0] == "#" {
			continue
		}
		switch w[0] {
		case "at":
			now = milliseconds(t, w[1])
		case "peers":
			var live []ident.Instance
			for _, id := range w[1:] {
				live = append(live, ident.Instance(id))
			}
			v.SetPeers("d", live[0], live, 1)
		case "confirm":
			at := now
			if len(w) > 2 {
				at = milliseconds(t, w[2])
			}
			v.Confirm(version(t, w[1]), at)
		case "failing":
			v.SetFailing(w[1] == "yes")
		case "report":
			c := Confirmation{milliseconds(t, w[2]), Answer{2, uint64(n + 1)}}
			if len(w) > 4 {
				c.Answer = Answer{uint64(version(t, w[4])), uint64(version(t, w[5]))}
			}
			if got := v.Report(version(t, w[1]), c, now); got != (w[3] == "yes") {
				t.Errorf("line %d: ask: got %v, want %s", n+1, got, w[3])
			}
		case "want":
			if got := property(v, w[1], now); got != w[2] {
				t.Errorf("line %d: %s: got %s, want %s", n+1, w[1], got, w[2])
			}
		default:
			t.Fatalf("line %d: unknown command %q", n+1, w[0])
		}
	}
}

func property(v *View, name string, now time.Duration) string {
	switch name {
	case "Seen":
		return strconv.FormatUint(uint64(v.Seen()), 10)
	case "Age":
		return strconv.FormatInt(v.Age(now).Milliseconds(), 10)
	case "ShouldWatch":
		return strconv.FormatBool(v.ShouldWatch(now))
	case "Watcher":
		return strconv.FormatBool(v.Watcher())
	case "Unavailable":
		return strconv.FormatBool(v.Unavailable(now))
	}
	return "no such property"
}

func milliseconds(t *testing.T, s string) time.Duration {
	t.Helper()
	return time.Duration(version(t, s)) * time.Millisecond
}

func version(t *testing.T, s string) store.Version {
	t.Helper()
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return store.Version(n)
}

// TestWatchersOfDomain checks that exactly one instance of each failure domain is a watcher, or two of
// the only one, and that the loss of one makes another one a watcher.
func TestWatchersOfDomain(t *testing.T) {
	for _, domains := range []int{1, 2, 6, 13} {
		checkWatchers(t, domains, map[bool]int{true: 2, false: 1}[domains == 1])
	}
}

func checkWatchers(t *testing.T, domains, watchers int) {
	t.Helper()
	for n := 1; n <= 72; n++ {
		var live []ident.Instance
		for i := range n {
			live = append(live, ident.Instance("i"+strconv.Itoa(i)))
		}
		for _, members := range [][]ident.Instance{live, live[:n-1]} {
			got := 0
			for _, self := range members {
				v := New(Settings{}, 1)
				v.SetPeers("d", self, members, domains)
				if v.Watcher() {
					got++
				}
			}
			if want := min(watchers, len(members)); got != want {
				t.Errorf("%d instances of one of %d failure domains: got %d watchers, want %d", len(members), domains, got, want)
			}
		}
	}
}

package registry

import (
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/store"
)

// TestScripts runs the scripts in testdata/*.txt. Each line is one of
//
//	at MS                       sets the time
//	store-down | store-up       sets whether the store is unavailable
//	set ID ADDRESS REVISION [draining] [born=N]
//	answer ID BORN yes|no      an answer says that it is leaving; whether that is news
//	departures [ID ...]        checks the upstreams that Departures returns
//	leaving ID REVISION        the upstream reports that it is leaving
//	remove ID REVISION
//	replaced ID REVISION yes|no its entry names no upstream any more; whether it was registered
//	replace REVISION [ID ...]   the contents of the store; entries keep their address
//	merge REVISION [ID ...]     the ids known to another instance; lapsed ones follow a "/", as ID or ID=MS with
//	                            what is left of the grace period; ID~MS was found by a probe that long ago
//	known MS                    the time up to which all changes are applied
//	left ID MS                  checks what is told to others of the grace period of an entry
//	update ID REVISION [ADDRESS] changes what replace and merge give for an entry, here not known yet
//	outage                     the end of a short outage
//
// A REVISION may be ERA:REVISION.
//
//	restart FORMER ID yes|no [found=MS|found=unknown]
//	                            a restart that the store does not show yet, found now if the line does not say when
//	expire
//	want [ID ...]               checks the list of upstreams
//	want-leaving [ID ...]       checks which of them are leaving
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
	r := New(Settings{})
	start := time.Unix(1000, 0)
	now := start
	known := map[ident.Upstream]directory.Upstream{}
	for n, line := range strings.Split(string(text), "\n") {
		w := strings.Fields(line)
		if len(w) == 0 || w[0] == "#" {
			continue
		}
		switch w[0] {
		case "at":
			now = start.Add(time.Duration(number(t, w[1])) * time.Millisecond)
		case "store-down", "store-up":
			r.SetStoreUnavailable(w[0] == "store-down", now)
		case "set":
			u := directory.Upstream{ID: ident.Upstream(w[1]), Address: w[2], Revision: version(t, w[3])}
			for _, option := range w[4:] {
				if born, ok := strings.CutPrefix(option, "born="); ok {
					u.Born = int64(number(t, born))
				} else {
					u.Draining = option == "draining"
				}
			}
			known[u.ID] = u
			r.Set(u)
		case "answer":
			if got := r.RecordLeaving(ident.Upstream(w[1]), int64(number(t, w[2])), now); got != (w[3] == "yes") {
				t.Errorf("line %d: RecordLeaving: got %v, want %s", n+1, got, w[3])
			}
		case "departures":
			var got []string
			for _, d := range r.Departures(start) {
				got = append(got, string(d.Upstream))
			}
			slices.Sort(got)
			if !slices.Equal(got, w[1:]) {
				t.Errorf("line %d: Departures: got %v, want %v", n+1, got, w[1:])
			}
		case "leaving":
			u := known[ident.Upstream(w[1])]
			u.Draining, u.Revision = true, version(t, w[2])
			r.Set(u)
		case "remove":
			r.Remove(ident.Upstream(w[1]), version(t, w[2]), now)
		case "replaced":
			if got := r.RemoveReplaced(ident.Upstream(w[1]), version(t, w[2]), now); got != (w[3] == "yes") {
				t.Errorf("line %d: RemoveReplaced: got %v, want %s", n+1, got, w[3])
			}
		case "replace", "merge":
			var c Changes
			ids, lapsed := w[2:], []string(nil)
			if i := slices.Index(ids, "/"); i >= 0 {
				ids, lapsed = ids[:i], ids[i+1:]
			}
			for _, text := range ids {
				id, age, restarted := strings.Cut(text, "~")
				if restarted {
					c.addRestarted(ident.Upstream(id), time.Duration(number(t, age))*time.Millisecond)
				}
				c.Upstreams = append(c.Upstreams, known[ident.Upstream(id)])
				c.All = append(c.All, ident.Upstream(id))
			}
			for _, text := range lapsed {
				name, left, stated := strings.Cut(text, "=")
				id := ident.Upstream(name)
				c.All = append(c.All, id)
				if stated {
					c.addLapsed(id, time.Duration(number(t, left))*time.Millisecond)
				} else {
					c.Lapsed = append(c.Lapsed, id)
				}
			}
			if w[0] == "replace" {
				r.ReplaceAll(c.Upstreams, version(t, w[1]), now)
			} else {
				r.Merge(c, version(t, w[1]), now, now)
			}
		case "known":
			known := start.Add(time.Duration(number(t, w[1])) * time.Millisecond)
			r.Known = func(time.Time) time.Time { return known }
		case "left":
			if got := r.Since(0, now).LapsedFor[ident.Upstream(w[1])].Std().Milliseconds(); got != int64(number(t, w[2])) {
				t.Errorf("line %d: grace period left: got %d, want %s", n+1, got, w[2])
			}
		case "update":
			u := known[ident.Upstream(w[1])]
			u.Revision = version(t, w[2])
			if len(w) > 3 {
				u.ID, u.Address = ident.Upstream(w[1]), w[3]
			}
			known[u.ID] = u
		case "outage":
			r.RecordOutage(now)
		case "restart":
			found := now
			for _, option := range w[4:] {
				if found = (time.Time{}); option != "found=unknown" {
					found = start.Add(time.Duration(number(t, strings.TrimPrefix(option, "found="))) * time.Millisecond)
				}
			}
			if got := r.RecordRestart(ident.Upstream(w[1]), ident.Upstream(w[2]), found, now); got != (w[3] == "yes") {
				t.Errorf("line %d: RecordRestart: got %v, want %s", n+1, got, w[3])
			}
		case "expire":
			r.Expire(now)
			r.ExpireRestarted(now)
		case "want", "want-leaving":
			var got []string
			for _, u := range r.All() {
				if w[0] == "want" || u.Draining {
					got = append(got, string(u.ID))
				}
			}
			slices.Sort(got)
			if !slices.Equal(got, w[1:]) {
				t.Errorf("line %d: got %v, want %v", n+1, got, w[1:])
			}
		default:
			t.Fatalf("line %d: unknown command %q", n+1, w[0])
		}
	}
}

// version parses a revision or an era and a revision.
func version(t *testing.T, s string) store.Version {
	t.Helper()
	era, revision, found := strings.Cut(s, ":")
	if !found {
		era, revision = "0", s
	}
	v, err := store.NewVersion(uint64(number(t, era)), uint64(number(t, revision)))
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func number(t *testing.T, s string) int {
	t.Helper()
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestRestartBuild guards against an upstream that was found without the store and counts as one of the
// software version that its former process had, while its service has several.
func TestRestartBuild(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tc := range []struct{ other, want ident.Build }{{"v1", "v1"}, {"v2", ""}} {
		r := New(Settings{})
		r.Set(directory.Upstream{ID: "a", Service: "s", Address: "1:1", Build: "v1", Revision: 1})
		r.Set(directory.Upstream{ID: "b", Service: "s", Address: "2:1", Build: tc.other, Revision: 2})
		r.Set(directory.Upstream{ID: "c", Service: "t", Address: "3:1", Build: "v3", Revision: 3})
		if !r.RecordRestart("a", "d", now, now) {
			t.Fatal("RecordRestart: got false, want true")
		}
		if got := r.ByAddress("1:1"); got.ID != "d" || got.Build != tc.want {
			t.Errorf("beside a build %q: got %s of build %q, want d of %q", tc.other, got.ID, got.Build, tc.want)
		}
	}
}

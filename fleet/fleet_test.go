package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/routing"
	"crocuslug/store"
	"crocuslug/work"
)

// TestScripts runs the scripts in testdata/*.txt against a Fleet in the failure domain
// "near". Each line is one of
//
//	at MS
//	add ID DOMAIN[/BUILD] REVISION [draining]  adds or changes an upstream
//	remove ID                            removes an upstream
//	pick ID                              picks this upstream for a request
//	ended ID served|failed|dead|replaced reports the outcome of a request
//	stream-start ID                      reports the start of a stream
//	peer-loss ID                         reports that another instance found it dead
//	peer-replaced ID REVISION            reports that another instance found it replaced
//	replaced [ID ...]                    checks which were found replaced here lately
//	tick
//	never ID ... | always ID ...         none or all of a hundred choices are among these
//	some ID ...                          each of these is among a hundred choices
//	exclude-domain DOMAIN                for the choices that follow; - for none
//	exclude-build BUILD                  for the choices and has-other that follow; - for none
//	besides yes|no BUILD                 checks HasBuildBesides
//	memory-lost ID yes|no                checks MemoryLost
//	has-other yes|no ID ...              checks HasOther with these excluded
//	none                                 checks that no choice is possible
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
	f := New(Settings{Domain: "near"}, rand.New(rand.NewPCG(1, 2)).Uint64, zerolog.Nop())
	start := time.Unix(1000, 0)
	now := start
	all := map[ident.Upstream]directory.Upstream{}
	var excludeDomain ident.Domain
	var excludeBuild ident.Build
	publish := func() {
		var list []directory.Upstream
		for _, u := range all {
			list = append(list, u)
		}
		slices.SortFunc(list, func(a, b directory.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
		f.SetUpstreams(list, func(ident.Service) int { return 0 }, now)
	}
	outcomes := map[string]Outcome{"served": Served, "failed": Failed, "dead": Dead, "replaced": Replaced}
	for n, line := range strings.Split(string(text), "\n") {
		w := strings.Fields(line)
		if len(w) == 0 || w[0] == "#" {
			continue
		}
		var id ident.Upstream
		if len(w) > 1 {
			id = ident.Upstream(w[1])
		}
		switch w[0] {
		case "at":
			now = start.Add(time.Duration(number(t, w[1])) * time.Millisecond)
		case "add":
			domain, build, _ := strings.Cut(w[2], "/")
			all[id] = directory.Upstream{
				ID: id, Service: "s", Address: w[1] + ":1", Domain: ident.Domain(domain), Build: ident.Build(build), Slots: 64,
				Revision: store.Version(number(t, w[3])), Draining: len(w) > 4,
			}
			publish()
		case "remove":
			delete(all, id)
			publish()
		case "pick":
			var others []ident.Upstream
			for other := range all {
				if other != id {
					others = append(others, other)
				}
			}
			if u, kind := f.Pick(PickRequest{Service: "s", Exclude: others}, now); kind != routing.Send {
				t.Errorf("line %d: %s: got %q, %v", n+1, line, u.ID, kind)
			}
		case "ended":
			f.ReportEnd(id, outcomes[w[2]], time.Millisecond, now)
		case "stream-start":
			f.ReportStreamStart(id, now)
		case "peer-replaced":
			f.ReportPeerReplaced(ident.Upstream(w[1]), store.Version(number(t, w[2])), now)
		case "replaced":
			got := slices.Sorted(maps.Keys(f.FoundReplaced(now)))
			var want []ident.Upstream
			for _, id := range w[1:] {
				want = append(want, ident.Upstream(id))
			}
			if !slices.Equal(got, want) {
				t.Errorf("line %d: found replaced: got %v, want %v", n+1, got, want)
			}
		case "peer-loss":
			f.ReportPeerLoss(id, now)
		case "tick":
			f.Tick(now)
		case "exclude-domain":
			if excludeDomain = ident.Domain(w[1]); excludeDomain == "-" {
				excludeDomain = ""
			}
		case "exclude-build":
			if excludeBuild = ident.Build(w[1]); excludeBuild == "-" {
				excludeBuild = ""
			}
		case "besides":
			if got := f.HasBuildBesides("s", ident.Build(w[2])); got != (w[1] == "yes") {
				t.Errorf("line %d: %s: got %t", n+1, line, got)
			}
		case "never", "always":
			got := choices(f, excludeDomain, excludeBuild, now)
			if len(got) == 0 && w[0] == "always" {
				t.Errorf("line %d: %s: got no choice", n+1, line)
			}
			for u, k := range got {
				if slices.Contains(w[1:], u) == (w[0] == "never") {
					t.Errorf("line %d: %s: got %s %d times", n+1, line, u, k)
				}
			}
		case "some":
			got := choices(f, excludeDomain, excludeBuild, now)
			for _, id := range w[1:] {
				if got[id] == 0 {
					t.Errorf("line %d: %s: got %v", n+1, line, got)
				}
			}
		case "memory-lost":
			if got := f.MemoryLost(id, now); got != (w[2] == "yes") {
				t.Errorf("line %d: %s: got %v", n+1, line, got)
			}
		case "has-other":
			var exclude []ident.Upstream
			for _, id := range w[2:] {
				exclude = append(exclude, ident.Upstream(id))
			}
			if got, want := f.HasOther("s", nil, excludeBuild, exclude), w[1] == "yes"; got != want {
				t.Errorf("line %d: %s: got %t, want %t", n+1, line, got, want)
			}
		case "none":
			if got := choices(f, excludeDomain, excludeBuild, now); len(got) > 0 {
				t.Errorf("line %d: got %v, want no choice", n+1, got)
			}
		default:
			t.Fatalf("line %d: unknown command %q", n+1, w[0])
		}
	}
}

// choices returns how often each upstream is chosen in a hundred choices.
func choices(f *Fleet, excludeDomain ident.Domain, excludeBuild ident.Build, now time.Time) map[string]int {
	got := map[string]int{}
	for range 100 {
		u, kind := f.Pick(PickRequest{Service: "s", ExcludeDomain: excludeDomain, ExcludeBuild: excludeBuild}, now)
		if kind == routing.Send {
			got[string(u.ID)]++
			f.Release(u.ID, now)
		}
	}
	return got
}

func number(t *testing.T, s string) int {
	t.Helper()
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestMemory checks that an engine counts as full when its memory is used up, before all
// of its slots are in use.
func TestMemory(t *testing.T) {
	f := New(Settings{Domain: "near"}, rand.Uint64, zerolog.Nop())
	now := time.Unix(1000, 0)
	f.SetUpstreams([]directory.Upstream{{ID: "a", Service: "s", Domain: "near", Slots: 64}}, func(ident.Service) int { return 55000 }, now)
	got := 0
	for range 64 {
		if _, kind := f.Pick(PickRequest{Service: "s", Tokens: 5850}, now); kind == routing.Send {
			got++
		}
	}
	if want := 55000 / 5850; got != want {
		t.Errorf("requests at once: got %d, want %d", got, want)
	}
	if _, kind := f.Pick(PickRequest{Service: "s", Tokens: 5850, AllowFull: true}, now); kind != routing.Send {
		t.Errorf("with AllowFull: got %v, want Send", kind)
	}
}

// TestUnreadTokens checks that unread prompt tokens weigh more in the choice than answers
// that are being generated.
func TestUnreadTokens(t *testing.T) {
	f := New(Settings{Domain: "near"}, rand.New(rand.NewPCG(1, 2)).Uint64, zerolog.Nop())
	now := time.Unix(1000, 0)
	var list []directory.Upstream
	for i := range 2 {
		list = append(list, directory.Upstream{ID: ident.Upstream(fmt.Sprint(i)), Service: "s", Domain: "near", Slots: 64})
	}
	f.SetUpstreams(list, func(ident.Service) int { return 0 }, now)
	f.AddUnreadTokens("0", 5000, now)
	f.ReportPeerLoads(map[ident.Upstream]work.Load{"1": {Requests: 3}}, now)
	if got := choices(f, "", "", now); got["0"] > 0 {
		t.Errorf("got %v, want none at 0, which has unread prompt tokens", got)
	}
	f.AddUnreadTokens("0", -5000, now)
	if got := choices(f, "", "", now); got["1"] > 0 {
		t.Errorf("got %v, want none at 1, which has more requests", got)
	}
}

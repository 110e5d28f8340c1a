package reach

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
)

// TestScripts runs the scripts in testdata/*.txt. Each line is one of
//
//	at MS
//	upstreams DOMAIN/ID ...            sets the registered upstreams
//	dialed DOMAIN/ID ok|failed|ended   an attempt to open a connection; ended if it ends a cut
//	ask DOMAIN ID@FOR_MS,... BEFORE | ask DOMAIN -    checks the question that is due
//	answer PEER near|far OPEN DOMAIN ASKED,... REACHED,... CUT,...
//	                                   the answer of another instance, and the failure domains cut off because of it
//	cut DOMAIN ... | cut -             checks from which failure domains the instance is cut off
//	suspect DOMAIN yes|no
//	doubtful DOMAIN yes|no [TRY]
//	helpers PEER ... | helpers -       checks the helpers, in any order; the first one if it is followed by !
//	helped PEER OPEN | helped PEER -   a helper passed a connection on, or did not
//	removed PEER yes|no                one did not, and whether it no longer counts as a helper because of it
//	trials N                           checks the number of failure domains that are tried directly
//	reached ID MS yes|no
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
	tr := New(Settings{})
	random := func() uint64 { return 0 }
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
			var list []directory.Upstream
			for _, u := range w[1:] {
				domain, id, _ := strings.Cut(u, "/")
				list = append(list, directory.Upstream{ID: ident.Upstream(id), Domain: ident.Domain(domain)})
			}
			tr.SetUpstreams(list)
		case "dialed":
			domain, id, _ := strings.Cut(w[1], "/")
			ended := tr.Dialed(ident.Upstream(id), ident.Domain(domain), w[2] != "failed", now)
			got, want = strconv.FormatBool(ended), strconv.FormatBool(w[2] == "ended")
		case "ask":
			got, want = "-", strings.Join(w[2:], " ")
			if q, before := tr.Ask(ident.Domain(w[1]), now); len(q.Upstreams) > 0 {
				var failed []string
				for _, f := range q.Upstreams {
					failed = append(failed, fmt.Sprint(f.Upstream, "@", f.For.Std().Milliseconds()))
				}
				got = fmt.Sprint(join(failed), " ", before)
			}
		case "answer":
			open, _ := strconv.Atoi(w[3])
			var q Question
			for _, id := range split(w[5]) {
				q.Upstreams = append(q.Upstreams, Failed{Upstream: id})
			}
			cut := tr.Answered(ident.Instance(w[1]), w[2] == "near", ident.Domain(w[4]), q, Answer{split(w[6]), open}, now)
			slices.Sort(cut)
			got, want = join(cut), w[7]
		case "cut":
			names, _ := tr.CutDomains()
			got, want = join(names), strings.Join(w[1:], ",")
			for _, d := range names {
				if !tr.Cut(d) {
					t.Errorf("line %d: Cut(%s): got false, want true", n+1, d)
				}
			}
		case "suspect":
			got, want = yes(tr.Suspect(ident.Domain(w[1]))), w[2]
		case "doubtful":
			_, doubtful, try := tr.Doubtful(ident.Domain(w[1]), random)
			got, want = strings.TrimSpace(yes(doubtful)+" "+string(try)), strings.Join(w[2:], " ")
		case "helpers":
			list := tr.Helpers(random, now)
			if len(w) > 1 && strings.HasSuffix(w[1], "!") {
				got, want = string(list[0]), strings.TrimSuffix(w[1], "!")
				break
			}
			slices.Sort(list)
			got, want = join(list), strings.Join(w[1:], ",")
		case "helped":
			open, err := strconv.Atoi(w[2])
			tr.Helped(ident.Instance(w[1]), err == nil, open, now)
		case "removed":
			got, want = yes(tr.Helped(ident.Instance(w[1]), false, 0, now)), w[2]
		case "trials":
			got, want = strconv.Itoa(len(tr.Trials(random, now))), w[1]
		case "reached":
			got, want = yes(tr.Reached(ident.Upstream(w[1]), milliseconds(t, w[2]), now)), w[3]
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

// join returns ids separated by commas, or "-" if there are none.
func join[T ~string](ids []T) string {
	var out []string
	for _, id := range ids {
		out = append(out, string(id))
	}
	if len(out) == 0 {
		return "-"
	}
	return strings.Join(out, ",")
}

func split(text string) []ident.Upstream {
	var out []ident.Upstream
	for s := range strings.SplitSeq(strings.TrimPrefix(text, "-"), ",") {
		out = append(out, ident.Upstream(s))
	}
	return out
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

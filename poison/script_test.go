package poison

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/zeebo/xxh3"

	"crocuslug/ident"
	"crocuslug/prefix"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// part returns the Part of a name in a test.
func part(name string) Part { return Part(xxh3.HashString(name)) }

// run returns the run of a request with parts.
func run(request string, parts []string) Run {
	r := Run{Content: part(request)}
	for _, p := range parts {
		r.Parts = append(r.Parts, part(p))
	}
	return r
}

// script is the state of a script: several instances, and the names of all parts.
type script struct {
	t        *testing.T
	begin    time.Time
	now      time.Time
	trackers map[string]*Tracker
	names    map[Part]string
}

// TestScripts runs the scripts in testdata/*.txt. Each line is a time and one of
//
//	INSTANCE crash ENGINE REQUEST PART ...   a run was lost; ENGINE/BORN names an incarnation
//	INSTANCE answered REQUEST PART ...
//	INSTANCE refuses REQUEST PART ...        wanted
//	INSTANCE accepts REQUEST PART ...        wanted
//	INSTANCE bans SET ...                    wanted sets, each of parts joined by +, in any order; - for none
//	INSTANCE tells INSTANCE ...              sends its report
//
// An instance is created by its first line. All instances work on each 100 ms.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("scripts: got %v, %v, want some", files, err)
	}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			begin := time.Unix(1000, 0)
			s := &script{t: t, begin: begin, now: begin, trackers: make(map[string]*Tracker), names: make(map[Part]string)}
			for n, line := range strings.Split(string(text), "\n") {
				w := strings.Fields(line)
				if len(w) == 0 || w[0] == "#" {
					continue
				}
				at, err := time.ParseDuration(w[0])
				if err != nil {
					t.Fatalf("line %d: %v", n+1, err)
				}
				s.advance(begin.Add(at))
				s.execute(n+1, w[1], w[2], w[3:])
			}
		})
	}
}

// advance moves the time on and lets all instances work.
func (s *script) advance(to time.Time) {
	const tick = 100 * time.Millisecond
	for s.now.Add(tick).Before(to) {
		s.now = s.now.Add(tick)
		s.tick()
	}
	s.now = to
	s.tick()
}

func (s *script) tick() {
	for _, t := range s.trackers {
		t.Tick(s.now)
	}
}

func (s *script) tracker(name string) *Tracker {
	if s.trackers[name] == nil {
		s.trackers[name] = New()
	}
	return s.trackers[name]
}

func (s *script) execute(line int, instance, command string, args []string) {
	t := s.tracker(instance)
	if command != "tells" {
		for _, a := range args {
			s.names[part(a)] = a
		}
	}
	switch command {
	case "crash":
		id, born, _ := strings.Cut(args[0], "/")
		t.EngineCrashed(Engine{ID: ident.Upstream(id), Born: int64(len(born))}, run(args[1], args[2:]), s.now, s.now)
	case "answered":
		t.Answered(run(args[0], args[1:]), s.now)
	case "refuses", "accepts":
		left, got := t.Refused(run(args[0], args[1:]), s.now)
		if want := command == "refuses"; got != want || got != (left > 0) {
			s.t.Errorf("line %d: %s with %v: got refused %t for %v, want %t", line, args[0], args[1:], got, left, want)
		}
	case "bans":
		if got, want := s.bans(t), strings.Join(slices.Sorted(slices.Values(args)), " "); got != want {
			s.t.Errorf("line %d: bans: got %q, want %q", line, got, want)
		}
	case "tells":
		r := t.Report(s.now)
		for _, to := range args {
			s.tracker(to).Merge(r, s.now)
		}
	default:
		s.t.Fatalf("line %d: unknown command %q", line, command)
	}
}

// bans returns the bans of a tracker as text.
func (s *script) bans(t *Tracker) string {
	var out []string
	r := t.Report(s.now)
	for _, b := range r.Bans {
		var names []string
		for _, p := range b.Parts {
			names = append(names, s.names[p])
		}
		slices.Sort(names)
		out = append(out, strings.Join(names, "+"))
	}
	if len(out) == 0 {
		return "-"
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// ExampleTracker bans the part that is in all crashes.
func ExampleTracker() {
	t, now := New(), time.Unix(0, 0)
	for i, other := range []string{"a", "b", "c"} {
		parts := Parts("model", []prefix.Part{{Name: other}, {Name: "bad"}, {Name: fmt.Sprint("own", i)}})
		t.EngineCrashed(Engine{ID: ident.Upstream(other)}, Run{Content: Part(i + 1), Parts: parts}, now, now)
		now = now.Add(time.Second)
	}
	t.Tick(now)
	_, bad := t.Refused(Run{Content: 4, Parts: Parts("model", []prefix.Part{{Name: "a"}, {Name: "bad"}, {Name: "x"}})}, now)
	_, sound := t.Refused(Run{Content: 5, Parts: Parts("model", []prefix.Part{{Name: "a"}, {Name: "b"}, {Name: "x"}})}, now)
	fmt.Println(bad, sound)
	// Output: true false
}

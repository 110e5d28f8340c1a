package distribution

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"crocuslug/ident"
)

// TestConvergesAfterFaults reorders, repeats and loses messages, cuts links,
// returns stale reads and restarts instances. Revisions must only increase and
// be accepted ones, and once the faults end all instances must have the newest.
func TestConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t.Fatalf)
		for i := range 8 {
			s.start(Member{ident.Instance(fmt.Sprintf("i%d", i)), ident.Domain([]string{"A", "B", "C"}[i%3])})
		}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			injectFault(t, s)
		}
		s.heal()
		s.run(12)
		s.requireConverged(t)
	})
}

func injectFault(t *rapid.T, s *simulation) {
	at := s.members[rapid.IntRange(0, len(s.members)-1).Draw(t, "at")]
	drawMessage := func() int { return rapid.IntRange(0, len(s.queue)-1).Draw(t, "message") }
	step := rapid.IntRange(0, 11).Draw(t, "step")
	switch {
	case step == 0:
		s.accept(at.Instance)
	case step == 1:
		s.accept("")
	case step == 2:
		s.readHead(at.Instance, ident.Revision(rapid.IntRange(0, int(s.newest())).Draw(t, "stale")))
	case step == 3:
		s.start(s.stop(at.Instance))
	case step == 4:
		s.setCut(at.Domain, ident.Domain(rapid.SampledFrom([]string{"A", "B", "C"}).Draw(t, "cut")), rapid.Bool().Draw(t, "on"))
	case step == 5:
		s.storeDown[at.Domain] = !s.storeDown[at.Domain]
	case step == 6:
		s.now = s.now.Add(1e9)
		s.tick(at.Instance)
	case len(s.queue) == 0:
	case step == 7:
		s.queue = append(s.queue, s.queue[drawMessage()])
	case step == 8:
		i := drawMessage()
		s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
	default:
		s.deliver(drawMessage())
	}
}

// TestScenarios runs the scripts in testdata, one step per line.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("got scripts %v, %v, want some", files, err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			body, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s := newSimulation(t.Fatalf)
			for i, line := range strings.Split(string(body), "\n") {
				line, _, _ = strings.Cut(line, "#")
				if f := strings.Fields(line); len(f) > 0 {
					runStep(t, s, fmt.Sprintf("line %d", i+1), f)
				}
			}
		})
	}
}

func runStep(t *testing.T, s *simulation, at string, f []string) {
	n := func(i int) int {
		v, err := strconv.Atoi(f[i])
		if err != nil {
			t.Fatalf("%s: %v", at, err)
		}
		return v
	}
	switch f[0] {
	case "start":
		for _, name := range f[1:] {
			instance, domain, _ := strings.Cut(name, "@")
			s.start(Member{ident.Instance(instance), ident.Domain(domain)})
		}
	case "stop":
		s.stop(ident.Instance(f[1]))
	case "restart":
		s.start(s.stop(ident.Instance(f[1])))
	case "accept":
		s.accept(ident.Instance(f[1]))
	case "run":
		s.run(n(1))
	case "cut":
		s.setCut(ident.Domain(f[1]), ident.Domain(f[2]), true)
	case "platform-away":
		s.storeDown[ident.Domain(f[1])] = true
	case "lose-messages":
		s.queue = nil
	case "heal":
		s.heal()
	case "stale-read":
		s.readHead(ident.Instance(f[1]), ident.Revision(n(2)))
	case "want-revision", "want-cut-off":
		checkWanted(t, s, at, f)
	case "want-watchers":
		got := 0
		for _, m := range s.members {
			if m.Domain == ident.Domain(f[1]) && s.distributors[m.Instance].ShouldWatch() {
				got++
			}
		}
		if got != n(2) {
			t.Errorf("%s: got %d watchers, want %d", at, got, n(2))
		}
	default:
		t.Fatalf("%s: no step %q", at, f[0])
	}
}

func checkWanted(t *testing.T, s *simulation, at string, f []string) {
	for _, m := range s.members {
		if f[1] != "*" && f[1] != string(m.Domain) && f[1] != string(m.Instance) {
			continue
		}
		d := s.distributors[m.Instance]
		got := fmt.Sprint(d.Revision())
		if f[0] == "want-cut-off" {
			got = fmt.Sprint(d.CutOff(s.now))
		}
		if got != f[2] {
			t.Errorf("%s: %s: got %s, want %s", at, m.Instance, got, f[2])
		}
	}
}

// TestCostOfChange bounds the bytes that each instance sends for one change, in a
// failure domain of the size to design for.
func TestCostOfChange(t *testing.T) {
	s := newSimulation(t.Fatalf)
	for i := range 72 {
		s.start(Member{ident.Instance(fmt.Sprintf("i%02d", i)), "A"})
	}
	for range 20 {
		s.accept("i70")
		s.run(1)
	}
	s.run(5)
	s.requireConverged(t)
	reads := s.reads
	s.accept("i70")
	sent := make(map[ident.Instance]int)
	messages := 0
	for len(s.queue) > 0 {
		m := s.queue[0]
		body, err := json.Marshal(m.notice)
		if err != nil {
			t.Fatal(err)
		}
		sent[m.from] += len(body)
		messages++
		s.deliver(0)
	}
	s.requireConverged(t)
	most := 0
	for _, n := range sent {
		most = max(most, n)
	}
	const bound = 2_048 // bytes; 0.1 KB a second if there is a change every 20 s
	if most > bound {
		t.Errorf("one change: got %d bytes sent by one instance, want at most %d", most, bound)
	}
	if got, want := s.reads-reads, 0; got != want {
		t.Errorf("one change that spreads by notices: got %d reads of the key-value service, want %d", got, want)
	}
	t.Logf("one change at 72 instances: %d messages, at most %d bytes sent by one", messages, most)
}

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
		w := newSimulation(t.Fatalf)
		for i := range 8 {
			w.start(Member{ident.Instance(fmt.Sprintf("i%d", i)), ident.Domain([]string{"A", "B", "C"}[i%3])})
		}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			injectFault(t, w)
		}
		w.heal()
		w.run(12)
		w.requireConverged(t)
	})
}

func injectFault(t *rapid.T, w *simulation) {
	at := w.members[rapid.IntRange(0, len(w.members)-1).Draw(t, "at")]
	drawMessage := func() int { return rapid.IntRange(0, len(w.queue)-1).Draw(t, "message") }
	step := rapid.IntRange(0, 11).Draw(t, "step")
	switch {
	case step == 0:
		w.accept(at.Instance)
	case step == 1:
		w.accept("")
	case step == 2:
		w.readHead(at.Instance, ident.Revision(rapid.IntRange(0, int(w.newest())).Draw(t, "stale")))
	case step == 3:
		w.start(w.stop(at.Instance))
	case step == 4:
		w.setCut(at.Domain, ident.Domain(rapid.SampledFrom([]string{"A", "B", "C"}).Draw(t, "cut")), rapid.Bool().Draw(t, "on"))
	case step == 5:
		w.storeDown[at.Domain] = !w.storeDown[at.Domain]
	case step == 6:
		w.now = w.now.Add(1e9)
		w.tick(at.Instance)
	case len(w.queue) == 0:
	case step == 7:
		w.queue = append(w.queue, w.queue[drawMessage()])
	case step == 8:
		i := drawMessage()
		w.queue = append(w.queue[:i:i], w.queue[i+1:]...)
	default:
		w.deliver(drawMessage())
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
			w := newSimulation(t.Fatalf)
			for i, line := range strings.Split(string(body), "\n") {
				line, _, _ = strings.Cut(line, "#")
				if f := strings.Fields(line); len(f) > 0 {
					runStep(t, w, fmt.Sprintf("line %d", i+1), f)
				}
			}
		})
	}
}

func runStep(t *testing.T, w *simulation, at string, f []string) {
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
			w.start(Member{ident.Instance(instance), ident.Domain(domain)})
		}
	case "stop":
		w.stop(ident.Instance(f[1]))
	case "restart":
		w.start(w.stop(ident.Instance(f[1])))
	case "accept":
		w.accept(ident.Instance(f[1]))
	case "run":
		w.run(n(1))
	case "cut":
		w.setCut(ident.Domain(f[1]), ident.Domain(f[2]), true)
	case "platform-away":
		w.storeDown[ident.Domain(f[1])] = true
	case "lose-messages":
		w.queue = nil
	case "heal":
		w.heal()
	case "stale-read":
		w.readHead(ident.Instance(f[1]), ident.Revision(n(2)))
	case "want-revision", "want-cut-off":
		checkWanted(t, w, at, f)
	case "want-watchers":
		got := 0
		for _, m := range w.members {
			if m.Domain == ident.Domain(f[1]) && w.distributors[m.Instance].ShouldWatch() {
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

func checkWanted(t *testing.T, w *simulation, at string, f []string) {
	for _, m := range w.members {
		if f[1] != "*" && f[1] != string(m.Domain) && f[1] != string(m.Instance) {
			continue
		}
		c := w.distributors[m.Instance]
		got := fmt.Sprint(c.Revision())
		if f[0] == "want-cut-off" {
			got = fmt.Sprint(c.CutOff(w.now))
		}
		if got != f[2] {
			t.Errorf("%s: %s: got %s, want %s", at, m.Instance, got, f[2])
		}
	}
}

// TestCostOfChange bounds the bytes that each instance sends for one change, in a
// failure domain of the size to design for.
func TestCostOfChange(t *testing.T) {
	w := newSimulation(t.Fatalf)
	for i := range 72 {
		w.start(Member{ident.Instance(fmt.Sprintf("i%02d", i)), "A"})
	}
	for range 20 {
		w.accept("i70")
		w.run(1)
	}
	w.run(5)
	w.requireConverged(t)
	reads := w.reads
	w.accept("i70")
	sent := make(map[ident.Instance]int)
	messages := 0
	for len(w.queue) > 0 {
		m := w.queue[0]
		body, err := json.Marshal(m.notice)
		if err != nil {
			t.Fatal(err)
		}
		sent[m.from] += len(body)
		messages++
		w.deliver(0)
	}
	w.requireConverged(t)
	most := 0
	for _, n := range sent {
		most = max(most, n)
	}
	const bound = 2_048 // bytes; 0.1 KB a second if there is a change every 20 s
	if most > bound {
		t.Errorf("one change: got %d bytes sent by one instance, want at most %d", most, bound)
	}
	if got, want := w.reads-reads, 0; got != want {
		t.Errorf("one change that spreads by notices: got %d reads of the key-value service, want %d", got, want)
	}
	t.Logf("one change at 72 instances: %d messages, at most %d bytes sent by one", messages, most)
}

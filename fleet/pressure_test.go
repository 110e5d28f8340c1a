package fleet_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// figures are what a site has done.
type figures struct {
	urgentOnTime float64 // share of the urgent requests answered on time
	lessUrgent   float64 // less urgent requests served during the burst, as a share of what was left for them
	overfilled   int     // engines that held more than their memory at some time
	preempted    int     // less urgent requests that an urgent one displaced at an overfilled engine
	mostHeld     float64 // greatest share of the memory of an engine that requests held
	workspace    float64 // least share of its requests that a workspace was served, relative to the mean of the others
	refused      int     // at once
	late         int     // started and answered late
}

func (f figures) String() string {
	return fmt.Sprintf("urgent on time %.3f, less urgent of what is left %.3f, overfilled engines %d, preempted %d, most held %.2f, least workspace %.2f, refused at once %d, late %d",
		f.urgentOnTime, f.lessUrgent, f.overfilled, f.preempted, f.mostHeld, f.workspace, f.refused, f.late)
}

// TestPressure guards against urgent streams that are late because less urgent ones fill the engines,
// against engines that crash because instances with old reports fill them together, and against a
// workspace that takes the room of the others. Each line of testdata/site/*.txt is one of
//
//	site instances=N domains=N engines=N length=DURATION writing=DURATION
//	traffic NAME priority=N objective=DURATION rate=PER-SECOND workspaces=N heavy=N [from=D to=D factor=N]
//	want urgent=SHARE left=SHARE workspace=SHARE
//	aim urgent=SHARE left=SHARE                   the same, checked by TestPressureAims
//
// No engine may be overfilled. The figures without the count of memory are logged for comparison.
func TestPressure(t *testing.T) {
	names, err := filepath.Glob("testdata/site/*.txt")
	if err != nil || len(names) == 0 {
		t.Fatalf("scripts: got %v, %v, want some", names, err)
	}
	for _, name := range names {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("without the count: %v", runSite(t, string(text), false).measured)
			got := runSite(t, string(text), true)
			t.Logf("with the count:    %v", got.measured)
			if got.measured.overfilled > 0 {
				t.Errorf("overfilled engines: got %d, want none", got.measured.overfilled)
			}
			got.check(t, got.want)
		})
	}
}

// TestPressureAims checks the shares of streams on time in the loads that do not reach them yet, see KNOWN-RED.txt.
func TestPressureAims(t *testing.T) {
	for _, name := range []string{"memory", "many", "saturated"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(filepath.Join("testdata/site", name+".txt"))
			if err != nil {
				t.Fatal(err)
			}
			got := runSite(t, string(text), true)
			got.check(t, got.aim)
		})
	}
}

// check compares the measured shares with the least ones that are wanted.
func (o outcome) check(t *testing.T, want map[string]float64) {
	t.Helper()
	for _, v := range []struct {
		name string
		got  float64
	}{{"urgent", o.measured.urgentOnTime}, {"left", o.measured.lessUrgent}, {"workspace", o.measured.workspace}} {
		if least, ok := want[v.name]; ok && v.got < least {
			t.Errorf("%s: got %.3f, want at least %.3f", v.name, v.got, least)
		}
	}
}

// outcome is the result of a script.
type outcome struct {
	measured figures
	want     map[string]float64
	aim      map[string]float64
}

func runSite(t *testing.T, text string, byMemory bool) outcome {
	const seed = 7
	var s *site
	var traffics []*traffic
	var length time.Duration
	out := outcome{want: make(map[string]float64), aim: make(map[string]float64)}
	for line := range strings.Lines(text) {
		w := strings.Fields(line)
		if len(w) == 0 || w[0] == "#" {
			continue
		}
		v := parseValues(w[1:])
		switch w[0] {
		case "site":
			s = newSite(v.int(t, "instances"), v.int(t, "domains"), v.int(t, "engines"), byMemory, seed)
			length, s.writing = v.duration(t, "length"), v.duration(t, "writing")
		case "traffic":
			traffics = append(traffics, &traffic{
				name: w[1], priority: v.int(t, "priority"), objective: v.duration(t, "objective"), rate: v.float(t, "rate"), workspaces: v.int(t, "workspaces"),
				heavy: v.float(t, "heavy"), from: v.duration(t, "from"), to: v.duration(t, "to"), factor: v.float(t, "factor"),
			})
		case "want":
			for name := range v {
				out.want[name] = v.float(t, name)
			}
		case "aim":
			for name := range v {
				out.aim[name] = v.float(t, name)
			}
		default:
			t.Fatalf("unknown command %q", w[0])
		}
	}
	s.run(traffics, length)
	out.measured = s.measure(traffics)
	return out
}

// measure returns the figures of a site. Requests of the last seconds, which may wait or be read
// still, do not count.
func (s *site) measure(traffics []*traffic) figures {
	f := figures{overfilled: len(s.overfilled), preempted: s.preempted, mostHeld: float64(s.mostHeld) / engineMemory}
	var from, to time.Duration
	for _, v := range traffics {
		if v.factor > 1 {
			from, to = v.from, v.to
		}
	}
	urgent, onTime, urgentIn, offeredIn, servedIn := 0, 0, 0, 0, 0
	offered, served := make(map[int]int), make(map[int]int)
	for _, r := range s.all {
		if s.now.Sub(r.at) < r.traffic.objective {
			continue
		}
		since := r.at.Sub(s.start)
		inBurst := since >= from && since < to
		if r.atOnce {
			f.refused++
		}
		if r.started && !r.onTime {
			f.late++
		}
		if r.traffic.priority == 0 {
			urgent++
			if r.onTime {
				onTime++
			}
			if inBurst && r.started {
				urgentIn++
			}
			continue
		}
		offered[r.workspace]++
		if r.onTime {
			served[r.workspace]++
		}
		if inBurst {
			offeredIn++
			if r.onTime {
				servedIn++
			}
		}
	}
	f.urgentOnTime = float64(onTime) / float64(max(1, urgent))
	perEngine := min(readRate/promptTokens, float64(engineMemory/(promptTokens+answerTokens))/(s.writing.Seconds()+promptTokens/readRate))
	left := perEngine*float64(s.engines)*(to-from).Seconds() - float64(urgentIn)
	f.lessUrgent = float64(servedIn) / max(1, min(left, float64(offeredIn)))
	f.workspace = leastWorkspace(offered, served)
	return f
}

// leastWorkspace returns the least share of its requests that a workspace was served, divided by the mean
// of the others.
func leastWorkspace(offered, served map[int]int) float64 {
	least := 1.0
	for w := range offered {
		sum, n := 0.0, 0
		for v, k := range offered {
			if v != w {
				sum += float64(served[v]) / float64(k)
				n++
			}
		}
		if sum > 0 {
			least = min(least, float64(served[w])/float64(offered[w])/(sum/float64(n)))
		}
	}
	return least
}

// values are words of the form NAME=VALUE.
type values map[string]string

func parseValues(words []string) values {
	out := make(values)
	for _, w := range words {
		if name, v, ok := strings.Cut(w, "="); ok {
			out[name] = v
		}
	}
	return out
}

func (v values) float(t *testing.T, name string) float64 {
	t.Helper()
	if v[name] == "" {
		return 0
	}
	n, err := strconv.ParseFloat(v[name], 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func (v values) int(t *testing.T, name string) int {
	t.Helper()
	return int(v.float(t, name))
}

func (v values) duration(t *testing.T, name string) time.Duration {
	t.Helper()
	if v[name] == "" {
		return 0
	}
	d, err := time.ParseDuration(v[name])
	if err != nil {
		t.Fatal(err)
	}
	return d
}

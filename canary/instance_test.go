package canary

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"crocuslug/ident"
	"crocuslug/store"
	"crocuslug/unit"
)

// TestInstances runs the scripts in testdata/instance/*.txt against one Tracker of an instance i, with the service s, a
// share of 0.1 and a slack of 50. Times are in milliseconds. Each line is one of
//
//	new SHARE STARTED                      begins anew; without it the share is 0.1, and the instance runs since -60000
//	at MS
//	sync yes|no
//	instances N                            the live instances: i and others
//	order BUILD VERSION FINISH_BY AGE
//	remove
//	status BUILD running|done|rolled_back VERSION | status none
//	choose any|former|new [BUILD]
//	offer N CHOSEN                         chooses N times and sends each attempt as chosen; CHOSEN go to the new build
//	sent BUILD N
//	observe ROUTE BUILD good|bad LATENCY N
//	told BUILD VERSION AGE [bad]           another instance tells of the order, with a verdict if bad
//	evidence INSTANCE BUILD VERSION ROUTE NEW FAILED FORMER     tells of answers of each side
//	allowed BUILD yes|no
//	writes IN_PROGRESS [STATE VERSION]     the entry to be written, or nothing
//	phase PHASE|none
//	report nothing|AGE|bad
func TestInstances(t *testing.T) {
	names, err := filepath.Glob("testdata/instance/*.txt")
	if err != nil || len(names) == 0 {
		t.Fatalf("scripts: got %v, %v, want some", names, err)
	}
	for _, name := range names {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) { runInstance(t, name) })
	}
}

// states are the words of the scripts.
var states = map[string]State{"running": Running, "done": Done, "rolled_back": RolledBack, "none": ""}

// script is the state of a script of one instance.
type script struct {
	t          *testing.T
	start, now time.Time
	tr         *Tracker
}

func runInstance(t *testing.T, name string) {
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Unix(1000, 0)
	s := &script{t: t, start: start, now: start}
	s.begin(0.1, -time.Minute)
	for n, line := range strings.Split(string(text), "\n") {
		w := strings.Fields(line)
		if len(w) == 0 || w[0] == "#" {
			continue
		}
		if s.act(w) {
			continue
		}
		if got, want := s.ask(w); got != want {
			t.Errorf("line %d: %s: got %s, want %s", n+1, line, got, want)
		}
	}
}

func (s *script) begin(share float64, started time.Duration) {
	s.tr = New(Settings{Share: share, Slack: 50}, "i", s.start.Add(started))
}

func (s *script) ms(text string) time.Duration {
	return time.Duration(number(s.t, text)) * time.Millisecond
}

func (s *script) version(text string) store.Version { return store.Version(number(s.t, text)) }

// act carries out a line that is no check.
func (s *script) act(w []string) bool {
	switch w[0] {
	case "new":
		s.begin(number(s.t, w[1]), s.ms(w[2]))
	case "at":
		s.now = s.start.Add(s.ms(w[1]))
	case "sync":
		s.tr.SetInSync(w[1] == "yes")
		s.tr.Views(s.now)
	case "instances":
		ids := []ident.Instance{"i"}
		for n := range int(number(s.t, w[1])) - 1 {
			ids = append(ids, ident.Instance(fmt.Sprint("other", n)))
		}
		s.tr.SetInstances(ids)
	case "order":
		s.tr.SetOrder(Order{Service: "s", To: ident.Build(w[1]), Version: s.version(w[2]), FinishBy: s.ms(w[3]), Age: s.ms(w[4])}, s.now)
	case "remove":
		s.tr.RemoveOrder("s", s.now)
	case "status":
		st := Status{Service: "s"}
		if w[1] != "none" {
			st = Status{Service: "s", To: ident.Build(w[1]), State: states[w[2]], Version: s.version(w[3])}
		}
		s.tr.SetStatus(st, s.now)
	case "sent":
		for range int(number(s.t, w[2])) {
			s.tr.Sent("s", ident.Build(w[1]), s.now)
		}
	case "observe":
		for range int(number(s.t, w[5])) {
			s.tr.Observe("s", w[1], ident.Build(w[2]), w[3] == "bad", s.ms(w[4]), s.now)
		}
	case "told":
		e := Evidence{Service: "s", To: ident.Build(w[1]), Version: s.version(w[2]), Age: unit.Duration(s.ms(w[3])), RolledBack: len(w) > 4}
		s.tr.Merge([]Evidence{e}, s.now)
	case "evidence":
		n := func(i int) int64 { return int64(number(s.t, w[i])) }
		r := routeReport{w[4], counts{n(5), n(6)}, counts{n(7), 0, 0, n(7) * 100_000}}
		e := Evidence{
			Service: "s", To: ident.Build(w[2]), Version: s.version(w[3]),
			Instances: []instanceReport{{Instance: ident.Instance(w[1]), Sent: n(5) + n(7), Routes: []routeReport{r}}},
		}
		s.tr.Merge([]Evidence{e}, s.now)
	default:
		return false
	}
	return true
}

// ask returns what a line asks for and what it wants.
func (s *script) ask(w []string) (got, want string) {
	want = strings.Join(w[1:], " ")
	switch w[0] {
	case "choose":
		c, to := s.tr.Choose("s", s.now)
		return strings.TrimSpace(map[Choice]string{AnyBuild: "any", FormerBuilds: "former", NewBuild: "new"}[c] + " " + string(to)), want
	case "offer":
		chosen := 0
		for range int(number(s.t, w[1])) {
			c, to := s.tr.Choose("s", s.now)
			if c != NewBuild {
				to = "v1"
			} else {
				chosen++
			}
			s.tr.Sent("s", to, s.now)
		}
		return fmt.Sprint(chosen), w[2]
	case "allowed":
		return yes(s.tr.Allowed("s", ident.Build(w[1]), s.now)), w[2]
	case "writes":
		list := s.tr.Writes(s.now, func(ident.Service, ident.Build) int { return int(number(s.t, w[1])) })
		for _, st := range list {
			for word, state := range states {
				if state == st.State {
					got += fmt.Sprintf("%s %s %d", st.To, word, st.Version)
				}
			}
		}
		return got, strings.Join(w[2:], " ")
	case "phase":
		got = "none"
		for _, v := range s.tr.Views(s.now) {
			got = v.Phase
		}
		return got, want
	case "report":
		got = "nothing"
		for _, e := range s.tr.Report(s.now) {
			got = fmt.Sprint(e.Age.Std().Milliseconds())
			if e.RolledBack {
				got = "bad"
			}
		}
		return got, want
	}
	s.t.Fatalf("unknown command %q", w[0])
	return "", ""
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

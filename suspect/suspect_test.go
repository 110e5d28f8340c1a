package suspect

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocuslug/ident"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// ExampleTracker bans a content after three engines failed while they ran it.
func ExampleTracker() {
	l, now := New(Settings{}), time.Unix(0, 0)
	for _, u := range []ident.Upstream{"a", "b", "c"} {
		t, _ := l.Restriction(now, 7)
		fmt.Print(t, " ")
		l.RequestPlaced(now, u, 7)
		now = now.Add(time.Second)
		l.EngineFailed(now, u, 7)
		l.RequestRemoved(u, 7)
	}
	t, _ := l.Restriction(now, 7)
	fmt.Println(t == Banned)
	// Output: 0 1 2 true
}

// simulation runs requests on engines as their restrictions allow. Harmful contents make
// their engine fail.
type simulation struct {
	t        *rapid.T
	tracker  *Tracker
	now      time.Time
	runs     map[ident.Upstream][]uint64
	failures map[uint64]int // number of engine failures caused by each content
	banned   map[uint64]bool
	trials   map[ident.Upstream]uint64
	harmful  map[uint64]bool
}

var engines = []ident.Upstream{"a", "b", "c", "d", "e", "f"}

// place starts a request of content fp where it may run. Each content runs at most once at a
// time: the limit on failures does not hold for requests that run concurrently before the
// first failure.
func (s *simulation) place(fp uint64) {
	for _, fps := range s.runs {
		if slices.Contains(fps, fp) {
			return
		}
	}
	restriction, _ := s.tracker.Restriction(s.now, fp)
	if restriction == Banned {
		s.banned[fp] = true
		return
	}
	avoid := s.tracker.ExcludedEngines(s.now, fp)
	free := slices.DeleteFunc(slices.Clone(engines), func(u ident.Upstream) bool { return slices.Contains(avoid, u) })
	if len(free) == 0 {
		if restriction == Isolated {
			return
		}
		free = engines
	}
	u := rapid.SampledFrom(free).Draw(s.t, "engine")
	if restriction == Isolated {
		until := s.now.Add(s.tracker.TrialLength(fp))
		if !s.tracker.Reserve(s.now, u, fp, until) {
			return
		}
		s.tracker.BeginTrial(Trial{u, fp, until})
		s.trials[u] = fp
	}
	s.tracker.RequestPlaced(s.now, u, fp)
	s.runs[u] = append(s.runs[u], fp)
}

// decode lets engine u generate tokens. It fails if it runs a harmful content, and completes
// its answers otherwise.
func (s *simulation) decode(u ident.Upstream) {
	s.now = s.now.Add(time.Millisecond)
	i := slices.IndexFunc(s.runs[u], func(fp uint64) bool { return s.harmful[fp] })
	if i >= 0 {
		culprit := s.runs[u][i]
		if tried := s.trials[u]; s.harmful[tried] {
			culprit = tried // several harmful contents run here; the failure counts against the one on trial
		}
		s.failures[culprit]++
	}
	delete(s.trials, u)
	for _, fp := range s.runs[u] {
		if i >= 0 {
			s.tracker.EngineFailed(s.now, u, fp)
		} else {
			s.tracker.Completed(fp)
		}
		s.tracker.RequestRemoved(u, fp)
		s.tracker.EndTrial(u, fp)
	}
	s.runs[u] = nil
}

// TestFailuresPerContent sends harmful and harmless contents repeatedly. No content may
// cause more than three failures, all harmful ones must be banned in the end, and no
// harmless one may be banned.
func TestFailuresPerContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			t: t, tracker: New(Settings{}), now: time.Unix(0, 0), runs: make(map[ident.Upstream][]uint64),
			failures: make(map[uint64]int), banned: make(map[uint64]bool), trials: make(map[ident.Upstream]uint64), harmful: map[uint64]bool{1: true, 2: true},
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s.place(uint64(rapid.IntRange(1, 8).Draw(t, "content")))
			if rapid.Bool().Draw(t, "decode") {
				s.decode(rapid.SampledFrom(engines).Draw(t, "decoding"))
			}
			s.now = s.now.Add(100 * time.Millisecond)
		}
		for range 8 { // finally each content runs alone until it is banned or cleared
			for fp := uint64(1); fp <= 8; fp++ {
				for _, u := range engines {
					s.decode(u)
				}
				s.now = s.now.Add(maxTrialLength)
				s.place(fp)
			}
		}
		for fp := uint64(1); fp <= 8; fp++ {
			if s.failures[fp] > failuresToBan {
				t.Fatalf("content %d: got %d engine failures, want at most %d", fp, s.failures[fp], failuresToBan)
			}
			if s.banned[fp] != s.harmful[fp] {
				t.Fatalf("content %d: got banned %t, want %t", fp, s.banned[fp], s.harmful[fp])
			}
		}
	})
}

// TestMerge checks that a failure counts once at another instance, no matter how often and
// by how many instances it is reported, and that clearing a content is reported too.
func TestMerge(t *testing.T) {
	now := time.Unix(0, 0)
	a, b, c := New(Settings{}), New(Settings{}), New(Settings{})
	a.EngineFailed(now, "u", 7)
	b.EngineFailed(now.Add(time.Second), "u", 7) // the same failure, seen by another instance
	fromA, _ := a.TakeReport()
	fromB, _ := b.TakeReport()
	for _, r := range []Report{fromA, fromB, fromA} {
		c.Merge(now.Add(time.Second), r)
	}
	if got, _ := c.Restriction(now, 7); got != Separated {
		t.Errorf("after one failure reported three times: got restriction %d, want %d", got, Separated)
	}
	a.Completed(7)
	cleared, ok := a.TakeReport()
	c.Merge(now.Add(time.Second), cleared)
	if got, _ := c.Restriction(now, 7); !ok || got != Unrestricted {
		t.Errorf("after the content was cleared: got restriction %d, want %d", got, Unrestricted)
	}
	if _, more := a.TakeReport(); more {
		t.Error("second report: got one, want none")
	}
	c.EngineFailed(now, "u", 8)
	if got, _ := c.Restriction(now.Add(defaultFailureRetention+1), 8); got != Unrestricted {
		t.Errorf("after the retention period: got restriction %d, want %d", got, Unrestricted)
	}
}

// TestTrial checks that a failure of a reserved engine counts only against the content on
// trial, and that other contents are kept off the engine until the trial ends.
func TestTrial(t *testing.T) {
	now := time.Unix(0, 0)
	l := New(Settings{})
	if !l.Reserve(now, "u", 1, now.Add(time.Second)) || l.Reserve(now, "u", 2, now.Add(time.Second)) {
		t.Error("reserved engine: got it for a second content, want it for one")
	}
	if got := l.ExcludedEngines(now, 2); !slices.Equal(got, []ident.Upstream{"u"}) {
		t.Errorf("excluded engines: got %v, want the reserved one", got)
	}
	l.EngineFailed(now, "u", 1)
	l.EngineFailed(now, "u", 2)
	tried, _ := l.Restriction(now, 1)
	other, _ := l.Restriction(now, 2)
	if tried != Separated || other != Unrestricted {
		t.Errorf("restrictions after the failure: got %d and %d, want %d and %d", tried, other, Separated, Unrestricted)
	}
	l.EndTrial("u", 1)
	if got := l.ExcludedEngines(now, 3); len(got) != 0 {
		t.Errorf("excluded engines after the trial: got %v, want none", got)
	}
}

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

// ExampleLedger refuses a content at which three engines died.
func ExampleLedger() {
	l, now := New(Settings{}), time.Unix(0, 0)
	for _, u := range []ident.Upstream{"a", "b", "c"} {
		t, _ := l.Treat(now, 7)
		fmt.Print(t, " ")
		l.Placed(now, u, 7)
		now = now.Add(time.Second)
		l.Died(now, u, 7)
		l.Left(u, 7)
	}
	t, _ := l.Treat(now, 7)
	fmt.Println(t == Refuse)
	// Output: 0 1 2 true
}

// site places requests on engines as the treatments say. Some contents make
// their engine die.
type site struct {
	t        *rapid.T
	ledger   *Ledger
	now      time.Time
	runs     map[ident.Upstream][]uint64
	deaths   map[uint64]int // engines that each content killed
	refused  map[uint64]bool
	trials   map[ident.Upstream]uint64
	poisoned map[uint64]bool
}

var engines = []ident.Upstream{"a", "b", "c", "d", "e", "f"}

// place starts a request of content fp where it may run. A content runs once at
// a time: copies that run at once before the first death are beyond the bound.
func (s *site) place(fp uint64) {
	for _, fps := range s.runs {
		if slices.Contains(fps, fp) {
			return
		}
	}
	treatment, _ := s.ledger.Treat(s.now, fp)
	if treatment == Refuse {
		s.refused[fp] = true
		return
	}
	avoid := s.ledger.Avoid(s.now, fp)
	free := slices.DeleteFunc(slices.Clone(engines), func(u ident.Upstream) bool { return slices.Contains(avoid, u) })
	if len(free) == 0 {
		if treatment == Alone {
			return
		}
		free = engines
	}
	u := rapid.SampledFrom(free).Draw(s.t, "engine")
	if treatment == Alone {
		until := s.now.Add(s.ledger.TrialLength(fp))
		if !s.ledger.Reserve(s.now, u, fp, until) {
			return
		}
		s.ledger.Begin(Trial{u, fp, until})
		s.trials[u] = fp
	}
	s.ledger.Placed(s.now, u, fp)
	s.runs[u] = append(s.runs[u], fp)
}

// decode lets engine u go on: it dies if a content there is poisoned, and ends
// its answers otherwise.
func (s *site) decode(u ident.Upstream) {
	s.now = s.now.Add(time.Millisecond)
	i := slices.IndexFunc(s.runs[u], func(fp uint64) bool { return s.poisoned[fp] })
	if i >= 0 {
		killer := s.runs[u][i]
		if tried := s.trials[u]; s.poisoned[tried] {
			killer = tried // both would have; the trial is of this one
		}
		s.deaths[killer]++
	}
	delete(s.trials, u)
	for _, fp := range s.runs[u] {
		if i >= 0 {
			s.ledger.Died(s.now, u, fp)
		} else {
			s.ledger.Finished(fp)
		}
		s.ledger.Left(u, fp)
		s.ledger.End(u, fp)
	}
	s.runs[u] = nil
}

// TestBounds sends poisoned and sound contents again and again: none kills more
// than three engines, all poisoned ones come to be refused, no sound one is.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &site{
			t: t, ledger: New(Settings{}), now: time.Unix(0, 0), runs: make(map[ident.Upstream][]uint64),
			deaths: make(map[uint64]int), refused: make(map[uint64]bool), trials: make(map[ident.Upstream]uint64), poisoned: map[uint64]bool{1: true, 2: true},
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s.place(uint64(rapid.IntRange(1, 8).Draw(t, "content")))
			if rapid.Bool().Draw(t, "decode") {
				s.decode(rapid.SampledFrom(engines).Draw(t, "decoding"))
			}
			s.now = s.now.Add(100 * time.Millisecond)
		}
		for range 8 { // in the end each is sent alone until it is judged
			for fp := uint64(1); fp <= 8; fp++ {
				for _, u := range engines {
					s.decode(u)
				}
				s.now = s.now.Add(trialMost)
				s.place(fp)
			}
		}
		for fp := uint64(1); fp <= 8; fp++ {
			if s.deaths[fp] > deathsRefuse {
				t.Fatalf("content %d: got %d engines killed, want at most %d", fp, s.deaths[fp], deathsRefuse)
			}
			if s.refused[fp] != s.poisoned[fp] {
				t.Fatalf("content %d: got refused %t, want %t", fp, s.refused[fp], s.poisoned[fp])
			}
		}
	})
}

// TestMerge asks that what one instance saw counts once at another, however
// often and from however many it hears, and that an acquittal is heard too.
func TestMerge(t *testing.T) {
	now := time.Unix(0, 0)
	a, b, c := New(Settings{}), New(Settings{}), New(Settings{})
	a.Died(now, "u", 7)
	b.Died(now.Add(time.Second), "u", 7) // the same death, seen there
	fromA, _ := a.Take()
	fromB, _ := b.Take()
	for _, r := range []Report{fromA, fromB, fromA} {
		c.Merge(now.Add(time.Second), r)
	}
	if got, _ := c.Treat(now, 7); got != Apart {
		t.Errorf("after one death told three times: got treatment %d, want %d", got, Apart)
	}
	a.Finished(7)
	acquitted, ok := a.Take()
	c.Merge(now.Add(time.Second), acquitted)
	if got, _ := c.Treat(now, 7); !ok || got != Free {
		t.Errorf("after an acquittal: got treatment %d, want %d", got, Free)
	}
	if _, more := a.Take(); more {
		t.Error("second report: got one, want none")
	}
	c.Died(now, "u", 8)
	if got, _ := c.Treat(now.Add(defaultMemory+1), 8); got != Free {
		t.Errorf("after the memory: got treatment %d, want %d", got, Free)
	}
}

// TestTrial asks that the death of an engine that is set apart counts against
// the content on trial alone, and that others keep away from it meanwhile.
func TestTrial(t *testing.T) {
	now := time.Unix(0, 0)
	l := New(Settings{})
	if !l.Reserve(now, "u", 1, now.Add(time.Second)) || l.Reserve(now, "u", 2, now.Add(time.Second)) {
		t.Error("reserved engine: got it for a second content, want it for one")
	}
	if got := l.Avoid(now, 2); !slices.Equal(got, []ident.Upstream{"u"}) {
		t.Errorf("engines to avoid: got %v, want the one set apart", got)
	}
	l.Died(now, "u", 1)
	l.Died(now, "u", 2)
	tried, _ := l.Treat(now, 1)
	other, _ := l.Treat(now, 2)
	if tried != Apart || other != Free {
		t.Errorf("treatments after the death: got %d and %d, want %d and %d", tried, other, Apart, Free)
	}
	l.End("u", 1)
	if got := l.Avoid(now, 3); len(got) != 0 {
		t.Errorf("engines to avoid after the trial: got %v, want none", got)
	}
}

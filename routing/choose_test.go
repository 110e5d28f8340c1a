package routing

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"crocuslug/affinity"
	"crocuslug/ident"
	"crocuslug/prefix"
	"crocuslug/unit"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7")
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

func newChooser(seed uint64, list []Candidate) *Chooser {
	c := New(Settings{}, "home", rand.New(rand.NewPCG(seed, 1)).Uint64, affinity.New(affinity.Settings{}))
	c.SetCandidates(list)
	return c
}

// reference is the expected state of one upstream, against which each decision is checked.
type reference struct {
	cand     Candidate
	out      bool
	inFlight int
}

func (tr *reference) allowed(r Request) bool {
	held := slices.Contains(tr.cand.Models, r.Model)
	wanted := tr.cand.Build.Continues(r.Build) && (r.ExcludeBuild == "" || r.ExcludeBuild != tr.cand.Build)
	return !tr.out && !tr.cand.Leaving && held && wanted && !slices.Contains(r.Exclude, tr.cand.Upstream)
}

// TestInvariants applies random events and checks each decision against a search of the
// whole list.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := []Model{{Name: "m"}, {Name: "n", Version: "2"}}
		var list []Candidate
		for i := range rapid.IntRange(1, 8).Draw(t, "engines") {
			held := rapid.SliceOfNDistinct(rapid.SampledFrom(models), 1, 2, rapid.ID[Model]).Draw(t, "held")
			build := rapid.SampledFrom([]ident.Build{"", "v1", "v2"}).Draw(t, "build")
			list = append(list, Candidate{Upstream: name(i), Slots: 3, Models: held, Near: rapid.Bool().Draw(t, "near"), Build: build})
		}
		c := newChooser(1, list)
		c.cfg.MaxHops = rapid.IntRange(1, 2).Draw(t, "hops")
		all := map[ident.Upstream]*reference{}
		for _, cand := range list {
			all[cand.Upstream] = &reference{cand: cand}
		}
		now := start
		pick := func() *reference { return all[rapid.SampledFrom(list).Draw(t, "u").Upstream] }
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "dt")) * time.Millisecond)
			switch rapid.IntRange(0, 7).Draw(t, "op") {
			case 0:
				tr := pick()
				tr.out = !tr.out
				c.SetOut(tr.cand.Upstream, tr.out)
			case 1:
				tr := pick()
				tr.cand.Leaving = !tr.cand.Leaving
				c.SetLeaving(tr.cand.Upstream, tr.cand.Leaving)
			case 2:
				tr := pick()
				age := time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond
				c.ReportLoad(Report{Upstream: tr.cand.Upstream, At: now.Add(-age), Running: rapid.IntRange(0, 5).Draw(t, "running")})
			case 3:
				if tr := pick(); tr.inFlight > 0 {
					tr.inFlight--
					c.Done(tr.cand.Upstream, now)
				}
			case 4:
				if tr := pick(); tr.inFlight > 0 {
					tr.inFlight--
					c.Failed(tr.cand.Upstream, now)
				}
			case 5:
				d := rapid.SampledFrom([]ident.Domain{"home", "east", "west"}).Draw(t, "domain")
				c.ReportCapacity(DomainCapacity{Domain: d, Free: rapid.IntRange(0, 2).Draw(t, "free"), At: now})
			default:
				r := Request{
					Model:        rapid.SampledFrom(models).Draw(t, "model"),
					Blocks:       []prefix.Block{1, prefix.Block(rapid.IntRange(2, 4).Draw(t, "block"))},
					PromptTokens: 128,
					Exclude:      rapid.SliceOfN(rapid.SampledFrom([]ident.Upstream{name(0), name(1)}), 0, 2).Draw(t, "exclude"),
					Resumed:      rapid.Bool().Draw(t, "resumed"),
					Visited:      rapid.SampledFrom([][]ident.Domain{nil, {"east"}, {"east", "west"}}).Draw(t, "visited"),
				}
				r.ExcludeBuild = rapid.SampledFrom([]ident.Build{"", "", "v2"}).Draw(t, "excluded build")
				if v1 := ident.Build("v1"); rapid.IntRange(0, 3).Draw(t, "keeps build") == 0 {
					r.Build = &v1
				}
				checkChoice(t, c, all, r, now)
			}
		}
		for u, tr := range all {
			if got, want := c.engines[u].inFlight, tr.inFlight; got != want {
				t.Fatalf("in flight at %s: got %d, want %d", u, got, want)
			}
		}
	})
}

func checkChoice(t *rapid.T, c *Chooser, all map[ident.Upstream]*reference, r Request, now time.Time) {
	usable, room := 0, 0
	for u, tr := range all {
		if !tr.allowed(r) {
			continue
		}
		usable++
		if c.free(c.engines[u], now) > 0 {
			room++
		}
	}
	d := c.Choose(r, now)
	switch {
	case d.Kind == Send:
		if !all[d.Upstream].allowed(r) {
			t.Fatalf("sent to %s, which is not allowed for %+v", d.Upstream, r)
		}
		if room == 0 && !r.Resumed {
			t.Fatalf("new request sent to %s, which is full", d.Upstream)
		}
		all[d.Upstream].inFlight++
	case r.Resumed && usable > 0:
		t.Fatalf("resumed request: got %v with %d usable upstreams, want Send", d, usable)
	case room > 0:
		t.Fatalf("got %v with %d upstreams free, want Send", d, room)
	case d.Kind == SpillTo:
		if d.Domain == "home" || slices.Contains(r.Visited, d.Domain) || len(r.Visited) >= c.cfg.MaxHops {
			t.Fatalf("spilled to %s after %v", d.Domain, r.Visited)
		}
	case (d.Kind == Wait) != (usable > 0):
		t.Fatalf("got %v with %d upstreams", d, usable)
	}
}

func name(i int) ident.Upstream {
	return ident.Upstream(fmt.Sprintf("e%03d", i))
}

func names[T ~string](n int) (list []T) {
	for i := range n {
		list = append(list, T(name(i)))
	}
	return list
}

func TestSubsetEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 80).Draw(t, "instances")
		k := rapid.IntRange(1, 120).Draw(t, "upstreams")
		size := rapid.IntRange(1, 40).Draw(t, "size")
		instances, upstreams := names[ident.Instance](n), names[ident.Upstream](k)
		cover := make(map[ident.Upstream]int)
		for _, me := range instances {
			got := Subset(instances, me, upstreams, size)
			if len(got) != min(size, k) {
				t.Fatalf("subset size: got %d, want %d", len(got), min(size, k))
			}
			for _, u := range got {
				cover[u]++
			}
		}
		for _, u := range upstreams {
			if got, want := cover[u], n*min(size, k)/k; got != want && got != want+1 {
				t.Fatalf("instances of %s: got %d, want %d or one more", u, got, want)
			}
		}
	})
}

// TestLoadCorrected checks that this instance's requests are counted once, whether or not a
// delayed report includes them.
func TestLoadCorrected(t *testing.T) {
	c := newChooser(3, []Candidate{{Upstream: "a", Near: true}})
	for range 10 {
		c.Choose(Request{}, start)
	}
	at := start.Add(time.Second)
	for range 3 {
		c.Choose(Request{}, at.Add(time.Second))
	}
	c.ReportLoad(Report{Upstream: "a", At: at, Running: 14, Waiting: 1})
	c.Done("a", at.Add(time.Second))
	if got, want := c.load(c.engines["a"], at), 17.0; got != want {
		t.Errorf("load: got %v, want %v: 5 of other instances and 12 of this one", got, want)
	}
}

func TestAffinityYieldsToLoad(t *testing.T) {
	var list []Candidate
	for i := range 8 {
		list = append(list, Candidate{Upstream: name(i), Slots: 64, Near: true})
	}
	c := newChooser(3, list)
	r := Request{Blocks: []prefix.Block{1, 2, 3, 4, 5, 6, 7, 8}, PromptTokens: 512}
	first := c.Choose(r, start).Upstream
	for range 4 {
		if got := c.Choose(r, start).Upstream; got != first {
			t.Errorf("idle: got %s, want %s, which has the prefix cached", got, first)
		}
	}
	c.ReportLoad(Report{Upstream: first, At: start, Running: 60})
	if got := c.Choose(r, start).Upstream; got == first {
		t.Errorf("loaded: got %s, want another", got)
	}
}

func TestSlowEngineAvoided(t *testing.T) {
	c := newChooser(3, []Candidate{{Upstream: "a", Near: true}, {Upstream: "b", Near: true}})
	for i := range 60 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		c.ReportTokens("a", 10, 200*time.Millisecond, now)
		c.ReportTokens("b", 10, 800*time.Millisecond, now)
	}
	sent := map[ident.Upstream]int{}
	for range 20 {
		sent[c.Choose(Request{}, start.Add(time.Second)).Upstream]++
	}
	if sent["a"] <= sent["b"] {
		t.Errorf("sent: got %v, want more to a than to the slower b", sent)
	}
}

// TestUnequalPromptParts checks that a prompt whose parts differ in size goes to the upstream
// that has read the most tokens of it, unless they save too little time.
func TestUnequalPromptParts(t *testing.T) {
	parts := []prefix.Part{{Name: "system", Tokens: 200}, {Name: "subject", Tokens: 5000}}
	blocks := prefix.Chain("m", parts)
	other := prefix.Chain("m", []prefix.Part{parts[0], {Name: "another", Tokens: 5000}})
	tests := []struct {
		name   string
		blocks []prefix.Block
		least  time.Duration
		want   bool // all requests go to the upstream that has read blocks
	}{
		{"all parts", blocks, 100 * time.Millisecond, true},
		{"the first part", other, 0, true},
		{"the first part saves too little", other, 100 * time.Millisecond, false},
		{"no part", nil, 0, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var list []Candidate
			for i := range 8 {
				list = append(list, Candidate{Upstream: name(i), Near: true})
			}
			c := newChooser(3, list)
			c.cfg.MinSaving = unit.Duration(tc.least)
			c.NotePrompt(name(5), blocks, start)
			got := 0
			const choices = 50
			for range choices {
				d := c.Choose(Request{Blocks: tc.blocks, Sizes: []int{200, 5000}, PromptTokens: 5200}, start)
				if d.Upstream == name(5) {
					got++
				}
				c.Done(d.Upstream, start)
			}
			if (got == choices) != tc.want {
				t.Errorf("got %d of %d there, want all: %v", got, choices, tc.want)
			}
		})
	}
}

package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"crocuslug/affinity"
	"crocuslug/ident"
	"crocuslug/prefix"
)

// simulation is a seeded run of several instances with the same engines in virtual time, with
// delayed load reports.
type simulation struct {
	slow    int // factor by which requests take longer at the first engine
	prompts int // number of distinct prompts; 0 means that requests have no prompt blocks
	policy  func(c *Chooser, n int, r Request, now time.Time) ident.Upstream
}

// simulationResult is the mean over time of the greatest load divided by the mean load, and
// the fraction of prompt tokens that engines had cached.
type simulationResult struct {
	imbalance float64
	cached    float64
}

const (
	instances    = 6
	engines      = 30
	subset       = 15
	steps        = 4000 // of 10 ms, with one request in each
	reportSteps  = 100  // between reports
	lagSteps     = 200  // age of a report
	holdSteps    = 700  // mean duration of a request
	cacheBlocks  = 512  // blocks that an engine caches
	promptBlocks = 32
	step         = 10 * time.Millisecond
)

func choose(c *Chooser, _ int, r Request, now time.Time) ident.Upstream {
	return c.Choose(r, now).Upstream
}

func roundRobin(_ *Chooser, n int, _ Request, _ time.Time) ident.Upstream {
	return name(n % engines)
}

// leastReported chooses the engine with the lowest reported load.
func leastReported(c *Chooser, _ int, _ Request, _ time.Time) ident.Upstream {
	byReport := func(a, b *engine) int { return a.report.Running - b.report.Running }
	return slices.MinFunc(c.list, byReport).Upstream
}

// newChoosers returns the choosers of all instances.
func newChoosers() []*Chooser {
	fleet, upstreams := names[ident.Instance](instances), names[ident.Upstream](engines)
	var cs []*Chooser
	for i, me := range fleet {
		near := Subset(fleet, me, upstreams, subset)
		var list []Candidate
		for _, u := range upstreams {
			list = append(list, Candidate{Upstream: u, Near: slices.Contains(near, u)})
		}
		cs = append(cs, newChooser(uint64(i), list))
	}
	return cs
}

func (tr simulation) run() (o simulationResult) {
	rng := rand.New(rand.NewPCG(1, 2))
	cs := newChoosers()
	load := make([][engines]int, steps+1)
	ends := map[int][]func(time.Time){}
	caches := map[ident.Upstream]*affinity.Index{}
	for _, u := range names[ident.Upstream](engines) {
		caches[u] = affinity.New(affinity.Settings{Blocks: cacheBlocks})
	}
	for s := range steps {
		now := start.Add(time.Duration(s) * step)
		for _, end := range ends[s] {
			end(now)
		}
		if s%reportSteps == 0 && s > lagSteps {
			report(cs, load[s-lagSteps], now.Add(-lagSteps*step))
		}
		c := cs[rng.IntN(instances)]
		r := Request{PromptTokens: promptBlocks * defaultBlockTokens}
		if tr.prompts > 0 {
			p := min(rng.IntN(tr.prompts), rng.IntN(tr.prompts))
			for b := range promptBlocks {
				r.Blocks = append(r.Blocks, prefix.Block(1+p*promptBlocks+b))
			}
		}
		u := tr.policy(c, s, r, now)
		i := slices.IndexFunc(c.list, func(e *engine) bool { return e.Upstream == u })
		for _, h := range caches[u].Holders(r.Blocks, now) {
			o.cached += h.Blocks / promptBlocks / steps
		}
		caches[u].RecordPrompt(u, r.Blocks, now)
		hold := 1 + int(rng.ExpFloat64()*holdSteps)
		if i == 0 {
			hold *= tr.slow
		}
		load[s][i]++
		ends[s+hold] = append(ends[s+hold], func(now time.Time) {
			load[int(now.Sub(start)/step)][i]--
			c.Done(u, now)
		})
		load[s+1] = load[s]
		if s >= steps/2 {
			o.imbalance += imbalance(load[s]) * 2 / steps
		}
	}
	return o
}

func report(cs []*Chooser, load [engines]int, at time.Time) {
	for _, c := range cs {
		for i, e := range c.list {
			if e.Near {
				c.ReportLoad(Report{Upstream: e.Upstream, At: at, Running: load[i]})
			}
		}
	}
}

func imbalance(load [engines]int) float64 {
	most, total := 0, 0
	for _, n := range load {
		most = max(most, n)
		total += n
	}
	return float64(most) * engines / float64(total)
}

// TestBetterThanNaivePolicies compares the mean load imbalance and the fraction of cached
// tokens with those of naive policies, in seeded virtual time.
func TestBetterThanNaivePolicies(t *testing.T) {
	run := func(label string, tr simulation) simulationResult {
		o := tr.run()
		t.Logf("%s: max/mean load %.2f, prompt tokens cached %.2f", label, o.imbalance, o.cached)
		return o
	}
	robin := run("round robin", simulation{1, 400, roundRobin})
	least := run("least reported", simulation{1, 400, leastReported})
	own := run("chooser", simulation{1, 400, choose})
	plain := run("chooser, no shared prompts", simulation{1, 0, choose})
	robinSlow := run("round robin, one engine slow by 3", simulation{3, 400, roundRobin})
	ownSlow := run("chooser, one engine slow by 3", simulation{3, 400, choose})
	if own.cached <= 2*robin.cached {
		t.Errorf("prompt tokens cached: got %.2f, want above twice round robin's %.2f", own.cached, robin.cached)
	}
	less := func(label string, got, want float64) {
		if got >= want {
			t.Errorf("imbalance, %s: got %.2f, want below %.2f", label, got, want)
		}
	}
	less("against least reported", own.imbalance, least.imbalance)
	less("no shared prompts", plain.imbalance, robin.imbalance)
	less("one engine slow", ownSlow.imbalance, robinSlow.imbalance)
}

// TestResumedRequestsSpread checks that the streams of a lost engine are distributed evenly
// when several instances with equally old reports resume them.
func TestResumedRequestsSpread(t *testing.T) {
	const survivors, streams = 4, 60
	got := map[ident.Upstream]int{}
	for i := range instances {
		c := newChooser(uint64(i), nil)
		var list []Candidate
		for k := range survivors + 1 {
			list = append(list, Candidate{Upstream: name(k), Near: true})
		}
		c.SetCandidates(list)
		for k := range list {
			c.ReportLoad(Report{Upstream: name(k), At: start, Running: 38 - 4*k})
		}
		for range streams / instances {
			d := c.Choose(Request{Resumed: true, Exclude: []ident.Upstream{name(0)}}, start.Add(time.Second))
			got[d.Upstream]++
		}
	}
	t.Logf("resumed streams by engine: %v", got)
	for u, n := range got {
		if most := 2 * streams / survivors; n > most || u == name(0) {
			t.Errorf("streams at %s: got %d, want at most %d and none at the lost engine", u, n, most)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	const upstreams, near = 546, 32
	for label, running := range map[string]int{"room": 30, "full": 80} {
		b.Run(label, func(b *testing.B) {
			var list []Candidate
			for i := range upstreams {
				list = append(list, Candidate{Upstream: name(i), Models: []Model{{Name: "m"}}, Near: i < near})
			}
			c := newChooser(1, list)
			for i := range upstreams {
				c.ReportLoad(Report{Upstream: name(i), At: start, Running: running + i%5})
			}
			r := Request{Model: Model{Name: "m"}, PromptTokens: 2048}
			for i := range prefix.Block(promptBlocks) {
				r.Blocks = append(r.Blocks, i)
			}
			for b.Loop() {
				if d := c.Choose(r, start); d.Kind == Send {
					c.Done(d.Upstream, start)
				}
			}
		})
	}
}

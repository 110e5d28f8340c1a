package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"crocuslug/affinity"
	"crocuslug/ident"
	"crocuslug/prefix"
)

// trial is one seeded run of several instances before the same engines in
// virtual time, with reports that lag.
type trial struct {
	instances int
	engines   int
	subset    int
	rate      int           // requests per step of 10 ms, over all instances
	lag       time.Duration // age of reports
	steps     int
	slow      int // factor by which the first engine holds requests longer; 0 means none does
	prompts   int // distinct prompts of 32 blocks; 0 means none shared
	policy    func(in int, c *Chooser, r Request, now time.Time) ident.Upstream
}

type outcome struct {
	imbalance float64 // mean over time of greatest load by mean load
	hit       float64 // share of prompt tokens found in a cache
}

const (
	step         = 10 * time.Millisecond
	cacheBlocks  = 512 // blocks that an engine caches
	promptBlocks = 32
)

// choosers returns the policy under test.
func choosers(_ int, c *Chooser, r Request, now time.Time) ident.Upstream {
	return c.Choose(r, now).Upstream
}

// roundRobin is the naive policy.
func roundRobin(list []Candidate) func(int, *Chooser, Request, time.Time) ident.Upstream {
	next := map[int]int{}
	return func(in int, _ *Chooser, _ Request, _ time.Time) ident.Upstream {
		next[in]++
		return list[(next[in]+in*7)%len(list)].Upstream
	}
}

// leastReported sends to the engine with the lowest report, as a naive reader does.
func leastReported(_ int, c *Chooser, _ Request, _ time.Time) ident.Upstream {
	best := c.order[0]
	for _, e := range c.order {
		if e.report.Running < best.report.Running {
			best = e
		}
	}
	return best.Upstream
}

func (tr trial) run(seed uint64) outcome {
	rng := rand.New(rand.NewPCG(seed, 2))
	var upstreams []ident.Upstream
	for i := range tr.engines {
		upstreams = append(upstreams, name(i))
	}
	var names []ident.Instance
	for i := range tr.instances {
		names = append(names, ident.Instance(rune('a'+i)))
	}
	var cs []*Chooser
	for i := range tr.instances {
		c := newChooser(seed+uint64(i), nil)
		near := map[ident.Upstream]bool{}
		for _, u := range Subset(names, names[i], upstreams, tr.subset) {
			near[u] = true
		}
		var list []Candidate
		for _, u := range upstreams {
			list = append(list, Candidate{Upstream: u, Slots: 64, Near: near[u]})
		}
		c.SetCandidates(list)
		cs = append(cs, c)
	}
	load := map[ident.Upstream]int{}
	caches := map[ident.Upstream]*affinity.Index{}
	for _, u := range upstreams {
		caches[u] = affinity.New(affinity.Settings{Blocks: cacheBlocks})
	}
	type end struct {
		u  ident.Upstream
		in int
	}
	ends := map[int][]end{}
	past := map[int]map[ident.Upstream]int{}
	var o outcome
	hits, asked, counted := 0.0, 0.0, 0
	lagSteps := int(tr.lag / step)
	for s := range tr.steps {
		now := start.Add(time.Duration(s) * step)
		for _, e := range ends[s] {
			load[e.u]--
			cs[e.in].Done(e.u, now)
		}
		delete(ends, s)
		past[s] = map[ident.Upstream]int{}
		for u, n := range load {
			past[s][u] = n
		}
		delete(past, s-lagSteps-1)
		if s%100 == 0 && s > lagSteps {
			for _, c := range cs {
				for _, e := range c.order {
					if e.Near {
						c.ReportLoad(Report{Upstream: e.Upstream, At: now.Add(-tr.lag), Running: past[s-lagSteps][e.Upstream]})
					}
				}
			}
		}
		for range tr.rate {
			in := rng.IntN(tr.instances)
			r := Request{PromptTokens: promptBlocks * defaultBlockTokens}
			if tr.prompts > 0 {
				p := min(rng.IntN(tr.prompts), rng.IntN(tr.prompts))
				for b := range promptBlocks {
					r.Blocks = append(r.Blocks, prefix.Block(1+p*promptBlocks+b))
				}
			}
			u := tr.policy(in, cs[in], r, now)
			load[u]++
			hs := caches[u].Holders(r.Blocks, now)
			if len(hs) > 0 {
				hits += hs[0].Blocks
			}
			asked += promptBlocks
			caches[u].Note(u, r.Blocks, now)
			life := 1 + int(rng.ExpFloat64()*700)
			if u == upstreams[0] && tr.slow > 0 {
				life *= tr.slow
			}
			ends[s+life] = append(ends[s+life], end{u, in})
		}
		if s > tr.steps/2 {
			total, most := 0, 0
			for _, u := range upstreams {
				total += load[u]
				most = max(most, load[u])
			}
			o.imbalance += float64(most) * float64(tr.engines) / float64(total)
			counted++
		}
	}
	o.imbalance /= float64(counted)
	o.hit = hits / asked
	return o
}

// TestBeatsNaive compares mean load imbalance and cache hits with the naive
// policies in seeded virtual time.
func TestBeatsNaive(t *testing.T) {
	base := trial{instances: 6, engines: 30, subset: 15, rate: 1, lag: 2 * time.Second, steps: 4000, prompts: 400}
	var list []Candidate
	for i := range base.engines {
		list = append(list, Candidate{Upstream: name(i)})
	}
	robin, least, own := base, base, base
	robin.policy = roundRobin(list)
	least.policy = leastReported
	own.policy = choosers
	r, l, o := robin.run(1), least.run(1), own.run(1)
	t.Logf("max/mean load: round robin %.2f, least reported %.2f, chooser %.2f", r.imbalance, l.imbalance, o.imbalance)
	t.Logf("prompt tokens cached: round robin %.2f, least reported %.2f, chooser %.2f", r.hit, l.hit, o.hit)
	own.prompts = 0
	n := own.run(1)
	t.Logf("max/mean load without shared prompts: chooser %.2f", n.imbalance)
	robin.slow, own.slow = 3, 3
	sr, so := robin.run(1), own.run(1)
	t.Logf("max/mean load, one engine slow by 3: round robin %.2f, chooser %.2f", sr.imbalance, so.imbalance)
	if so.imbalance >= sr.imbalance {
		t.Errorf("imbalance with a slow engine: got %.2f, want below round robin's %.2f", so.imbalance, sr.imbalance)
	}
	if n.imbalance >= r.imbalance {
		t.Errorf("imbalance: got %.2f, want below round robin's %.2f", n.imbalance, r.imbalance)
	}
	if o.imbalance >= l.imbalance {
		t.Errorf("imbalance: got %.2f, want below that of least reported %.2f", o.imbalance, l.imbalance)
	}
	if o.hit <= r.hit {
		t.Errorf("cache hits: got %.2f, want above round robin's %.2f", o.hit, r.hit)
	}
}

// TestStormSpreads resumes the streams of one engine through several instances
// whose reports are all equally old.
func TestStormSpreads(t *testing.T) {
	const engines, instances, streams = 5, 6, 60
	got := map[ident.Upstream]int{}
	for i := range instances {
		var list []Candidate
		for k := range engines {
			list = append(list, Candidate{Upstream: name(k), Slots: 64, Near: true})
		}
		c := newChooser(uint64(i), list)
		for k := range engines {
			c.ReportLoad(Report{Upstream: name(k), At: start, Running: 38 - 4*k})
		}
		for range streams / instances {
			d := c.Choose(Request{Resumed: true, Exclude: []ident.Upstream{name(0)}}, start.Add(time.Second))
			got[d.Upstream]++
		}
	}
	t.Logf("resumed streams by engine: %v", got)
	if got[name(0)] != 0 {
		t.Errorf("the lost engine: got %d streams, want 0", got[name(0)])
	}
	const most = 2 * streams / (engines - 1)
	for u, n := range got {
		if n > most {
			t.Errorf("streams at %s: got %d, want at most %d", u, n, most)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	const engines, subset = 546, 32
	for _, full := range []bool{false, true} {
		label := "room"
		running := 30
		if full {
			label = "full"
			running = 80
		}
		b.Run(label, func(b *testing.B) {
			var list []Candidate
			for i := range engines {
				list = append(list, Candidate{Upstream: name(i), Slots: 64, Models: []Model{{Name: "m"}}, Near: i < subset})
			}
			c := newChooser(1, list)
			for i := range engines {
				c.ReportLoad(Report{Upstream: name(i), At: start, Running: running + i%5})
			}
			r := Request{Model: Model{Name: "m"}, PromptTokens: 2048}
			for i := range prefix.Block(promptBlocks) {
				r.Blocks = append(r.Blocks, i)
			}
			for b.Loop() {
				d := c.Choose(r, start)
				if d.Kind == Send {
					c.Done(d.Upstream, start)
				}
			}
		})
	}
}

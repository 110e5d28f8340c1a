package measureload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"crocuslug/configuration"
	"crocuslug/daemon"
	"crocuslug/ident"
	"crocuslug/measure"
	"crocuslug/standinsite"
)

// affinityFigures are the figures of prefix-affinity.
type affinityFigures struct {
	PromptTokens    uint64
	Prefilled       uint64
	CachedShare     float64 // share of the prompt tokens that engines found in their caches
	MaxOverMeanLoad float64 // tokens decoded by the busiest engine, relative to the mean
	FirstTokenP50Ms *float64
	FirstTokenP95Ms *float64
	Refused         map[string]int
}

// affinityDeployment runs with small caches, so that no engine can cache all prompts.
var affinityDeployment = deployment{
	domains:         []ident.Domain{"d1"},
	instances:       3,
	engines:         8,
	slots:           6,
	tokenInterval:   25 * time.Millisecond,
	prefillPerToken: 300 * time.Microsecond,
	requestKinds: []requestKind{
		{workspace: "case", priority: configuration.Normal, weight: 1, loadShare: 1, meanTokens: 30, promptBytes: 6000, deadline: 4 * time.Second},
	},
}

// Prompts and load of prefix-affinity.
const (
	affinityPrompts     = 24
	affinityCacheBlocks = 100 // cache size of an engine in blocks
	affinityLoad        = 0.6 // offered load as a share of capacity
	affinityDuration    = 15 * time.Second
)

// runAffinity sends requests whose prompts share prefixes, some prefixes more often
// than others.
func runAffinity(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	var r measure.Report
	d := affinityDeployment
	settings := d.siteSettings(cfg.Seed)
	settings.Options = daemon.Options{RoundRobin: cfg.Baseline}
	settings.Engine.CacheBlocks = affinityCacheBlocks
	site := standinsite.New(settings)
	defer site.Stop()
	if err := site.Start(); err != nil {
		return r, err
	}
	list := plan(d, []phase{{affinityDuration, affinityLoad}}, cfg.Seed)
	sharePrefixes(list, d.requestKinds[0].promptBytes, cfg.Seed)
	t := newTally(d, &r)
	f := affinityFigures{Refused: t.figures.Refused}
	for _, a := range sendArrivals(ctx, site, d, list) {
		t.record(a)
		const bytesPerToken = 4
		if a.Err == nil {
			f.PromptTokens += uint64(len(a.prompt) / bytesPerToken)
		}
	}
	if !cfg.Baseline {
		t.checkIdle(site)
	}
	decoded, prefilled := site.Decoded()
	busiest := uint64(0)
	for _, e := range site.Engines {
		busiest = max(busiest, e.Counters().Decoded)
	}
	f.Prefilled = prefilled
	f.CachedShare = 1 - float64(prefilled)/float64(f.PromptTokens)
	f.MaxOverMeanLoad = float64(busiest) * float64(len(site.Engines)) / float64(decoded)
	f.FirstTokenP50Ms = measure.Percentile(t.firstTokenTimes, 50)
	f.FirstTokenP95Ms = measure.Percentile(t.firstTokenTimes, 95)
	r.Figures = f
	return r, nil
}

// sharePrefixes replaces the prompts of the arrivals by ones with shared prefixes. The n-th
// prefix occurs with a frequency proportional to 1/n.
func sharePrefixes(list []arrival, size int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	prompts := make([]string, affinityPrompts)
	total := 0.0
	for i := range prompts {
		prompts[i] = drawPrompt(rng, size)
		total += 1 / float64(i+1)
	}
	for i := range list {
		at := rng.Float64() * total
		n := 0
		for ; n < len(prompts)-1 && at > 1/float64(n+1); n++ {
			at -= 1 / float64(n+1)
		}
		list[i].prompt = prompts[n] + fmt.Sprintf("question %d", i)
	}
}

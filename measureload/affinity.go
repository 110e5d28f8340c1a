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

// affinityFigures are the figures of shared prompts.
type affinityFigures struct {
	PromptTokens    uint64
	Prefilled       uint64
	CachedShare     float64 // of the prompt tokens
	MaxOverMeanLoad float64 // tokens decoded by the busiest engine over the mean
	FirstTokenP50Ms *float64
	FirstTokenP95Ms *float64
	Refused         map[string]int
}

// affinityShape has small caches, so that not all engines can hold all prompts.
var affinityShape = shape{
	domains:   []ident.Domain{"d1"},
	instances: 3,
	engines:   8,
	slots:     6,
	interval:  25 * time.Millisecond,
	prefill:   300 * time.Microsecond,
	kinds: []kind{
		{workspace: "case", priority: configuration.Normal, share: 1, part: 1, tokens: 30, prompt: 6000, deadline: 4 * time.Second},
	},
}

// Shape of the shared prompts.
const (
	affinityPrompts = 24
	affinityBlocks  = 100 // of an engine's cache
	affinityLoad    = 0.6
	affinityLength  = 15 * time.Second
)

// runAffinity sends requests that share the starts of their prompts, some more
// often than others.
func runAffinity(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	var r measure.Report
	s := affinityShape
	settings := s.site(cfg.Seed)
	settings.Options = daemon.Options{RoundRobin: cfg.Baseline}
	settings.Engine.CacheBlocks = affinityBlocks
	site := standinsite.New(settings)
	defer site.Stop()
	if err := site.Start(); err != nil {
		return r, err
	}
	list := plan(s, []phase{{affinityLength, affinityLoad}}, cfg.Seed)
	share(list, s.kinds[0].prompt, cfg.Seed)
	t := newTally(s, &r)
	f := affinityFigures{Refused: t.f.Refused}
	for _, a := range send(ctx, site, s, list) {
		t.take(a)
		const bytesPerToken = 4
		if a.Err == nil {
			f.PromptTokens += uint64(len(a.prompt) / bytesPerToken)
		}
	}
	if !cfg.Baseline {
		t.held(site)
	}
	decoded, prefilled := site.Decoded()
	most := uint64(0)
	for _, e := range site.Engines {
		most = max(most, e.Counters().Decoded)
	}
	f.Prefilled = prefilled
	f.CachedShare = 1 - float64(prefilled)/float64(f.PromptTokens)
	f.MaxOverMeanLoad = float64(most) * float64(len(site.Engines)) / float64(decoded)
	f.FirstTokenP50Ms = measure.Quantile(t.first, 50)
	f.FirstTokenP95Ms = measure.Quantile(t.first, 95)
	r.Figures = f
	return r, nil
}

// share gives the arrivals prompts that begin alike. The n-th prompt is asked
// for in proportion to 1/n.
func share(list []arrival, size int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	prompts := make([]string, affinityPrompts)
	total := 0.0
	for i := range prompts {
		prompts[i] = text(rng, size)
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

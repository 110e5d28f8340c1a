package measuregeneration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"crocuslug/measure"
	"crocuslug/silence"
	"crocuslug/standinsite"
)

// Load of resume-storm: five engines with 60% of their slots in use.
const (
	stormSlots   = 64
	stormCallers = lossEngines * stormSlots * 6 / 10
	stormRounds  = 3
)

// runStorm kills one of five engines at 60% load in each round, in turn.
func runStorm(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	var report measure.Report
	s := lossSite(cfg)
	s.Engine.Slots = stormSlots
	site := standinsite.New(s)
	if err := site.Start(); err != nil {
		return report, err
	}
	defer site.Stop()
	resume := measure.NewHistogram()
	fig := lossFigures{}
	for i := range stormRounds {
		r := &round{
			site: site, report: &report, resumeLatency: resume, baseline: cfg.Baseline,
			rng: rand.New(rand.NewPCG(cfg.Seed, uint64(i))), prefix: fmt.Sprintf("storm%d-%d", cfg.Seed, i),
			callers: stormCallers, tokens: lossTokens, stagger: 2 * time.Millisecond,
		}
		repair := r.run(ctx, killEngine, i)
		fig.TokensNeeded += r.neededTokens
		fig.Answers += len(r.answers)
		if repair != nil {
			if err := repair(); err != nil {
				return report, err
			}
		}
	}
	report.SetResumeLatency(resume)
	fig.Struck = resume.TotalCount()
	fig.ResumeLatencyMaxMs = *measure.Percentile(resume, 100)
	fig.setExtraWork(site, &report)
	return report, nil
}

// balancePoint is one setting of the silence limits and its results.
type balancePoint struct {
	GapFloorMs         float64
	ProbeLimitMs       float64
	ResumeLatencyP50Ms float64
	ResumeLatencyP95Ms float64
	ExtraWorkRatio     float64
}

// runBalance freezes engines under silence limits from short to long, while other
// engines stall for a moment without being lost.
func runBalance(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	var report measure.Report
	var points []balancePoint
	for _, floor := range []time.Duration{60 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond, time.Second} {
		p, err := measureBalance(ctx, cfg, floor, &report)
		if err != nil {
			return report, err
		}
		points = append(points, p)
		cfg.Log.Info().Float64("gap floor ms", p.GapFloorMs).Float64("p95 ms", p.ResumeLatencyP95Ms).Float64("extra", p.ExtraWorkRatio).Msg("point")
	}
	report.Figures = points
	return report, nil
}

// stallTime is the time that an engine pauses without being lost. It lies between the
// shorter and the longer of the silence limits.
const stallTime = 500 * time.Millisecond

func measureBalance(ctx context.Context, cfg measure.Settings, floor time.Duration, report *measure.Report) (balancePoint, error) {
	s := lossSite(measure.Settings{Seed: cfg.Seed})
	s.Options.Owner.Generation.Silence = silence.Settings{MinGapTimeout: floor, MinFirstTimeout: 2 * floor}
	s.Options.Owner.Generation.ProbeTimeout = floor
	site := standinsite.New(s)
	p := balancePoint{GapFloorMs: float64(floor.Milliseconds()), ProbeLimitMs: float64(floor.Milliseconds())}
	if err := site.Start(); err != nil {
		return p, err
	}
	defer site.Stop()
	resume := measure.NewHistogram()
	needed := 0
	for i := range 2 {
		r := &round{
			site: site, report: report, resumeLatency: resume,
			rng: rand.New(rand.NewPCG(cfg.Seed, uint64(i))), prefix: fmt.Sprintf("balance%d-%d", cfg.Seed, i),
			callers: lossCallers, tokens: lossTokens, stagger: 5 * time.Millisecond,
		}
		repair := r.run(ctx, freezeAndStall, 2*i)
		needed += r.neededTokens
		if repair != nil {
			_ = repair()
		}
	}
	decoded, _ := site.Decoded()
	p.ExtraWorkRatio = (float64(decoded) - float64(needed)) / float64(needed)
	p.ResumeLatencyP50Ms = *measure.Percentile(resume, 50)
	p.ResumeLatencyP95Ms = *measure.Percentile(resume, 95)
	return p, nil
}

// freezeAndStall freezes one engine until it is repaired and pauses the next one for
// stallTime.
func freezeAndStall(s *standinsite.Site, round int) (func(location) bool, func() error) {
	affected, repair := freezeEngine(s, round)
	other := s.Engines[(round+1)%len(s.Engines)]
	other.Freeze()
	s.Timer().After(stallTime, func(time.Time) { other.Thaw() })
	return affected, repair
}

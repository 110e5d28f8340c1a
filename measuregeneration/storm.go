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

// Shape of the storm: five engines at 60% of their slots.
const (
	stormSlots   = 64
	stormCallers = lossEngines * stormSlots * 6 / 10
	stormRounds  = 3
)

// runStorm kills one of five engines at 60% load, in turn.
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
			site: site, report: &report, resume: resume, baseline: cfg.Baseline,
			rng: rand.New(rand.NewPCG(cfg.Seed, uint64(i))), prefix: fmt.Sprintf("storm%d-%d", cfg.Seed, i),
			callers: stormCallers, tokens: lossTokens, stagger: 2 * time.Millisecond,
		}
		heal := r.run(ctx, killEngine, i)
		fig.TokensNeeded += r.needed
		fig.Answers += len(r.asked)
		if heal != nil {
			if err := heal(); err != nil {
				return report, err
			}
		}
	}
	report.SetResume(resume)
	fig.Struck = resume.TotalCount()
	fig.ResumeLatencyMaxMs = *measure.Quantile(resume, 100)
	fig.fill(site, &report)
	return report, nil
}

// balancePoint is one setting of the limits of silence and what it gave.
type balancePoint struct {
	GapFloorMs         float64
	ProbeLimitMs       float64
	ResumeLatencyP50Ms float64
	ResumeLatencyP95Ms float64
	ExtraWorkRatio     float64
}

// runBalance freezes engines under settings from quick to patient, while other
// engines stall now and then without being lost.
func runBalance(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	var report measure.Report
	var points []balancePoint
	for _, floor := range []time.Duration{60 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond, time.Second} {
		p, err := balanceAt(ctx, cfg, floor, &report)
		if err != nil {
			return report, err
		}
		points = append(points, p)
		cfg.Log.Info().Float64("gap floor ms", p.GapFloorMs).Float64("p95 ms", p.ResumeLatencyP95Ms).Float64("extra", p.ExtraWorkRatio).Msg("point")
	}
	report.Figures = points
	return report, nil
}

// stall is how long an engine that is not lost stands still. It is longer than
// the quickest limits and shorter than the patient ones.
const stall = 500 * time.Millisecond

func balanceAt(ctx context.Context, cfg measure.Settings, floor time.Duration, report *measure.Report) (balancePoint, error) {
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
			site: site, report: report, resume: resume,
			rng: rand.New(rand.NewPCG(cfg.Seed, uint64(i))), prefix: fmt.Sprintf("balance%d-%d", cfg.Seed, i),
			callers: lossCallers, tokens: lossTokens, stagger: 5 * time.Millisecond,
		}
		heal := r.run(ctx, freezeAndStall, 2*i)
		needed += r.needed
		if heal != nil {
			_ = heal()
		}
	}
	decoded, _ := site.Decoded()
	p.ExtraWorkRatio = (float64(decoded) - float64(needed)) / float64(needed)
	p.ResumeLatencyP50Ms = *measure.Quantile(resume, 50)
	p.ResumeLatencyP95Ms = *measure.Quantile(resume, 95)
	return p, nil
}

// freezeAndStall freezes one engine for good and lets the next one stand still
// for a moment.
func freezeAndStall(s *standinsite.Site, round int) (func(placed) bool, func() error) {
	struck, heal := freezeEngine(s, round)
	other := s.Engines[(round+1)%len(s.Engines)]
	other.Freeze()
	s.Timer().After(stall, func(time.Time) { other.Thaw() })
	return struck, heal
}

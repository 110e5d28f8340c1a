package measuregeneration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"crocuslug/daemon"
	"crocuslug/gateway"
	"crocuslug/generation"
	"crocuslug/measure"
	"crocuslug/owner"
	"crocuslug/silence"
	"crocuslug/standinengine"
	"crocuslug/standinsite"
)

// lossFigures are the figures of the experiments with losses.
type lossFigures struct {
	Answers            int
	Struck             int64 // answers in progress at the failed engine or instance
	TokensNeeded       int
	TokensDecoded      uint64
	PrefillTokens      uint64
	ResumeLatencyMaxMs float64
	LossPerAnswer      float64
	ExtraWorkPerLoss   float64 // tokens decoded beyond those needed, per affected answer
}

// withoutResume returns the options of the naive version, which does not resume answers.
func withoutResume() daemon.Options {
	const never = 30 * time.Second
	return daemon.Options{
		Owner: owner.Settings{Generation: generation.Settings{
			DisableProbe:       true,
			DisableReplication: true,
			MaxEngineFailures:  -1,
			Silence:            silence.Settings{MinFirstTimeout: never, MinGapTimeout: never, MaxTimeout: never},
		}},
		Gateway: gateway.Settings{DisableLookUp: true},
	}
}

func lossSite(cfg measure.Settings) standinsite.Settings {
	s := standinsite.Settings{
		Instances: lossInstances,
		Engines:   lossEngines,
		Engine: standinengine.Settings{
			TokenInterval:   lossInterval,
			Slots:           lossSlots,
			PrefillPerToken: prefillPerToken,
		},
		Seed: cfg.Seed,
	}
	if cfg.Baseline {
		s.Options = withoutResume()
	}
	return s
}

// prefillPerToken is the time that an engine takes to read a token of a prompt.
const prefillPerToken = 100 * time.Microsecond

// runLoss returns an experiment that injects fault f once in each round.
func runLoss(f fault) func(context.Context, measure.Settings) (measure.Report, error) {
	return func(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
		var report measure.Report
		site := standinsite.New(lossSite(cfg))
		if err := site.Start(); err != nil {
			return report, err
		}
		defer site.Stop()
		resume := measure.NewHistogram()
		rng := rand.New(rand.NewPCG(cfg.Seed, 0))
		fig := lossFigures{}
		for i := range lossRounds {
			r := &round{
				site: site, report: &report, resumeLatency: resume, baseline: cfg.Baseline, rng: rng,
				prefix: fmt.Sprintf("s%d-r%d", cfg.Seed, i), callers: lossCallers, tokens: lossTokens,
				stagger: 10 * time.Millisecond,
			}
			repair := r.run(ctx, f, i)
			fig.TokensNeeded += r.neededTokens
			fig.Answers += len(r.answers)
			if repair != nil {
				if err := repair(); err != nil {
					return report, err
				}
			}
			cfg.Log.Info().Int("round", i).Int64("struck", resume.TotalCount()).Int("violations", report.Violations).Msg("round finished")
		}
		report.SetResumeLatency(resume)
		fig.Struck = resume.TotalCount()
		fig.ResumeLatencyMaxMs = *measure.Percentile(resume, 100)
		fig.setExtraWork(site, &report)
		return report, nil
	}
}

// setExtraWork computes the extra work from the engines' counters and stores fig in the report.
func (fig *lossFigures) setExtraWork(site *standinsite.Site, report *measure.Report) {
	fig.TokensDecoded, fig.PrefillTokens = site.Decoded()
	extra := float64(fig.TokensDecoded) - float64(fig.TokensNeeded)
	ratio := extra / float64(fig.TokensNeeded)
	report.ExtraWorkRatio = &ratio
	if fig.Struck > 0 {
		fig.ExtraWorkPerLoss = extra / float64(fig.Struck)
		fig.LossPerAnswer = float64(fig.Struck) / float64(fig.Answers)
	}
	report.Figures = fig
}

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

// lossFigures are what the experiments with losses report besides.
type lossFigures struct {
	Answers            int
	Struck             int64 // answers that were under way where the fault came
	TokensNeeded       int
	TokensDecoded      uint64
	PrefillTokens      uint64
	ResumeLatencyMaxMs float64
	LossPerAnswer      float64
	ExtraWorkPerLoss   float64 // tokens decoded beyond the need for each answer struck
}

// naive returns options of the version without resume.
func naive() daemon.Options {
	const never = 30 * time.Second
	return daemon.Options{
		Owner: owner.Settings{Generation: generation.Settings{
			DisableProbe:       true,
			DisableReplication: true,
			MaxEngineLosses:    -1,
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
		s.Options = naive()
	}
	return s
}

// prefillPerToken is the time that an engine takes to read a token of a prompt.
const prefillPerToken = 100 * time.Microsecond

// lossRun returns an experiment that brings one kind of loss about in each round.
func lossRun(f fault) func(context.Context, measure.Settings) (measure.Report, error) {
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
				site: site, report: &report, resume: resume, baseline: cfg.Baseline, rng: rng,
				prefix: fmt.Sprintf("s%d-r%d", cfg.Seed, i), callers: lossCallers, tokens: lossTokens,
				stagger: 10 * time.Millisecond,
			}
			heal := r.run(ctx, f, i)
			fig.TokensNeeded += r.needed
			fig.Answers += len(r.asked)
			if heal != nil {
				if err := heal(); err != nil {
					return report, err
				}
			}
			cfg.Log.Info().Int("round", i).Int64("struck", resume.TotalCount()).Int("violations", report.Violations).Msg("round over")
		}
		report.SetResume(resume)
		fig.Struck = resume.TotalCount()
		fig.ResumeLatencyMaxMs = *measure.Quantile(resume, 100)
		fig.fill(site, &report)
		return report, nil
	}
}

// fill computes the extra work from the engines' counters.
func (fig *lossFigures) fill(site *standinsite.Site, report *measure.Report) {
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

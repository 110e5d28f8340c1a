// Package measureregistered contains the experiments on engines that register
// themselves. The emulator runs them in virtual time.
package measureregistered

import (
	"context"
	"time"

	"crocuslug/emulator"
	"crocuslug/measure"
)

// Entries returns the experiments of this package.
func Entries() []measure.Entry {
	return []measure.Entry{
		{Name: "domain-losses", Help: "Streams while the engines of one failure domain after another are lost; in virtual time.", Run: runDomainLosses},
	}
}

// smallSite is the deployment of the smaller site's data sheet.
var smallSite = emulator.Scenario{
	Domains: 3, Engines: 8, Instances: 2,
	RequestsPerSecond: 6.25, PromptTokens: 5200, Events: 130, CacheTokens: 55000,
	Duration: 34 * time.Second, MaxFirstEvent: 4500 * time.Millisecond, MaxPause: 700 * time.Millisecond,
}

// loadFigures are the results at one load.
type loadFigures struct {
	Load float64 // request rate relative to the data sheet's
	emulator.Figures
}

func runDomainLosses(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	policy := emulator.Fleet
	if cfg.Baseline {
		policy = emulator.Random
	}
	var r measure.Report
	var out []loadFigures
	for _, load := range []float64{1, 1.25, 1.5, 1.75, 2} {
		if err := ctx.Err(); err != nil {
			return r, err
		}
		scenario := smallSite
		scenario.RequestsPerSecond *= load
		f := emulator.New(scenario, losses(), policy, cfg.Seed).Run()
		for range f.Unfinished {
			r.AddViolation("an answer was not completed")
		}
		out = append(out, loadFigures{load, f})
	}
	r.Figures = out
	return r, nil
}

// losses returns five losses that hit one failure domain after the other. At every second loss the
// connections fall silent instead of being reset.
func losses() []emulator.Loss {
	var out []emulator.Loss
	for i, at := range []time.Duration{4, 11, 17, 24, 31} {
		out = append(out, emulator.Loss{At: at * time.Second, Domain: i % smallSite.Domains, Duration: 1200 * time.Millisecond, Silent: i%2 == 1})
	}
	return out
}

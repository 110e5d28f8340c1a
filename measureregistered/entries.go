// Package measureregistered has the experiments on engines that register
// themselves, played by the emulator in virtual time.
package measureregistered

import (
	"context"
	"time"

	"crocuslug/emulator"
	"crocuslug/measure"
)

// Entries returns the experiments.
func Entries() []measure.Entry {
	return []measure.Entry{
		{Name: "domain-losses", Help: "Streams while one failure domain of engines after another is lost; virtual time.", Run: runLosses},
	}
}

// shape is the deployment of the smaller site's sheet.
var shape = emulator.Shape{
	Domains: 3, Engines: 8, Instances: 2,
	Rate: 6.25, Prompt: 5200, Pieces: 130, Memory: 55000,
	Length: 34 * time.Second, Objective: 4500 * time.Millisecond, Pause: 700 * time.Millisecond,
}

// figures are those of each load, by its rate relative to the sheet's.
type figures struct {
	Load float64
	emulator.Figures
}

func runLosses(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	rule := emulator.Fleet
	if cfg.Baseline {
		rule = emulator.Random
	}
	var r measure.Report
	var out []figures
	for _, load := range []float64{1, 1.25, 1.5, 1.75, 2} {
		if err := ctx.Err(); err != nil {
			return r, err
		}
		s := shape
		s.Rate *= load
		f := emulator.New(s, losses(), rule, cfg.Seed).Run()
		for range f.Unended {
			r.Violate("an answer has no end")
		}
		out = append(out, figures{load, f})
	}
	r.Figures = out
	return r, nil
}

// losses takes one failure domain after another, each second time without a sign.
func losses() []emulator.Loss {
	var out []emulator.Loss
	for i, at := range []time.Duration{4, 11, 17, 24, 31} {
		out = append(out, emulator.Loss{At: at * time.Second, Domain: i % shape.Domains, For: 1200 * time.Millisecond, Dark: i%2 == 1})
	}
	return out
}

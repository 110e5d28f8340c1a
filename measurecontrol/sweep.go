package measurecontrol

import (
	"context"
	"time"

	"crocuslug/measure"
)

// Limits on the control cost of an instance at the target size.
const (
	maxCPUPercent         = 3.6
	maxMemoryMB           = 256
	maxControlBytesPerSec = 5000
)

// sweep is one experiment: the size that varies and its target.
type sweep struct {
	quantity string // what the size counts
	sizes    []float64
	target   float64
	runSize  func(x float64) runSize
	callers  int // callers that send requests after the idle windows; 0 means none
}

// sweepFigures are the results of a sweep. Quantities are per instance.
type sweepFigures struct {
	Of              string
	Target          float64
	Points          []point
	CPUPercent      fittedLine
	LinkSentBytesPS fittedLine
	LinkBothBytesPS fittedLine
	PollBytesPS     fittedLine
	HeapMB          fittedLine
	Goroutines      fittedLine
	ReadsPS         fittedLine
	WritesPS        fittedLine
	WatchesPS       fittedLine
	RequestBytes    *fittedLine `json:",omitempty"` // control traffic of all instances per request
	ChangeMs        *fittedLine `json:",omitempty"` // processor time of an instance per configuration change
	InForceMs       *fittedLine `json:",omitempty"`
	WithinBounds    bool        // processor time, memory and traffic at the target of this sweep are within the limits
}

func (s sweep) run(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	var report measure.Report
	f := sweepFigures{Of: s.quantity, Target: s.target}
	for _, x := range s.sizes {
		p, err := runPoint(ctx, cfg, s, x, &report)
		if err != nil {
			return report, err
		}
		cfg.Log.Info().Float64("size", x).Float64("cpu %", p.CPUPercent).Float64("B/s", p.LinkBothBytesPerSec).Float64("heap MB", p.HeapMB).Msg("size measured")
		f.Points = append(f.Points, p)
	}
	f.fit()
	f.WithinBounds = f.CPUPercent.AtTarget <= maxCPUPercent && heapGrowthFactor*f.HeapMB.AtTarget <= maxMemoryMB &&
		f.LinkBothBytesPS.AtTarget+pollBudget <= maxControlBytesPerSec
	report.Figures = f
	return report, nil
}

// pollBudget is the default limit of the polling traffic in bytes per second. It replaces
// the measured rate: long runs reach it, while a window may fall between two bursts.
const pollBudget = 4000

// heapGrowthFactor is the factor from the live heap to the memory in use, since Go's collector
// runs when the heap has doubled.
const heapGrowthFactor = 2

func (f *sweepFigures) fit() {
	of := func(y func(p point) float64) fittedLine {
		var xs, ys []float64
		for _, p := range f.Points {
			xs, ys = append(xs, p.X), append(ys, y(p))
		}
		return fit(xs, ys, f.Target)
	}
	f.CPUPercent = of(func(p point) float64 { return p.CPUPercent })
	f.LinkSentBytesPS = of(func(p point) float64 { return p.LinkSentBytesPerSec })
	f.LinkBothBytesPS = of(func(p point) float64 { return p.LinkBothBytesPerSec })
	f.PollBytesPS = of(func(p point) float64 { return p.PollBytesPerSec })
	f.HeapMB = of(func(p point) float64 { return p.HeapMB })
	f.Goroutines = of(func(p point) float64 { return p.Goroutines })
	f.ReadsPS = of(func(p point) float64 { return p.ReadsPerSec })
	f.WritesPS = of(func(p point) float64 { return p.WritesPerSec })
	f.WatchesPS = of(func(p point) float64 { return p.WatchesPerSec })
	if f.Points[0].RequestBytes != 0 {
		l := of(func(p point) float64 { return p.RequestBytes })
		f.RequestBytes = &l
	}
	if f.Points[0].InForceMs > 0 {
		c, t := of(func(p point) float64 { return p.ChangeMs }), of(func(p point) float64 { return p.InForceMs })
		f.ChangeMs, f.InForceMs = &c, &t
	}
}

// Entries returns the experiments of this package.
func Entries() []measure.Entry {
	var out []measure.Entry
	for _, e := range []struct {
		name string
		s    sweep
	}{
		{"control-cost", sweep{
			quantity: "instances in one failure domain", sizes: []float64{24, 48, 72}, target: 72, callers: 16,
			runSize: func(x float64) runSize { return runSize{domains: 1, instances: int(x), upstreams: 8} },
		}},
		{"control-cost-domains", sweep{
			quantity: "failure domains of 3 instances", sizes: []float64{2, 6, 13}, target: 13,
			runSize: func(x float64) runSize { return runSize{domains: int(x), instances: 3, upstreams: 8} },
		}},
		{"control-cost-upstreams", sweep{
			quantity: "engines in reach", sizes: []float64{50, 200, 546}, target: 546,
			runSize: func(x float64) runSize { return runSize{domains: 2, instances: 8, upstreams: int(x)} },
		}},
		{"control-cost-workspaces", sweep{
			quantity: "configured workspaces", sizes: []float64{100, 1000, 5500}, target: 5500,
			runSize: func(x float64) runSize {
				return runSize{domains: 2, instances: 4, upstreams: 40, workspaces: int(x), changes: 10}
			},
		}},
	} {
		out = append(out, measure.Entry{Name: e.name, Help: "control cost of an instance against " + e.s.quantity, Run: e.s.run})
	}
	return append(out, measure.Entry{Name: "memory-stream", Help: "memory of an open stream in owner and replica", Run: runMemory})
}

// Timing of one run. The figures are those of the median window.
const (
	settleTime  = 3 * time.Second // wait after the start before the first window
	windowTime  = 1500 * time.Millisecond
	windowCount = 3
)

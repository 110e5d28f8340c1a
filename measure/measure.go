// Package measure frames the experiments of the measure command.
//
// An experiment runs over loopback against stand-ins in the same process, is
// repeatable from its seed as far as the machine's timing allows, and returns
// one Report. It is a measuring tool, not a simulator of a cluster.
package measure

import (
	"context"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
)

// Settings are the arguments of one run.
type Settings struct {
	Seed     uint64
	Baseline bool // runs the naive version
	Log      zerolog.Logger
}

// Entry is one experiment by name.
type Entry struct {
	Name string
	Help string
	Run  func(ctx context.Context, cfg Settings) (Report, error)
}

// Report is the result of one run, printed as one JSON object. Pointers are
// nil where a figure does not apply.
type Report struct {
	Experiment         string
	Seed               uint64
	Baseline           bool
	Violations         int      // breaches of what must always hold
	ViolationDetails   []string `json:",omitempty"`
	ResumeLatencyP50Ms *float64 `json:",omitempty"`
	ResumeLatencyP95Ms *float64 `json:",omitempty"`
	ResumeLatencyP99Ms *float64 `json:",omitempty"`
	ExtraWorkRatio     *float64 `json:",omitempty"` // tokens decoded beyond the undisturbed need, as a share of it
	Figures            any      `json:",omitempty"` // what else the experiment measures
}

// Violate counts a breach and keeps its text.
func (r *Report) Violate(text string) {
	r.Violations++
	if len(r.ViolationDetails) < maxDetails {
		r.ViolationDetails = append(r.ViolationDetails, text)
	}
}

// maxDetails bounds the texts that a report keeps.
const maxDetails = 20

// SetResume fills the resume latencies from a histogram of microseconds.
func (r *Report) SetResume(h *hdrhistogram.Histogram) {
	if h.TotalCount() == 0 {
		return
	}
	r.ResumeLatencyP50Ms = Quantile(h, 50)
	r.ResumeLatencyP95Ms = Quantile(h, 95)
	r.ResumeLatencyP99Ms = Quantile(h, 99)
}

// NewHistogram returns a histogram of microseconds up to two minutes.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, 120_000_000, 3)
}

// Quantile returns a percentile of a histogram of microseconds in milliseconds.
func Quantile(h *hdrhistogram.Histogram, percent float64) *float64 {
	const microsPerMilli = 1000
	v := float64(h.ValueAtQuantile(percent)) / microsPerMilli
	return &v
}

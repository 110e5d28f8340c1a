// Package measure defines the interface between the measure command and its experiments.
//
// An experiment runs over loopback against stand-ins in the same process. It is
// repeatable from its seed as far as the timing of the machine allows, and returns one
// Report. It measures the real code and does not simulate a cluster.
package measure

import (
	"context"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
)

// Settings are the arguments of one run of an experiment.
type Settings struct {
	Seed     uint64
	Baseline bool // run the naive version of the system instead
	Log      zerolog.Logger
}

// Entry is one experiment with its name and help text.
type Entry struct {
	Name string
	Help string
	Run  func(ctx context.Context, cfg Settings) (Report, error)
}

// Report is the result of one run, printed as one JSON object. Figures that do not
// apply to an experiment are nil.
type Report struct {
	Experiment         string
	Seed               uint64
	Baseline           bool
	Violations         int      // number of violated invariants
	ViolationDetails   []string `json:",omitempty"`
	ResumeLatencyP50Ms *float64 `json:",omitempty"`
	ResumeLatencyP95Ms *float64 `json:",omitempty"`
	ResumeLatencyP99Ms *float64 `json:",omitempty"`
	ExtraWorkRatio     *float64 `json:",omitempty"` // tokens decoded beyond those needed without faults, relative to these
	Figures            any      `json:",omitempty"` // further figures of the experiment
}

// AddViolation counts a violation. It keeps the text of the first maxViolationDetails ones.
func (r *Report) AddViolation(text string) {
	r.Violations++
	if len(r.ViolationDetails) < maxViolationDetails {
		r.ViolationDetails = append(r.ViolationDetails, text)
	}
}

// maxViolationDetails is the number of violation texts that a report keeps.
const maxViolationDetails = 20

// SetResumeLatency sets the resume latencies from a histogram of microseconds. It leaves them nil if
// the histogram is empty.
func (r *Report) SetResumeLatency(h *hdrhistogram.Histogram) {
	if h.TotalCount() == 0 {
		return
	}
	r.ResumeLatencyP50Ms = Percentile(h, 50)
	r.ResumeLatencyP95Ms = Percentile(h, 95)
	r.ResumeLatencyP99Ms = Percentile(h, 99)
}

// NewHistogram returns an empty histogram for microseconds up to two minutes.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, 120_000_000, 3)
}

// Percentile returns the given percentile, from 0 to 100, of a histogram of microseconds, in
// milliseconds.
func Percentile(h *hdrhistogram.Histogram, percent float64) *float64 {
	const microsPerMilli = 1000
	v := float64(h.ValueAtQuantile(percent)) / microsPerMilli
	return &v
}

package daemon

import (
	"github.com/rcrowley/go-metrics"

	"crocuslug/generation"
	"crocuslug/result"
)

// sampleSize bounds the samples that a histogram keeps.
const sampleSize = 1028

// sampleAlpha weighs newer samples in a histogram.
const sampleAlpha = 0.015

// meters are the metrics of an instance.
type meters struct {
	registry metrics.Registry
	resume   metrics.Histogram // microseconds from a loss to the next token
	first    metrics.Histogram // microseconds to the first token
	wait     metrics.Histogram // microseconds from the request to its admission
	tokens   metrics.Counter
}

func newMeters() *meters {
	r := metrics.NewRegistry()
	for _, name := range counted {
		metrics.NewRegisteredCounter(name, r)
	}
	return &meters{
		registry: r,
		resume:   metrics.NewRegisteredHistogram("ResumeLatencyUs", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		first:    metrics.NewRegisteredHistogram("FirstTokenUs", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		wait:     metrics.NewRegisteredHistogram("AdmissionWaitUs", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		tokens:   metrics.NewRegisteredCounter("Tokens", r),
	}
}

// counted are the counters that are there from the start. Those of results,
// such as Generations.OK, appear with their first event.
var counted = []string{
	"StreamsStarted", "StreamsResumed", "StreamsContinued", "TokensStale", "TokensUnreplicated",
	"UpstreamsEjected", "UpstreamsReadmitted", "Retries", "SpilledIn", "SpilledOut", "PollBytes",
}

func (m *meters) count(name string, n int) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(int64(n))
}

// generation counts a generation that ended with r, or whole if r is nil.
func (m *meters) generation(r *result.Error, s generation.Stats) {
	code := result.OK
	if r != nil {
		code = r.Code
	}
	m.count("Generations."+code.String(), 1)
	m.count("StreamsStarted", s.Streams)
	m.count("StreamsResumed", s.Resumes)
	m.count("StreamsMoved", s.Moves)
	m.count("StreamsContinued", s.Continuations)
	m.count("TokensStale", s.StaleTokens)
	m.count("TokensUnreplicated", s.Unreplicated)
}

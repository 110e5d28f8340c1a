package daemon

import (
	"github.com/rcrowley/go-metrics"

	"crocuslug/generation"
	"crocuslug/result"
)

// sampleSize is the number of samples that a histogram keeps.
const sampleSize = 1028

// sampleAlpha is the factor by which a histogram favours newer samples.
const sampleAlpha = 0.015

// instruments holds the metrics of an instance.
type instruments struct {
	registry          metrics.Registry
	resumeLatency     metrics.Histogram // microseconds from a loss to the next token
	firstTokenLatency metrics.Histogram // microseconds to the first token
	admissionWait     metrics.Histogram // microseconds from the request to its admission
	tokens            metrics.Counter
}

func newMeters() *instruments {
	r := metrics.NewRegistry()
	for _, name := range initialCounters {
		metrics.NewRegisteredCounter(name, r)
	}
	return &instruments{
		registry:          r,
		resumeLatency:     metrics.NewRegisteredHistogram("ResumeLatencyUs", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		firstTokenLatency: metrics.NewRegisteredHistogram("FirstTokenUs", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		admissionWait:     metrics.NewRegisteredHistogram("AdmissionWaitUs", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		tokens:            metrics.NewRegisteredCounter("Tokens", r),
	}
}

// initialCounters are the counters registered at the start. Those of results, such as
// Generations.OK, are registered at their first event.
var initialCounters = []string{
	"StreamsStarted", "StreamsResumed", "StreamsContinued", "TokensStale", "TokensUnreplicated",
	"UpstreamsEjected", "UpstreamsReadmitted", "Retries", "SpilledIn", "SpilledOut", "PollBytes",
}

func (m *instruments) count(name string, n int) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(int64(n))
}

// generation counts a generation that ended with the error r, or successfully if r is nil.
func (m *instruments) generation(r *result.Error, s generation.Stats) {
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

package edge

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"crocuslug/directory"
)

// meters are the counters and histograms of an instance.
type meters struct {
	registry metrics.Registry
	first    metrics.Histogram // microseconds from the request to the first piece
}

// Sampling of histograms.
const (
	sampleSize  = 512
	sampleAlpha = 0.015
)

func newMeters() *meters {
	m := &meters{registry: metrics.NewRegistry()}
	m.first = m.histogram("FirstPieceUs")
	return m
}

func (m *meters) histogram(name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

func (m *meters) count(name string, n int) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(int64(n))
}

// answered counts an answer that was passed on whole.
func (m *meters) answered(k directory.Kind, status int, took time.Duration) {
	m.count(fmt.Sprintf("Answered.%s.%d", k, status), 1)
	m.histogram("AnswerUs." + k.String()).Update(took.Microseconds())
}

// writeMetrics writes all metrics as text, one a line.
func (e *Edge) writeMetrics(w io.Writer) {
	line := func(name string, v any) { fmt.Fprintf(w, "%s %v\n", name, v) }
	names := make(map[string]any)
	var order []string
	e.meters.registry.Each(func(name string, v any) {
		names[name] = v
		order = append(order, name)
	})
	slices.Sort(order)
	for _, name := range order {
		switch v := names[name].(type) {
		case metrics.Counter:
			line(name, v.Count())
		case metrics.Histogram:
			s := v.Snapshot()
			line(name+".Count", s.Count())
			for _, q := range []float64{0.5, 0.95, 0.99} {
				line(fmt.Sprintf("%s.P%d", name, int(q*100)), s.Percentile(q))
			}
		}
	}
	now := e.timer.Now()
	if cur := e.current.Load(); cur != nil {
		line("Configuration.Version", cur.Version)
		line("Configuration.AgeMs", now.Sub(cur.since).Milliseconds())
	}
	calls := e.client.Calls()
	line("Store.Reads", calls.Reads)
	line("Store.Writes", calls.Writes)
	line("Store.Watches", calls.Watches)
	line("Store.Unavailable", calls.Unavailable)
	line("Store.Unknown", calls.Unknown)
	if e.Dropped != nil {
		line("Log.Dropped", e.Dropped())
	}
	line("Upstream.Dials", e.exchange.Dials())
	line("Connections.Open", e.server.Open())
	line("Upstreams.Registered", len(e.registry.All()))
	e.mu.Lock()
	defer e.mu.Unlock()
	heard := 0
	for _, p := range e.peers {
		if now.Sub(p.heard) <= peerExpiry {
			heard++
		}
	}
	line("Peers.Heard", heard)
	line("Store.Seen", e.seen)
}

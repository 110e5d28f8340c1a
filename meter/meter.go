// Package meter keeps the counters and latency histograms of a process and
// writes them as text.
//
// Alarms need the present latency of requests, not the one since the start of the
// process, so a histogram covers the last one to two minutes. Histograms are HDR
// histograms: the error of a value is at most one percent, also in the tail of
// the distribution, for which a random sample would have few values.
package meter

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"

	"crocuslug/timer"
)

// Range of the values of a histogram, in microseconds, its precision, and the
// number and length of its windows.
const (
	minUs             = 1
	maxUs             = 120_000_000 // two minutes, which is longer than any caller waits
	significantDigits = 2
	windowCount       = 2
	windowLength      = time.Minute
)

// Meters holds the counters and histograms of one process. It is safe for
// concurrent use.
type Meters struct {
	counters metrics.Registry
	sub      *timer.Subscription

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.WindowedHistogram
}

// New returns empty meters. The histograms change to a new window each minute of
// t until Stop is called.
func New(t *timer.Service) *Meters {
	m := &Meters{counters: metrics.NewRegistry(), histograms: make(map[string]*hdrhistogram.WindowedHistogram)}
	m.sub = t.Every(windowLength, func(time.Time) { m.rotate() })
	return m
}

// Stop ends the change of windows. Values observed afterwards stay in the last
// window.
func (m *Meters) Stop() { m.sub.Stop() }

// Count adds n to the counter with the given name.
func (m *Meters) Count(name string, n int) {
	metrics.GetOrRegisterCounter(name, m.counters).Inc(int64(n))
}

// Observe adds the duration d to the histogram with the given name. A value
// outside the range from 1 µs to two minutes counts as the nearest bound.
func (m *Meters) Observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.histograms[name]
	if !ok {
		h = hdrhistogram.NewWindowed(windowCount, minUs, maxUs, significantDigits)
		m.histograms[name] = h
	}
	v := min(max(d.Microseconds(), minUs), maxUs)
	if err := h.Current.RecordValue(v); err != nil {
		m.Count("Meter.Unrecorded", 1) // not expected, since v is within the range
	}
}

func (m *Meters) rotate() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.histograms {
		h.Rotate()
	}
}

// WriteText writes lines of the form "NAME VALUE", sorted: one for each counter,
// and for each histogram one with its count and one for each of its percentiles
// 50, 95, 99 and 99.9, in microseconds.
func (m *Meters) WriteText(w io.Writer) {
	var lines []string
	m.counters.Each(func(name string, v any) {
		if c, ok := v.(metrics.Counter); ok {
			lines = append(lines, fmt.Sprintf("%s %d\n", name, c.Count()))
		}
	})
	m.mu.Lock()
	for name, windowed := range m.histograms {
		h := windowed.Merge()
		lines = append(lines, fmt.Sprintf("%s.Count %d\n", name, h.TotalCount()))
		for _, q := range []float64{50, 95, 99, 99.9} {
			lines = append(lines, fmt.Sprintf("%s.P%v %d\n", name, q, h.ValueAtQuantile(q)))
		}
	}
	m.mu.Unlock()
	slices.Sort(lines)
	for _, line := range lines {
		_, _ = io.WriteString(w, line) // w writes to memory
	}
}

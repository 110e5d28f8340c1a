// Package meter keeps the counters and latency histograms of a process and
// writes them as text.
//
// An alarm asks how long requests take now, not since the process started, so a
// histogram holds the last one to two minutes. It is an HDR histogram: its error
// is at most a hundredth of each value, at the far end of the distribution too,
// where a sample of values has the fewest.
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

// Bounds of a histogram, in microseconds, and its windows.
const (
	least   = 1
	most    = 120_000_000 // two minutes, more than any caller waits
	digits  = 2
	windows = 2
	window  = time.Minute
)

// Meters are the counters and histograms of one process. Its methods may be
// called from any goroutine.
type Meters struct {
	counters metrics.Registry
	sub      *timer.Subscription

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.WindowedHistogram
}

// New returns empty meters. Stop ends their windows.
func New(t *timer.Service) *Meters {
	m := &Meters{counters: metrics.NewRegistry(), histograms: make(map[string]*hdrhistogram.WindowedHistogram)}
	m.sub = t.Every(window, func(time.Time) { m.rotate() })
	return m
}

// Stop lets the windows end no more.
func (m *Meters) Stop() { m.sub.Stop() }

// Count adds n to a counter.
func (m *Meters) Count(name string, n int) {
	metrics.GetOrRegisterCounter(name, m.counters).Inc(int64(n))
}

// Observe adds a time to a histogram. One beyond its bounds counts as the bound.
func (m *Meters) Observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.histograms[name]
	if !ok {
		h = hdrhistogram.NewWindowed(windows, least, most, digits)
		m.histograms[name] = h
	}
	v := min(max(d.Microseconds(), least), most)
	if err := h.Current.RecordValue(v); err != nil {
		m.Count("Meter.Unrecorded", 1) // no value within the bounds is refused
	}
}

func (m *Meters) rotate() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.histograms {
		h.Rotate()
	}
}

// WriteText writes a line "NAME VALUE" for each counter, and for each histogram
// those of its count and percentiles, in microseconds, ordered by name.
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
		_, _ = io.WriteString(w, line) // to memory
	}
}

package meter

import (
	"strings"
	"testing"
	"time"

	"crocuslug/timer"
)

func text(m *Meters) string {
	var b strings.Builder
	m.WriteText(&b)
	return b.String()
}

func TestWriteText(t *testing.T) {
	m := New(timer.New())
	defer m.Stop()
	m.Count("B", 2)
	m.Count("B", 1)
	m.Count("A", 1)
	for i := range 100 {
		m.Observe("TookUs", time.Duration(i+1)*time.Millisecond)
	}
	m.Observe("FarUs", time.Hour)
	want := strings.Join([]string{
		"A 1", "B 3",
		"FarUs.Count 1", "FarUs.P50 120061951", "FarUs.P95 120061951", "FarUs.P99 120061951", "FarUs.P99.9 120061951",
		"TookUs.Count 100", "TookUs.P50 50175", "TookUs.P95 95231", "TookUs.P99 99327", "TookUs.P99.9 100351", "",
	}, "\n")
	if got := text(m); got != want {
		t.Errorf("got:\n%swant:\n%s", got, want)
	}
}

// TestHistogramForgetsAfterTwoWindows checks that a value is counted for two
// windows and not longer.
func TestHistogramForgetsAfterTwoWindows(t *testing.T) {
	m := New(timer.New())
	defer m.Stop()
	m.Observe("TookUs", time.Second)
	for n, want := range []string{"TookUs.Count 1", "TookUs.Count 1", "TookUs.Count 0"} {
		if n > 0 {
			m.rotate()
		}
		if got, _, _ := strings.Cut(text(m), "\n"); got != want {
			t.Errorf("after %d windows: got %q, want %q", n, got, want)
		}
	}
}

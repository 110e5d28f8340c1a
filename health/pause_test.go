package health

import (
	"fmt"
	"testing"
	"time"
)

// TestPausesDoNotKeepOut guards against keeping a sound upstream out for longer and longer
// because it pauses now and then.
func TestPausesDoNotKeepOut(t *testing.T) {
	const (
		pauses   = 6
		interval = 10 * time.Second // between the end of one pause and the next
	)
	tr := New(Settings{})
	now := start
	tr.SetUpstreams(names(5), now)
	var got []time.Duration
	for range pauses {
		now = now.Add(interval)
		ejected := now
		for range defaultConsecutive {
			tr.Observe(Outcome{Upstream: "e00", Kind: Silent}, now)
		}
		for tr.Out("e00") {
			now = now.Add(100 * time.Millisecond)
			for _, c := range tr.Tick(now) {
				if c.State == Trial {
					tr.Observe(Outcome{Upstream: "e00", Kind: OK, Trial: true}, now)
				}
			}
		}
		got = append(got, now.Sub(ejected))
	}
	if want := "[1s 1s 1s 1s 1s 1s]"; fmt.Sprint(got) != want {
		t.Errorf("times out: got %v, want %v", got, want)
	}
}

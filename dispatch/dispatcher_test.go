package dispatch

import (
	"testing"
	"time"

	"crocuslug/work"
)

// TestRetryAfter checks that the retry times of refused callers are within the third of their
// remaining time that callers wait at most, and that they are spread.
func TestRetryAfter(t *testing.T) {
	tests := []struct {
		remaining   time.Duration
		least, most time.Duration
	}{
		{25 * time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond},
		{4 * time.Second, 240 * time.Millisecond, 400 * time.Millisecond},
		{600 * time.Millisecond, 75 * time.Millisecond, 125 * time.Millisecond},
		{0, 75 * time.Millisecond, 125 * time.Millisecond},
	}
	for _, tc := range tests {
		n := uint64(0)
		d := &Dispatcher{cfg: Settings{}.withDefaults(), random: func() uint64 { n += 7919 * 1000; return n }}
		seen := make(map[time.Duration]bool)
		for range 50 {
			got := d.retryAfter(tc.remaining)
			if got < tc.least || got > tc.most {
				t.Errorf("%v remaining: got %v, want %v to %v", tc.remaining, got, tc.least, tc.most)
			}
			seen[got] = true
		}
		if len(seen) < 25 {
			t.Errorf("%v remaining: got %d different times of 50, want 25 or more", tc.remaining, len(seen))
		}
	}
}

func TestRank(t *testing.T) {
	for priority, want := range map[int]int{0: 0, 1: 1, 9: 9, 100: 9, -1: 0} {
		if got := queueRank(&work.Work{Priority: priority}); got != want {
			t.Errorf("priority %d: got %d, want %d", priority, got, want)
		}
	}
}

package edge

import (
	"testing"
	"time"
)

// TestWatchWait checks that the wait of a watch is half of the time to react to a leaving upstream,
// within bounds.
func TestWatchWait(t *testing.T) {
	tests := []struct{ drain, want time.Duration }{
		{100 * time.Millisecond, 250 * time.Millisecond},
		{time.Second, 500 * time.Millisecond},
		{2 * time.Second, time.Second},
		{3 * time.Second, 1500 * time.Millisecond},
		{time.Minute, 2 * time.Second},
	}
	for _, tc := range tests {
		if got := watchWait(tc.drain); got != tc.want {
			t.Errorf("drain %v: got %v, want %v", tc.drain, got, tc.want)
		}
	}
}

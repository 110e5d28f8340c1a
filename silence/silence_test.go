package silence

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// ExampleDetector observes a steady stream and doubles the timeout after it expired.
func ExampleDetector() {
	d := New(Settings{})
	for range 20 {
		d.ObserveGap(20 * time.Millisecond)
	}
	before := d.GapTimeout()
	d.BackOff()
	fmt.Println(before, d.GapTimeout())
	// Output: 150ms 300ms
}

// TestAgainstFloatingPoint compares the timeouts with a floating-point computation of mean
// and mean deviation, and with the configured bounds.
func TestAgainstFloatingPoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Settings{
			MinGapTimeout: time.Duration(rapid.IntRange(1, 500).Draw(t, "floor")) * time.Millisecond,
			MaxTimeout:    time.Duration(rapid.IntRange(500, 5000).Draw(t, "ceiling")) * time.Millisecond,
		}
		d := New(cfg)
		var mean, dev, scale float64
		scale = 1
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			if i > 0 && rapid.IntRange(0, 5).Draw(t, "back") == 0 {
				d.BackOff()
				scale = math.Min(2*scale, maxScale)
			} else {
				gap := float64(rapid.IntRange(0, 1000).Draw(t, "gap")) * 1e6
				d.ObserveGap(time.Duration(gap))
				if i == 0 {
					mean, dev = gap, gap/2
				} else {
					mean, dev = mean+(gap-mean)/8, dev+(math.Abs(gap-mean)-dev)/4
				}
				scale = 1
			}
			timeout := math.Max(mean+deviationFactor*dev, float64(cfg.MinGapTimeout)) * scale
			want := time.Duration(math.Min(timeout, float64(cfg.MaxTimeout)))
			// Integer arithmetic loses less than a nanosecond per step, multiplied by the factors.
			if got := d.GapTimeout(); (got - want).Abs() > time.Millisecond {
				t.Fatalf("timeout: got %v, want %v", got, want)
			}
			if got := d.GapTimeout(); got < min(cfg.MinGapTimeout, cfg.MaxTimeout) || got > cfg.MaxTimeout {
				t.Fatalf("timeout: got %v, want it from %v to %v", got, cfg.MinGapTimeout, cfg.MaxTimeout)
			}
		}
	})
}

// TestFirstTokenTimeout checks that the wait for the first token does not depend on the
// gaps.
func TestFirstTokenTimeout(t *testing.T) {
	d := New(Settings{})
	d.ObserveGap(time.Second)
	if got, want := d.FirstTimeout(), defaultMinFirstTimeout; got != want {
		t.Errorf("first timeout: got %v, want %v", got, want)
	}
	d.ObserveFirst(2 * time.Second)
	if got, want := d.FirstTimeout(), defaultMaxTimeout; got != want {
		t.Errorf("first timeout after a long wait: got %v, want %v", got, want)
	}
}

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

// ExampleDetector follows a steady stream and gives it more time after a
// suspicion that was wrong.
func ExampleDetector() {
	d := New(Settings{})
	for range 20 {
		d.Gap(20 * time.Millisecond)
	}
	before := d.GapLimit()
	d.Back()
	fmt.Println(before, d.GapLimit())
	// Output: 150ms 300ms
}

// TestAgainstNaive holds the limits against the mean and the mean deviation in
// floating point, and within the floor and the ceiling.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Settings{
			GapFloor: time.Duration(rapid.IntRange(1, 500).Draw(t, "floor")) * time.Millisecond,
			Ceiling:  time.Duration(rapid.IntRange(500, 5000).Draw(t, "ceiling")) * time.Millisecond,
		}
		d := New(cfg)
		var mean, dev, scale float64
		scale = 1
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			if i > 0 && rapid.IntRange(0, 5).Draw(t, "back") == 0 {
				d.Back()
				scale = math.Min(2*scale, maxScale)
			} else {
				gap := float64(rapid.IntRange(0, 1000).Draw(t, "gap")) * 1e6
				d.Gap(time.Duration(gap))
				if i == 0 {
					mean, dev = gap, gap/2
				} else {
					mean, dev = mean+(gap-mean)/8, dev+(math.Abs(gap-mean)-dev)/4
				}
				scale = 1
			}
			limit := math.Max(mean+deviations*dev, float64(cfg.GapFloor)) * scale
			want := time.Duration(math.Min(limit, float64(cfg.Ceiling)))
			// Whole numbers lose less than a nanosecond a step, times the factors.
			if got := d.GapLimit(); (got - want).Abs() > time.Millisecond {
				t.Fatalf("limit: got %v, want %v", got, want)
			}
			if got := d.GapLimit(); got < min(cfg.GapFloor, cfg.Ceiling) || got > cfg.Ceiling {
				t.Fatalf("limit: got %v, want it from %v to %v", got, cfg.GapFloor, cfg.Ceiling)
			}
		}
	})
}

// TestFirst keeps the wait for the first token apart from the gaps.
func TestFirst(t *testing.T) {
	d := New(Settings{})
	d.Gap(time.Second)
	if got, want := d.FirstLimit(), defaultFirstFloor; got != want {
		t.Errorf("first limit: got %v, want %v", got, want)
	}
	d.First(2 * time.Second)
	if got, want := d.FirstLimit(), defaultCeiling; got != want {
		t.Errorf("first limit after a long wait: got %v, want %v", got, want)
	}
}

package soak

import (
	"testing"
	"time"
)

// TestAfterSaid guards against a run that is counted as too late although no answer before it said that the
// upstream is leaving, and against one that is not counted although an answer did.
func TestAfterSaid(t *testing.T) {
	const limit = 3500 * time.Millisecond
	tests := map[string]struct {
		runs []int // ms after the statement was set
		want int
	}{
		"no run":                          {nil, 0},
		"before the statement":            {[]int{-5000, -100}, 0},
		"one run, late":                   {[]int{-800, 4900}, 0},
		"within the limit":                {[]int{10, 3500}, 0},
		"later than the limit":            {[]int{10, 200, 3600, 5000}, 2},
		"later than the limit, long idle": {[]int{1000, 4400, 4600}, 1},
	}
	set := time.Unix(1000, 0)
	for name, tc := range tests {
		r := &recorder{arrivals: make(map[string][]time.Time)}
		for _, ms := range tc.runs {
			r.arrivals["u"] = append(r.arrivals["u"], set.Add(time.Duration(ms)*time.Millisecond))
		}
		if got := r.afterSaid("u", set, limit); got != tc.want {
			t.Errorf("%s: got %d, want %d", name, got, tc.want)
		}
	}
}

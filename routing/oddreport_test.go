package routing

import (
	"math"
	"testing"

	"crocuslug/ident"
)

// TestOddReports guards against reports of one upstream, with numbers that no upstream can have, that make all
// upstreams look full or draw all requests there.
func TestOddReports(t *testing.T) {
	tests := []struct {
		name                    string
		running, waiting, slots int
	}{
		{"many run", math.MaxInt64 / 2, 0, 64},
		{"many wait", 0, math.MaxInt64 / 2, 64},
		{"their sum is too large", math.MaxInt64, math.MaxInt64, 64},
		{"negative", -5, 0, 64},
		{"many slots", 0, 0, math.MaxInt64},
		{"negative slots", 0, 0, -5},
	}
	for _, tc := range tests {
		c := newChooser(1, []Candidate{{Upstream: "a", Slots: 64, Near: true}, {Upstream: "b", Slots: 64, Near: true}, {Upstream: "c", Slots: 64, Near: true}})
		want := c.FreeSlots(start)
		err := c.ReportLoad(Report{Upstream: "a", At: start, Running: tc.running, Waiting: tc.waiting, Slots: tc.slots})
		if err == nil {
			t.Errorf("%s: got no error, want one", tc.name)
		}
		if got := c.FreeSlots(start); got != want {
			t.Errorf("%s: got %d free slots of three upstreams, want %d as before", tc.name, got, want)
		}
		chosen := make(map[ident.Upstream]int)
		for range 30 {
			chosen[c.Choose(Request{}, start).Upstream]++
		}
		if len(chosen) != 3 {
			t.Errorf("%s: 30 requests: got %v, want some at each upstream", tc.name, chosen)
		}
	}
}

package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"crocuslug/ident"
)

// TestAgainstSorted holds the followed quantile against that of all lengths
// sorted, for lengths as skewed as answers are.
func TestAgainstSorted(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, scale := range []float64{20, 400, 5000} {
		e := New(Settings{})
		var all []float64
		sum, n := 0.0, 0
		for i := range 3000 {
			v := scale * math.Exp(0.6*rng.NormFloat64())
			e.Note("w", "m", int(v))
			all = append(all, v)
			if i >= 500 {
				sum += e.Remaining(Request{Workspace: "w", Model: "m"})
				n++
			}
		}
		slices.Sort(all)
		got, want := sum/float64(n), all[int(defaultQuantile*float64(len(all)))]
		if math.Abs(got-want) > 0.15*want {
			t.Errorf("estimate: got %.0f, want %.0f within 15%%", got, want)
		}
	}
}

func TestCorrectedAndBounded(t *testing.T) {
	e := New(Settings{Pairs: 100})
	for i := range 1000 {
		e.Note(ident.Workspace(fmt.Sprint(i)), "m", 10)
	}
	if got, want := len(e.pairs), 100; got != want {
		t.Errorf("pairs: got %d, want %d", got, want)
	}
	r := Request{Workspace: "new", Produced: 100}
	if got, want := e.Remaining(r), 300.0; got != want {
		t.Errorf("remaining: got %v, want %v", got, want)
	}
	r.Produced = 1000
	if got, want := e.Remaining(r), 500.0; got != want {
		t.Errorf("remaining beyond the estimate: got %v, want %v", got, want)
	}
	r.MaxTokens = 1200
	if got, want := e.Remaining(r), 200.0; got != want {
		t.Errorf("remaining below the bound: got %v, want %v", got, want)
	}
}

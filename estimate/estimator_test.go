package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"crocuslug/ident"
)

// TestQuantileAgainstSorted compares the estimate with the exact quantile of all lengths.
// The lengths are skewed like those of answers.
func TestQuantileAgainstSorted(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, scale := range []float64{20, 400, 5000} {
		e := New(Settings{})
		var lengths []float64
		sum, n := 0.0, 0
		for i := range 3000 {
			v := scale * math.Exp(0.6*rng.NormFloat64())
			e.Record("w", "m", int(v))
			lengths = append(lengths, v)
			if i >= 500 {
				sum += e.Remaining(Request{Workspace: "w", Model: "m"})
				n++
			}
		}
		slices.Sort(lengths)
		got, want := sum/float64(n), lengths[int(defaultQuantile*float64(len(lengths)))]
		if math.Abs(got-want) > 0.15*want {
			t.Errorf("estimate: got %.0f, want %.0f within 15%%", got, want)
		}
	}
}

// TestRemaining checks the bound on kept pairs and the remaining tokens of an answer
// below and beyond its estimate and with a bound.
func TestRemaining(t *testing.T) {
	e := New(Settings{MaxPairs: 100})
	for i := range 1000 {
		e.Record(ident.Workspace(fmt.Sprint(i)), "m", 10)
	}
	if got, want := len(e.elements), 100; got != want {
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
		t.Errorf("remaining with MaxTokens: got %v, want %v", got, want)
	}
}

package measureload

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// arrival is one request of a plan.
type arrival struct {
	at     time.Duration // since the start
	kind   int
	tokens int
	prompt string
	first  int // address that is tried first
}

// phase is a time with a constant rate of arrivals for each kind.
type phase struct {
	length time.Duration
	load   float64 // offered, as a share of capacity
}

// Shape of the lunch hour, with its minute compressed.
var lunchPhases = []phase{
	{6 * time.Second, 0.6},
	{2 * time.Second, 1.2},
	{12 * time.Second, 2.4},
	{5 * time.Second, 0.6},
}

const standingLoad = 0.6

// plan draws the arrivals of a shape.
func plan(s shape, phases []phase, seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 0))
	var out []arrival
	for i, k := range s.kinds {
		at := 0.0
		began := 0.0
		for _, p := range phases {
			load := p.load
			if k.steady {
				load = standingLoad
			}
			rate := s.rate(k, load)
			end := began + p.length.Seconds()
			for at += rng.ExpFloat64() / rate; at < end; at += rng.ExpFloat64() / rate {
				out = append(out, arrival{
					at:     time.Duration(at * float64(time.Second)),
					kind:   i,
					tokens: length(rng, k.tokens),
					prompt: text(rng, k.prompt),
					first:  rng.IntN(1 << 16),
				})
			}
			at, began = end, end
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return out
}

// length draws the length of an answer from half to one and a half of the mean.
func length(rng *rand.Rand, mean int) int {
	return max(1, mean/2+rng.IntN(mean+1))
}

// text draws a prompt of about n bytes that no other one begins like.
func text(rng *rand.Rand, n int) string {
	word := fmt.Sprintf("%016x ", rng.Uint64())
	return strings.Repeat(word, n/len(word)+1)
}

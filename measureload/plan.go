package measureload

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// arrival is one planned request.
type arrival struct {
	at            time.Duration // since the start
	kind          int           // index into the kinds of the deployment
	answerTokens  int           // length of the answer
	prompt        string
	firstInstance int // index of the instance that the caller tries first
}

// phase is a period with a constant arrival rate for each kind of request.
type phase struct {
	duration time.Duration
	load     float64 // offered load as a share of capacity
}

// lunchPhases is the load of the lunch hour, compressed in time.
var lunchPhases = []phase{
	{6 * time.Second, 0.6},
	{2 * time.Second, 1.2},
	{12 * time.Second, 2.4},
	{5 * time.Second, 0.6},
}

// steadyLoad is the load from which steady kinds take their constant arrival rate.
const steadyLoad = 0.6

// plan draws the arrivals of all kinds of requests as Poisson processes, in order of time.
func plan(d deployment, phases []phase, seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 0))
	var out []arrival
	for i, k := range d.requestKinds {
		at := 0.0
		began := 0.0
		for _, p := range phases {
			load := p.load
			if k.steady {
				load = steadyLoad
			}
			rate := d.rate(k, load)
			end := began + p.duration.Seconds()
			for at += rng.ExpFloat64() / rate; at < end; at += rng.ExpFloat64() / rate {
				out = append(out, arrival{
					at:            time.Duration(at * float64(time.Second)),
					kind:          i,
					answerTokens:  drawAnswerLength(rng, k.meanTokens),
					prompt:        drawPrompt(rng, k.promptBytes),
					firstInstance: rng.IntN(1 << 16),
				})
			}
			at, began = end, end
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return out
}

// drawAnswerLength draws the length of an answer in tokens, uniformly from half to one and a half
// times the mean.
func drawAnswerLength(rng *rand.Rand, mean int) int {
	return max(1, mean/2+rng.IntN(mean+1))
}

// drawPrompt draws a prompt of about n bytes that shares no prefix with any other.
func drawPrompt(rng *rand.Rand, n int) string {
	word := fmt.Sprintf("%016x ", rng.Uint64())
	return strings.Repeat(word, n/len(word)+1)
}

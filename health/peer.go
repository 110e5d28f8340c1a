package health

import (
	"math"
	"time"

	"crocuslug/ident"
)

// state is the verdict on one upstream.
type state int

const (
	fine state = iota
	ejected
	dead
)

// peer is what is known about one upstream.
type peer struct {
	name    ident.Upstream
	state   state
	out     bool      // as last told
	since   time.Time // when it got into the state
	until   time.Time // when the next trial is due
	backOff time.Duration
	trial   bool
	tried   time.Time

	row      int     // failures in a row
	requests float64 // decayed counts
	failures float64
	counted  time.Time
	answers  int
	latency  float64 // seconds, smoothed
}

// count adds an outcome to the decayed counts.
func (p *peer) count(o Outcome, halfLife time.Duration, now time.Time) {
	decay := math.Exp2(-float64(now.Sub(p.counted)) / float64(halfLife))
	p.requests = p.requests*decay + 1
	p.failures *= decay
	p.counted = now
	if o.Kind != OK {
		p.failures++
		p.row++
		return
	}
	p.row = 0
	const weight = 0.1
	if p.answers == 0 {
		p.latency = o.Latency.Seconds()
	}
	p.latency += weight * (o.Latency.Seconds() - p.latency)
	p.answers++
}

// admit takes the upstream back with a clean record. The back-off is kept, so
// that one that fails again soon stays out longer. A trial that runs goes on.
func (p *peer) admit(now time.Time) {
	*p = peer{name: p.name, out: p.out, since: now, backOff: p.backOff, trial: p.trial, tried: p.tried}
}

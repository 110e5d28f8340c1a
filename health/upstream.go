package health

import (
	"math"
	"time"

	"crocuslug/ident"
)

// state is the assessment of an upstream.
type state int

const (
	healthy state = iota
	ejected
	dead
)

// upstream is the state of one upstream.
type upstream struct {
	name        ident.Upstream
	state       state
	reportedOut bool      // state according to the last change returned
	since       time.Time // time of entry into the state
	nextTrial   time.Time // earliest time of the next trial
	backOff     time.Duration
	onTrial     bool
	trialStart  time.Time

	consecutiveFailures int
	consecutiveSilent   int     // failures of these that are Silent
	requests            float64 // exponentially decayed
	failures            float64
	countedAt           time.Time
	answers             int
	latency             float64 // exponentially smoothed, in seconds
}

// count adds an outcome to the decayed counts.
func (p *upstream) count(o Outcome, halfLife time.Duration, now time.Time) {
	decay := math.Exp2(-float64(now.Sub(p.countedAt)) / float64(halfLife))
	p.requests = p.requests*decay + 1
	p.failures *= decay
	p.countedAt = now
	if o.Kind != OK {
		p.failures++
		p.consecutiveFailures++
		if o.Kind == Silent {
			p.consecutiveSilent++
		}
		return
	}
	p.consecutiveFailures, p.consecutiveSilent = 0, 0
	const weight = 0.1
	if p.answers == 0 {
		p.latency = o.Latency.Seconds()
	}
	p.latency += weight * (o.Latency.Seconds() - p.latency)
	p.answers++
}

// readmit marks the upstream as healthy and resets its counts. The back-off is kept, so that an
// upstream that soon fails again stays out longer. A running trial continues.
func (p *upstream) readmit(now time.Time) {
	*p = upstream{name: p.name, reportedOut: p.reportedOut, since: now, backOff: p.backOff, onTrial: p.onTrial, trialStart: p.trialStart}
}

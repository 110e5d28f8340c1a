// Package silence tells how long a stream may be quiet before it is suspect.
//
// The limit follows the gaps that the stream has shown, as the retransmission
// timer of TCP follows round trips (Jacobson, Congestion Avoidance and Control,
// SIGCOMM 1988). Waiting for the first token and waiting between tokens have
// estimates of their own. A suspicion is cheap, since the stream is first asked
// for over a new connection, so the limits can be short.
package silence

import "time"

// Settings bound the limits. Zero values mean the defaults.
type Settings struct {
	FirstFloor time.Duration // least limit before the first token
	GapFloor   time.Duration // least limit between tokens
	Ceiling    time.Duration // greatest limit
}

// Defaults of Settings.
const (
	defaultFirstFloor = 400 * time.Millisecond
	defaultGapFloor   = 150 * time.Millisecond
	defaultCeiling    = 5 * time.Second
)

// Detector estimates the limits of one stream. It is not safe for use by
// several goroutines at once.
type Detector struct {
	cfg   Settings
	first estimate
	gap   estimate
	scale time.Duration // factor on the limits; 1 unless a suspicion was wrong
}

// New returns a detector without observations.
func New(cfg Settings) *Detector {
	if cfg.FirstFloor == 0 {
		cfg.FirstFloor = defaultFirstFloor
	}
	if cfg.GapFloor == 0 {
		cfg.GapFloor = defaultGapFloor
	}
	if cfg.Ceiling == 0 {
		cfg.Ceiling = defaultCeiling
	}
	return &Detector{cfg: cfg, scale: 1}
}

// First takes in the time from the start of a stream to its first token.
func (d *Detector) First(wait time.Duration) {
	d.first.add(wait)
	d.scale = 1
}

// Gap takes in the time between two tokens.
func (d *Detector) Gap(gap time.Duration) {
	d.gap.add(gap)
	d.scale = 1
}

// FirstLimit returns how long to wait for the first token.
func (d *Detector) FirstLimit() time.Duration {
	return d.clamp(d.first.limit(), d.cfg.FirstFloor)
}

// GapLimit returns how long to wait for the next token.
func (d *Detector) GapLimit() time.Duration {
	return d.clamp(d.gap.limit(), d.cfg.GapFloor)
}

// Back doubles the limits until the next observation, after a suspicion that
// was wrong.
func (d *Detector) Back() {
	d.scale = min(2*d.scale, maxScale)
}

func (d *Detector) clamp(v, floor time.Duration) time.Duration {
	return min(max(v, floor)*d.scale, d.cfg.Ceiling)
}

// maxScale bounds the factor on the limits.
const maxScale = 64

// deviations is how many mean deviations above the mean the limit lies.
const deviations = 6

// Weights of a new observation in the running mean and deviation.
const (
	meanShift = 3
	devShift  = 2
)

// estimate is a running mean with its mean deviation.
type estimate struct {
	mean, dev time.Duration
	seen      bool
}

func (e *estimate) add(v time.Duration) {
	if !e.seen {
		e.mean, e.dev, e.seen = v, v/2, true
		return
	}
	diff := v - e.mean
	e.mean += diff >> meanShift
	e.dev += (diff.Abs() - e.dev) >> devShift
}

func (e *estimate) limit() time.Duration {
	return e.mean + deviations*e.dev
}

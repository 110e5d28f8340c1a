// Package silence computes adaptive timeouts for streams of tokens.
//
// The timeout is estimated from the gaps observed on the stream, as TCP estimates
// its retransmission timeout from round-trip times (Jacobson, Congestion
// Avoidance and Control, SIGCOMM 1988). The wait for the first token and the gaps
// between tokens are estimated separately. The timeouts can be short because an
// unnecessary one costs little: the stream is only requested again over a new
// connection.
package silence

import "time"

// Settings holds the bounds of the timeouts. Zero values select the defaults.
type Settings struct {
	MinFirstTimeout time.Duration // minimum timeout before the first token
	MinGapTimeout   time.Duration // minimum timeout between tokens
	MaxTimeout      time.Duration // maximum timeout
}

// Defaults of Settings.
const (
	defaultMinFirstTimeout = 400 * time.Millisecond
	defaultMinGapTimeout   = 150 * time.Millisecond
	defaultMaxTimeout      = 5 * time.Second
)

// Detector estimates the timeouts of one stream. It is not safe for concurrent use.
type Detector struct {
	cfg   Settings
	first estimate
	gap   estimate
	scale time.Duration // backoff factor; 1 after an observation
}

// New returns a detector without observations.
func New(cfg Settings) *Detector {
	if cfg.MinFirstTimeout == 0 {
		cfg.MinFirstTimeout = defaultMinFirstTimeout
	}
	if cfg.MinGapTimeout == 0 {
		cfg.MinGapTimeout = defaultMinGapTimeout
	}
	if cfg.MaxTimeout == 0 {
		cfg.MaxTimeout = defaultMaxTimeout
	}
	return &Detector{cfg: cfg, scale: 1}
}

// ObserveFirst records the time from the start of a stream to its first token.
func (d *Detector) ObserveFirst(wait time.Duration) {
	d.first.add(wait)
	d.scale = 1
}

// ObserveGap records the time between two tokens.
func (d *Detector) ObserveGap(gap time.Duration) {
	d.gap.add(gap)
	d.scale = 1
}

// FirstTimeout returns how long to wait for the first token.
func (d *Detector) FirstTimeout() time.Duration {
	return d.clamp(d.first.timeout(), d.cfg.MinFirstTimeout)
}

// GapTimeout returns how long to wait for the next token.
func (d *Detector) GapTimeout() time.Duration {
	return d.clamp(d.gap.timeout(), d.cfg.MinGapTimeout)
}

// BackOff doubles the timeouts until the next observation. It is called after a timeout,
// which may have been premature.
func (d *Detector) BackOff() {
	d.scale = min(2*d.scale, maxScale)
}

func (d *Detector) clamp(v, minimum time.Duration) time.Duration {
	return min(max(v, minimum)*d.scale, d.cfg.MaxTimeout)
}

// maxScale is the maximum backoff factor.
const maxScale = 64

// deviationFactor is the number of mean deviations that the timeout adds to the mean.
const deviationFactor = 6

// Binary shifts for the weight of a new observation: 1/8 in the mean and 1/4 in the deviation.
const (
	meanShift      = 3
	deviationShift = 2
)

// estimate is a moving average and its mean deviation.
type estimate struct {
	mean, deviation time.Duration
	hasValue        bool
}

func (e *estimate) add(v time.Duration) {
	if !e.hasValue {
		e.mean, e.deviation, e.hasValue = v, v/2, true
		return
	}
	diff := v - e.mean
	e.mean += diff >> meanShift
	e.deviation += (diff.Abs() - e.deviation) >> deviationShift
}

func (e *estimate) timeout() time.Duration {
	return e.mean + deviationFactor*e.deviation
}

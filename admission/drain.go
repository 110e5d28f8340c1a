package admission

import "time"

// drainRate measures the rate, in cost per second, at which waiting requests are
// granted.
type drainRate struct {
	window      time.Duration
	windowStart time.Time
	cost        float64
	grantCount  int
	rate        float64
	known       bool
}

// A measuring window lasts until it has enough grants, so that a few expensive
// requests do not look like a stalled queue, but at most maxWindowFactor times
// its configured length.
const (
	minWindowGrants = 3
	maxWindowFactor = 4
)

// rollWindow closes the window once it is long enough and smooths its rate into the
// average. Time without a backlog does not count.
func (d *drainRate) rollWindow(backlogged bool, now time.Time) {
	if !backlogged {
		d.windowStart = now
		d.cost, d.grantCount = 0, 0
		return
	}
	elapsed := now.Sub(d.windowStart)
	if elapsed < d.window || d.grantCount < minWindowGrants && elapsed < maxWindowFactor*d.window {
		return
	}
	const weight = 0.3
	sample := d.cost / elapsed.Seconds()
	if !d.known {
		d.rate = sample
	}
	d.known = true
	d.rate += weight * (sample - d.rate)
	d.windowStart = now
	d.cost, d.grantCount = 0, 0
}

// addGrant adds a grant of the given cost if sign is 1 and removes one if sign is -1.
func (d *drainRate) addGrant(cost float64, sign int) {
	d.cost = max(0, d.cost+float64(sign)*cost)
	d.grantCount = max(0, d.grantCount+sign)
}

// timeFor returns the time needed to grant requests of the given total cost, at most
// limit. It returns 0 while the rate is unknown.
func (d *drainRate) timeFor(cost float64, limit time.Duration) time.Duration {
	if !d.known || cost <= 0 {
		return 0
	}
	seconds := cost / max(d.rate, 1e-9)
	if seconds >= limit.Seconds() {
		return limit
	}
	return time.Duration(seconds * float64(time.Second))
}

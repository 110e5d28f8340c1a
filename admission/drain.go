package admission

import "time"

// drain measures the cost granted per second while requests wait.
type drain struct {
	window time.Duration
	since  time.Time
	cost   float64
	grants int
	rate   float64
	known  bool
}

// A window ends after some grants, so that a burst of long requests is not taken
// for a standstill, but after so many times its length at the latest.
const (
	leastGrants = 3
	mostWindows = 4
)

// roll ends the window if it is over. Time without a backlog does not count.
func (d *drain) roll(backlogged bool, now time.Time) {
	if !backlogged {
		d.since = now
		d.cost, d.grants = 0, 0
		return
	}
	elapsed := now.Sub(d.since)
	if elapsed < d.window || d.grants < leastGrants && elapsed < mostWindows*d.window {
		return
	}
	const weight = 0.3
	sample := d.cost / elapsed.Seconds()
	if !d.known {
		d.rate = sample
	}
	d.known = true
	d.rate += weight * (sample - d.rate)
	d.since = now
	d.cost, d.grants = 0, 0
}

// count counts a grant, or takes it back if n is -1.
func (d *drain) count(cost float64, n int) {
	d.cost = max(0, d.cost+float64(n)*cost)
	d.grants = max(0, d.grants+n)
}

// delay returns the time that the granting of cost takes: none while the rate is
// not known, at most limit.
func (d *drain) delay(cost float64, limit time.Duration) time.Duration {
	if !d.known || cost <= 0 {
		return 0
	}
	seconds := cost / max(d.rate, 1e-9)
	if seconds >= limit.Seconds() {
		return limit
	}
	return time.Duration(seconds * float64(time.Second))
}

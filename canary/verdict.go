package canary

import (
	"maps"
	"math"
	"time"
)

// Constants of the verdict.
const (
	minFailed = 3    // failures of the new build that make a verdict
	minBad    = 6    // failures and slow answers that make one; a few answers are slow by chance at any build
	minExcess = 0.15 // by which its fraction of bad answers exceeds that of the former builds
	minRatio  = 3    // times that fraction
	// significance is the probability of as many bad answers at that fraction, below which it is no chance. Some hundred
	// periods and routes are judged in a delivery; at 3e-4 one of 6 simulated deliveries of a good build was rolled back.
	significance = 1e-5
	// An unknown fraction of the former builds is taken for priorBad of priorAnswers.
	priorBad     = 1
	priorAnswers = 4
)

// Snapshots of the sums, against which recent answers are judged, so that a build that turns bad late is not judged
// by its earlier answers.
const (
	snapshotInterval = 500 * time.Millisecond
	maxSnapshots     = 16
	rateInterval     = time.Second // over which the rate of attempts is compared
)

// A burst of attempts slows the answers of any build. After promotion the former builds give none to compare with, so
// that slow answers do not count while there are burstFactor times as many attempts as before, and burstRest after it.
const (
	burstFactor   = 1.5
	burstRest     = 2 * time.Second
	maxBurstPause = 4 * time.Second // for which slow answers do not count in one delivery
)

// snapshot holds the sums at a time.
type snapshot struct {
	at time.Time
	totals
}

// judge decides whether the build is bad, at each bad answer and each snapshot.
func (d *delivery) judge(now time.Time) bool {
	d.takeSnapshot(now)
	if !d.changed {
		return false
	}
	d.changed = false
	if d.badSince(snapshot{at: d.given}, now) {
		return true
	}
	for _, s := range d.snapshots {
		if d.badSince(s, now) {
			return true
		}
	}
	return false
}

// takeSnapshot keeps the sums from time to time.
func (d *delivery) takeSnapshot(now time.Time) {
	n := len(d.snapshots)
	if n > 0 && now.Sub(d.snapshots[n-1].at) < snapshotInterval {
		return
	}
	d.findBurst(now)
	if n >= maxSnapshots {
		d.snapshots = append(d.snapshots[:0], d.snapshots[1:]...)
	}
	sums := d.known
	sums.routes = maps.Clone(sums.routes)
	d.snapshots = append(d.snapshots, snapshot{now, sums})
	d.changed = true
}

// findBurst compares the recent rate of attempts with the rate before promotion.
func (d *delivery) findBurst(now time.Time) {
	if d.promoted.IsZero() || d.rate <= 0 {
		return
	}
	for i := len(d.snapshots) - 1; i >= 0; i-- {
		s := d.snapshots[i]
		period := now.Sub(s.at)
		if period < rateInterval {
			continue
		}
		want := d.rate * period.Seconds()
		if float64(d.known.sent-s.sent) > burstFactor*want+3*math.Sqrt(want) && d.burstPause < maxBurstPause {
			d.burstPause += min(now.Sub(d.snapshots[len(d.snapshots)-1].at), rateInterval)
			d.slowFrom = now.Add(burstRest)
		}
		return
	}
}

// badSince judges the answers since a snapshot.
func (d *delivery) badSince(s snapshot, now time.Time) bool {
	countSlow := !s.at.Before(d.slowFrom) && !now.Before(d.slowFrom)
	if bad(d.known.all.sub(s.all), d.known.all.Former, countSlow) {
		return true
	}
	for route, known := range d.known.routes {
		if bad(known.sub(s.routes[route]), known.Former, countSlow) {
			return true
		}
	}
	return false
}

// bad compares recent answers of the new build with those of the former builds.
func bad(recent sides, former counts, countSlow bool) bool {
	return worse(recent, former, minFailed, func(c counts) int64 { return c[failed] }) ||
		countSlow && worse(recent, former, minBad, counts.bad)
}

// worse compares the fractions of what is counted. Of the recent answers of the former builds and all of them, the
// worse fraction counts, so that trouble that both sides have is not held against the new build.
func worse(recent sides, former counts, least float64, count func(counts) int64) bool {
	n, k := float64(recent.New[answers]), float64(count(recent.New))
	if k < least {
		return false
	}
	base := fraction(count(former), former[answers])
	if recent.Former[answers] >= meanAnswers {
		base = max(base, fraction(count(recent.Former), recent.Former[answers]))
	}
	return k/n > base+minExcess && k/n > minRatio*base && poissonTail(int(k), n*base) < significance
}

func fraction(k, n int64) float64 {
	return (float64(k) + priorBad) / (float64(n) + priorAnswers)
}

// poissonTail returns the probability of at least k events where mean are expected.
func poissonTail(k int, mean float64) float64 {
	if float64(k) <= mean {
		return 1
	}
	// The sum starts at k, where the terms fall, so that no small difference of large numbers is taken.
	logTerm := -mean + float64(k)*math.Log(mean)
	lg, _ := math.Lgamma(float64(k) + 1)
	term := math.Exp(logTerm - lg)
	sum := 0.0
	for i := k; term > sum*1e-9; i++ {
		sum += term
		term *= mean / float64(i+1)
	}
	return sum
}

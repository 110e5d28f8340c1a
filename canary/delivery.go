package canary

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"crocuslug/ident"
	"crocuslug/store"
)

// Parts of the time from the order to the deadline, and the evidence that leaving Canary needs.
const (
	promoteFrom   = 0.45 // with enough answers of the new build
	promoteAnyway = 0.55 // with fewer, none of them bad
	promoteLast   = 0.6  // with fewer and a bad one
	enoughAnswers = 20
	// minOwnTime is what an instance waits after it has read an order, so that it has heard a verdict of others before
	// it leaves Canary; at most minOwnShare of the time to the deadline.
	minOwnTime  = 2 * time.Second
	minOwnShare = 0.25
	rampTime    = time.Second // in which the share rises to 1
)

// Constants of the credit.
const (
	shareMargin     = 0.8 // of Settings.Share; the rest is for attempts that do not pass Choose
	earlyPart       = 0.5 // of Settings.Slack that instances may use before they have earned credit
	earlyTime       = 2 * time.Second
	earlyKnown      = 2 * time.Second // for which an instance has run and known its peers before it may
	reservationTime = time.Second
)

// phase is how far a delivery is for one instance.
type phase string

const (
	inCanary   phase = "Canary"
	promoted   phase = "Promoted"
	rolledBack phase = "RolledBack"
	finished   phase = "Done"
	withdrawn  phase = "Withdrawn"
)

// delivery is the state of one order.
type delivery struct {
	order     Order
	given     time.Time // oldest known time of the order
	seen      time.Time // time at which this instance read it
	withdrawn bool
	verdict   State     // RolledBack, Done or ""
	ended     time.Time // time of the verdict
	written   bool      // the verdict is in the store

	early    float64     // credit that was not earned
	chosen   float64     // attempts of new work
	sent     float64     // attempts on all builds
	sentNew  float64     // attempts on the new build
	reserved []time.Time // choices of the new build that are not sent yet

	promoted time.Time // time at which Canary was left; zero before
	ramp     float64   // part of an attempt that is due to the new build while the share rises

	own     *run
	runs    map[runID]*run
	known   totals
	pending map[string][]pending

	changed    bool // there are answers that were not judged
	snapshots  []snapshot
	rate       float64 // attempts a second of all instances before promotion
	slowFrom   time.Time
	burstPause time.Duration

	writing writing
}

func newDelivery(o Order, self runID, now time.Time) *delivery {
	d := &delivery{order: o, given: now.Add(-max(0, o.Age)), seen: now, runs: make(map[runID]*run), pending: make(map[string][]pending)}
	d.known.routes = make(map[string]sides)
	d.own = d.run(self)
	// Instances with few attempts would otherwise begin to use the new build all at the end of the rise.
	d.ramp = float64(xxh3.HashStringSeed(string(self.instance), uint64(o.Version))>>11) / (1 << 53)
	return d
}

func (d *delivery) is(to ident.Build, v store.Version) bool {
	return d.order.To == to && d.order.Version == v
}

// older takes over an age of the order if it is higher.
func (d *delivery) older(age time.Duration, now time.Time) {
	if given := now.Add(-age); age <= maxAge && given.Before(d.given) {
		d.given = given
	}
}

// end records a verdict.
func (d *delivery) end(v State, now time.Time) {
	if d.verdict == "" {
		d.ended = now
	}
	d.verdict = v
	d.reserved, d.pending, d.snapshots = nil, nil, nil
}

func (d *delivery) active() bool { return d.verdict == "" && !d.withdrawn }

// deadline returns the time by which the delivery is to end.
func (d *delivery) deadline() time.Time { return d.given.Add(d.order.FinishBy) }

func (d *delivery) phase() phase {
	switch {
	case d.verdict == Done:
		return finished
	case d.verdict == RolledBack:
		return rolledBack
	case d.withdrawn:
		return withdrawn
	case !d.promoted.IsZero():
		return promoted
	}
	return inCanary
}

// mayPromote reports whether the time and the evidence allow Canary to be left.
func (d *delivery) mayPromote(now time.Time) bool {
	total := d.order.FinishBy
	if now.Sub(d.seen) < min(minOwnTime, time.Duration(minOwnShare*float64(total))) {
		return false
	}
	from := promoteAnyway
	switch {
	case d.known.all.New[answers] >= enoughAnswers:
		from = promoteFrom
	case d.known.all.New.bad() > 0:
		from = promoteLast
	}
	return now.Sub(d.given) >= time.Duration(from*float64(total))
}

// promote leaves Canary.
func (d *delivery) promote(now time.Time) {
	d.promoted = now
	d.rate = float64(d.known.sent) / max(1, now.Sub(d.given).Seconds())
}

// share returns the fraction of new work that goes to the new build. The square keeps the requests few until the
// first of the raised number have been answered.
func (d *delivery) share(cfg Settings, now time.Time) float64 {
	switch d.phase() {
	case finished:
		return 1
	case promoted:
		part := min(1, now.Sub(d.promoted).Seconds()/rampTime.Seconds())
		return part * part
	case inCanary:
		return shareMargin * cfg.Share
	}
	return 0
}

// choose returns whether the next attempt of new work goes to the new build, and reserves its credit.
func (d *delivery) choose(cfg Settings, now time.Time) bool {
	d.chosen++
	if d.phase() == promoted {
		d.ramp += d.share(cfg, now)
		if d.ramp < 1 {
			return false
		}
		d.ramp = min(1, d.ramp-1)
		return true
	}
	lapsed := 0
	for lapsed < len(d.reserved) && now.Sub(d.reserved[lapsed]) >= reservationTime {
		lapsed++
	}
	d.reserved = d.reserved[lapsed:]
	if d.credit(cfg) < 1 {
		return false
	}
	d.reserved = append(d.reserved, now)
	return true
}

// credit returns how many attempts may go to the new build. An attempt earns credit when it was chosen and sent:
// a choice for which no upstream is found and that is repeated earns it once, as does a stream that is continued.
func (d *delivery) credit(cfg Settings) float64 {
	const rounding = 1e-9 // so that 1/(share) attempts give one
	return shareMargin*cfg.Share*min(d.chosen, d.sent) + d.early - d.sentNew - float64(len(d.reserved)) + rounding
}

// send charges an attempt.
func (d *delivery) send(toNew bool, now time.Time) {
	d.sent++
	d.setSent(d.own, d.own.sent+1, now)
	if !toNew {
		return
	}
	d.sentNew++
	if len(d.reserved) > 0 {
		d.reserved = d.reserved[1:]
	}
}

// earlyInstances returns how many instances may start with one request of credit.
func (c Settings) earlyInstances() int { return int(math.Floor(earlyPart * c.Slack)) }

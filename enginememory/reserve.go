package enginememory

import (
	"math"
	"time"

	"crocuslug/ident"
)

// Bounds of the reserve for urgent requests, as fractions of the memory of all usable engines. Below
// the floor, a few streams more than expected would find no room; above the ceiling, urgent requests
// alone would use most of the memory and less urgent ones would never start.
const (
	reserveFloor   = 0.02
	reserveCeiling = 0.5
	// initialReserve applies for initialPeriod after the first decision, while rates are not known yet.
	initialReserve = 0.1
	initialPeriod  = 5 * time.Second
)

// minUrgent is the number of urgent requests in rateWindow, at all instances together, below which
// none is expected. Without urgent requests a rate decays to that within seconds.
const minUrgent = 0.5

// maxPlaceShare is the greatest fraction of the places at the engines in the share of this instance
// that less urgent requests leave for its own urgent ones.
const maxPlaceShare = 1.0 / 3

// defaultReading is the time that an engine needs to read a prompt before one has been seen.
const defaultReading = time.Second

// urgency is what is known of urgent requests of this instance.
type urgency struct {
	arrived rate          // tokens
	waiting int           // tokens of those that wait
	reading time.Duration // mean time that an engine needs to read their prompts
	decided time.Time     // time of the first decision
}

// UrgentArrived records the arrival of an urgent request with the time that an engine needs to read
// its prompt.
func (l *Ledger) UrgentArrived(tokens int, reading time.Duration, now time.Time) {
	l.urgent.arrived.add(float64(l.size(tokens)), now)
	if l.urgent.reading == 0 {
		l.urgent.reading = reading
	}
	l.urgent.reading += time.Duration(sizeWeight * float64(reading-l.urgent.reading))
}

// SetUrgentWaiting sets the tokens of the urgent requests that wait at this instance.
func (l *Ledger) SetUrgentWaiting(tokens int) { l.urgent.waiting = tokens }

// Spare reports whether a less urgent request may start now: the usable engines then still have room
// for the urgent requests that wait at any instance and for those that are expected while an engine
// reads a prompt. It also leaves places in the share of this instance for its own part of them, since
// little room at each of many engines serves none.
func (l *Ledger) Spare(tokens int, usable func(ident.Upstream) bool, now time.Time) bool {
	if l.urgent.decided.IsZero() {
		l.urgent.decided = now
	}
	size := l.meanTokens
	if size <= 0 {
		return true
	}
	rate := l.urgent.arrived.perSecond(now) + float64(l.site.Demand.Urgent)*l.untoldFactor
	if rate*rateWindow.Seconds() < minUrgent*size {
		rate = 0
	}
	window := defaultReading
	if l.urgent.reading > 0 {
		window = l.urgent.reading
	}
	expected := rate * window.Seconds()
	free, total, places, sharePlaces := 0.0, 0.0, 0.0, 0.0
	for u, e := range l.engines {
		if !usable(u) {
			continue
		}
		room := float64(l.memory - e.own - e.peers)
		free += max(0, room)
		total += float64(l.memory)
		if e.inShare {
			places += math.Floor(max(0, room) / size)
			sharePlaces += math.Floor(float64(l.memory) / size)
		}
	}
	reserve := expected + float64(l.urgent.waiting+l.site.Demand.Waiting)
	if rate > 0 {
		reserve = max(reserve, reserveFloor*total)
	}
	if now.Sub(l.urgent.decided) < initialPeriod {
		reserve = max(reserve, initialReserve*total)
	}
	if free-float64(l.size(tokens)) < min(reserve, reserveCeiling*total) {
		return false
	}
	own := math.Ceil(expected / size / float64(max(1, l.site.Live)))
	return sharePlaces == 0 || places-1 >= min(own, math.Floor(maxPlaceShare*sharePlaces))
}

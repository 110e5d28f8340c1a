package routing

import (
	"math"
	"time"

	"crocuslug/ident"
)

// historySize is the number of own in-flight counts kept for an upstream.
const historySize = 64

// engine is what is known about one candidate.
type engine struct {
	Candidate
	out      bool
	own      int // own requests in flight
	history  [historySize]sample
	at       int // next place in history
	report   Report
	reported bool
	others   float64   // reported load less the own requests at that time
	reading  int       // prompt tokens that own requests have yet to be read for
	read     time.Time // when there were prompts to be read, at the latest
	queued   float64   // the same of other instances' requests, as they told at the time of the report
	penalty  float64   // seconds at time failed
	failed   time.Time
	gap      float64 // seconds between tokens, as last observed
	paced    time.Time
}

type sample struct {
	at  time.Time
	own int
}

func (e *engine) count(delta int, now time.Time) {
	e.own = max(0, e.own+delta)
	e.history[e.at] = sample{now, e.own}
	e.at = (e.at + 1) % historySize
}

// ownAt returns the own in-flight count at time t, or the oldest one known.
func (e *engine) ownAt(t time.Time) int {
	own := 0
	for i := 1; i <= historySize; i++ {
		s := e.history[(e.at-i+historySize)%historySize]
		if s.at.IsZero() {
			return 0
		}
		own = s.own
		if !s.at.After(t) {
			return own
		}
	}
	return own
}

// take keeps a report and returns the part of its load that others sent.
func (e *engine) take(r Report) float64 {
	e.report = r
	e.reported = true
	e.others = max(0, float64(r.Running+r.Waiting-e.ownAt(r.At)))
	return e.others
}

// load estimates the requests at the engine: the own ones, which are known, and
// those of other instances, as reported, weighted by the report's age against
// prior, their mean over the polled engines.
func (e *engine) load(prior float64, halfLife time.Duration, now time.Time) float64 {
	if !e.reported {
		return float64(e.own) + prior
	}
	w := math.Exp2(-float64(max(0, now.Sub(e.report.At))) / float64(halfLife))
	return float64(e.own) + w*e.others + (1-w)*prior
}

func (e *engine) slots(byDefault int) float64 {
	if e.reported && e.report.Slots > 0 {
		return float64(e.report.Slots)
	}
	if e.Slots > 0 {
		return float64(e.Slots)
	}
	return float64(byDefault)
}

func (e *engine) holds(m Model) bool {
	if m.Name == "" {
		return true
	}
	for _, have := range e.Models {
		if have.Name == m.Name && fits(m.Version, have.Version) && fits(m.Adapter, have.Adapter) {
			return true
		}
	}
	return false
}

func fits(want, have string) bool {
	return want == "" || want == have
}

func (e *engine) usable(r *Request) bool {
	if e.out || e.Leaving || r.Only != "" && r.Only != e.Upstream {
		return false
	}
	if r.Apart != "" && r.Apart == e.Domain {
		return false
	}
	return !contains(r.Exclude, e.Upstream)
}

// idleFor is the time without a prompt after which an upstream is taken to be
// idle: by then the instances that may have sent one have told. One that never had
// any has just come, and others may see that as well.
const idleFor = 500 * time.Millisecond

// busy reports whether e has too many prompts to read for r.
func (e *engine) busy(r *Request, rate float64, now time.Time) bool {
	unread := float64(e.reading) + e.queued
	if r.MostBacklog > 0 && unread > 0 && (r.Shared && !e.Own || unread > rate*r.MostBacklog.Seconds()) {
		return true
	}
	idle := !e.read.IsZero() && now.Sub(e.read) >= idleFor
	return r.Paced && (unread > 0 || !e.Own && !idle)
}

func contains(us []ident.Upstream, u ident.Upstream) bool {
	for _, v := range us {
		if v == u {
			return true
		}
	}
	return false
}

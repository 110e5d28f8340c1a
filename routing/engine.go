package routing

import (
	"math"
	"time"

	"crocuslug/ident"
)

// historySize is the number of recorded in-flight counts per upstream.
const historySize = 64

// engine is the state of one candidate.
type engine struct {
	Candidate
	out          bool
	inFlight     int // this instance's requests in flight
	history      [historySize]countSample
	historyNext  int // index of the next entry of history
	report       Report
	reported     bool
	othersLoad   float64   // reported load minus the requests of this instance at that time
	unread       int       // prompt tokens of this instance that the engine has not read yet
	lastUnread   time.Time // last time at which there were known unread prompt tokens
	othersUnread float64   // unread prompt tokens of other instances at the time of the report
	penalty      float64   // extra cost in seconds at time failedAt
	failedAt     time.Time
	tokenGap     float64 // running mean of seconds between tokens
	tokenGapAt   time.Time
	factor       float64 // time that it takes for the same work, compared with the median; 0 means 1
	limit        int     // requests that it takes well; 0 means its slots
}

type countSample struct {
	at       time.Time
	inFlight int
}

// addInFlight changes the number of this instance's requests in flight and records it.
func (e *engine) addInFlight(delta int, now time.Time) {
	e.inFlight = max(0, e.inFlight+delta)
	e.history[e.historyNext] = countSample{now, e.inFlight}
	e.historyNext = (e.historyNext + 1) % historySize
}

// inFlightAt returns the number of this instance's requests in flight at time t, or the oldest
// recorded one.
func (e *engine) inFlightAt(t time.Time) int {
	count := 0
	for i := 1; i <= historySize; i++ {
		s := e.history[(e.historyNext-i+historySize)%historySize]
		if s.at.IsZero() {
			return 0
		}
		count = s.inFlight
		if !s.at.After(t) {
			return count
		}
	}
	return count
}

// recordReport records a load report and returns the part of the load sent by other instances.
func (e *engine) recordReport(r Report) float64 {
	e.report = r
	e.reported = true
	e.othersLoad = max(0, float64(r.Running+r.Waiting-e.inFlightAt(r.At)))
	return e.othersLoad
}

// load estimates the number of requests at the engine. It adds the requests of this instance,
// which are known, and those of other instances. The latter are a weighted mean of the
// reported number and of prior, the mean over the polled engines; the weight of the report
// decreases with its age.
func (e *engine) load(prior float64, halfLife time.Duration, now time.Time) float64 {
	if !e.reported {
		return float64(e.inFlight) + prior
	}
	w := math.Exp2(-float64(max(0, now.Sub(e.report.At))) / float64(halfLife))
	return float64(e.inFlight) + w*e.othersLoad + (1-w)*prior
}

// slots returns the number of slots: as reported, as configured, or byDefault, and no more than the upstream takes well.
func (e *engine) slots(byDefault int) float64 {
	n := e.declaredSlots(byDefault)
	if e.limit > 0 {
		return min(n, float64(e.limit))
	}
	return n
}

// pace returns the time that the upstream takes for the same work, compared with the median.
func (e *engine) pace() float64 {
	if e.factor <= 0 {
		return 1
	}
	return e.factor
}

func (e *engine) declaredSlots(byDefault int) float64 {
	if e.reported && e.report.Slots > 0 {
		return float64(e.report.Slots)
	}
	if e.Slots > 0 {
		return float64(e.Slots)
	}
	return float64(byDefault)
}

// hasModel reports whether the engine has m loaded.
func (e *engine) hasModel(m Model) bool {
	if m.Name == "" {
		return true
	}
	for _, have := range e.Models {
		if have.Name == m.Name && matches(m.Version, have.Version) && matches(m.Adapter, have.Adapter) {
			return true
		}
	}
	return false
}

// matches reports whether have is what a request wants, where "" stands for any.
func matches(want, have string) bool {
	return want == "" || want == have
}

// usable reports whether e may be chosen for r, whatever its load.
func (e *engine) usable(r *Request) bool {
	if e.out || e.Leaving || r.Only != "" && r.Only != e.Upstream {
		return false
	}
	if r.ExcludeDomain != "" && r.ExcludeDomain == e.Domain {
		return false
	}
	if r.ExcludeBuild != "" && r.ExcludeBuild == e.Build {
		return false
	}
	return e.Build.Continues(r.Build) && !contains(r.Exclude, e.Upstream)
}

// idleAfter is the time without unread prompts after which an upstream counts as idle. By then,
// other instances that have sent it a prompt have reported that. An upstream that has never
// had any prompt is new and does not count as idle, since other instances may have noticed
// it at the same time.
const idleAfter = 500 * time.Millisecond

// busy reports whether e has too many unread prompt tokens for r.
func (e *engine) busy(r *Request, rate float64, now time.Time) bool {
	unread := float64(e.unread) + e.othersUnread
	if r.MaxBacklog > 0 && unread > 0 && (r.RespectShares && !e.InShare || unread > rate*r.MaxBacklog.Seconds()) {
		return true
	}
	idle := !e.lastUnread.IsZero() && now.Sub(e.lastUnread) >= idleAfter
	return r.RequireIdle && (unread > 0 || !e.InShare && !idle)
}

func contains(us []ident.Upstream, u ident.Upstream) bool {
	for _, v := range us {
		if v == u {
			return true
		}
	}
	return false
}

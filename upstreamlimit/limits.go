// Package upstreamlimit keeps all instances together within the request rates that upstreams name
// for themselves.
//
// An upstream in need names in its answers the rate that it takes from all instances together. The
// answers of one upstream may reach several instances, so each tells the others what it was told,
// with the age of the answer, and the newest answer counts. An answer has an identity, so that it does not
// become newer by the time that messages take.
//
// The rate is shared by permits, one for each request. For each upstream one instance issues them
// from a token bucket, and the others ask it. Any instance can so use the whole rate, however many
// there are, and none has to know the demand of the others. A permit expires after a short time. In
// any interval of t seconds the holders of permits send at most the rate times t plus permitLifetime
// and burstTime, plus one. Where instances differ for a moment on which one issues them, each of these
// issues at most that.
//
// A Limits only decides. It has no clock and no goroutine; whoever owns it sends the messages.
package upstreamlimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/unit"
)

// Bounds of limits and permits.
const (
	maxRate        = 1e6              // greatest rate that an upstream may name, in requests a second
	minRate        = 0.1              // least rate at which permits are issued, so that the end of a limit is noticed
	permitLifetime = time.Second / 2  // from the request for a permit
	burstTime      = time.Second / 4  // capacity of a bucket, as time at the full rate, beside one permit
	maxWait        = 5 * time.Second  // greatest time until the next permit that is told
	maxAskInterval = time.Second      // longest time for which an instance does not ask again
	endTold        = 10 * time.Second // time for which the end of a limit is told
	answerKept     = 10 * time.Second // age up to which answers are known beside the newest one; messages take far less
	demandTime     = time.Second / 4  // time over which the demand is measured, and for which permits are asked
	maxTold        = 256              // statements in one report
	staleAfter     = time.Second      // time after the last answer of an upstream from when its limit may have ended unnoticed
	logShare       = 0.1              // least change of a rate that is reported, as a fraction
)

// Limits holds the limits of all upstreams, the permits of this instance, and the buckets of the
// upstreams for which it issues permits. It is safe for concurrent use. Times passed to it must come
// from one clock.
type Limits struct {
	self ident.Instance

	mu        sync.Mutex
	upstreams map[ident.Upstream]directory.Upstream
	limits    map[ident.Upstream]*limit
	demand    map[ident.Service]*demand
	rejected  map[ident.Upstream]string // last value of each upstream that was no rate
	counts    Counts
}

// limit is what is known of the limit of one upstream.
type limit struct {
	rate   float64   // requests a second; 0 if the limit has ended
	at     time.Time // when the answer arrived that said so
	since  time.Time // when the limit began or ended, as known here
	logged float64   // rate of the last Change
	stock  stock
	issue  bucket
	source answer                    // that said so
	known  map[ident.Instance]answer // the last answer of which is known that it reached each instance, see learn
}

// answer is an answer of an upstream that said something about its limit.
type answer struct {
	to   ident.Instance // that received it
	time int64          // when, by the clock of that instance, in Unix nanoseconds
	at   time.Time      // the earliest time at which it can have arrived as far as is known here
}

// demand is the number of requests for a service in the last demandTime, which decays exponentially.
type demand struct {
	requests float64
	at       time.Time
}

// Counts counts permits since the start.
type Counts struct {
	Used, Expired, Issued, Denied uint64
}

// Statement is what an upstream said last about its limit, for the other instances.
type Statement struct {
	Upstream ident.Upstream
	Born     int64   `json:",omitempty"` // directory.Upstream.Born
	Rate     float64 // requests a second; 0 if it named none
	Age      unit.Duration
	// Source and Answer identify the answer: the instance that received it, and when by its clock, in Unix
	// nanoseconds. Instances of earlier versions do not tell them.
	Source ident.Instance `json:",omitempty"`
	Answer int64          `json:",omitempty"`
}

// Change is the begin or end of a limit, or a change by more than logShare, for the log.
type Change struct {
	Upstream     ident.Upstream
	Former, Rate float64 // requests a second; 0 for none
	Age          time.Duration
}

// New returns a Limits without limits for the instance self.
func New(self ident.Instance) *Limits {
	return &Limits{
		self:      self,
		upstreams: make(map[ident.Upstream]directory.Upstream), limits: make(map[ident.Upstream]*limit),
		demand: make(map[ident.Service]*demand), rejected: make(map[ident.Upstream]string),
	}
}

// Parse returns the rate that an upstream names as a decimal number. It returns an error for anything
// but a positive number up to a million.
func Parse(text string) (float64, error) {
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" {
		return 0, errs.New("limit %q: want a decimal number", text)
	}
	if rate <= 0 || rate > maxRate {
		return 0, errs.New("limit %q: want more than 0 and at most %.0f requests a second", text, float64(maxRate))
	}
	return rate, nil
}

// SetUpstreams sets the registered upstreams. The limits of others, and those of former runs of an
// upstream, end.
func (l *Limits) SetUpstreams(list []directory.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	former := l.upstreams
	l.upstreams = make(map[ident.Upstream]directory.Upstream, len(list))
	for _, u := range list {
		l.upstreams[u.ID] = u
		if former[u.ID].Born != u.Born {
			delete(l.limits, u.ID)
		}
	}
	unregistered := func(id ident.Upstream) bool { _, ok := l.upstreams[id]; return !ok }
	maps.DeleteFunc(l.limits, func(id ident.Upstream, _ *limit) bool { return unregistered(id) })
	maps.DeleteFunc(l.rejected, func(id ident.Upstream, _ string) bool { return unregistered(id) })
}

// Named records that an answer of an upstream named a rate, and returns the change of the limit, if
// it is one.
func (l *Limits) Named(id ident.Upstream, rate float64, now time.Time) (Change, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.upstreams[id]; !ok {
		return Change{}, false
	}
	return l.set(id, rate, l.own(now), now)
}

// NotNamed records that an answer of an upstream to a request sent at a time named no limit. Answers
// overtake each other, so it counts only if the request was sent after the last answer that named
// one.
func (l *Limits) NotNamed(id ident.Upstream, sent, now time.Time) (Change, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.rejected, id)
	if b := l.limits[id]; b == nil || b.rate == 0 || sent.Before(b.at) {
		return Change{}, false
	}
	return l.set(id, 0, l.own(now), now)
}

// own returns an answer to this instance.
func (l *Limits) own(now time.Time) answer { return answer{l.self, now.UnixNano(), now} }

// Rejected records that an upstream named a value that is no rate, and reports whether its last value
// was another one.
func (l *Limits) Rejected(id ident.Upstream, text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.upstreams[id]; !ok || l.rejected[id] == text {
		return false
	}
	l.rejected[id] = text
	return true
}

// set records what the newest answer said. l.mu must be held.
func (l *Limits) set(id ident.Upstream, rate float64, a answer, now time.Time) (Change, bool) {
	b := l.limits[id]
	if b == nil {
		if rate == 0 {
			return Change{}, false
		}
		b = &limit{known: make(map[ident.Instance]answer)}
		l.limits[id] = b
	}
	if (b.rate == 0) != (rate == 0) {
		b.since, b.issue = now, bucket{at: now}
	}
	b.rate, b.at, b.source = rate, a.at, a
	b.learn(a, now)
	former := b.logged
	if rate == former || rate > 0 && math.Abs(rate-former) <= logShare*former {
		return Change{}, false
	}
	b.logged = rate
	return Change{Upstream: id, Former: former, Rate: rate, Age: max(0, now.Sub(a.at))}, true
}

// Report returns what the other instances are to be told. Of many limits, those of which the newest
// answers are known are told.
func (l *Limits) Report(now time.Time) []Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Statement
	for id, b := range l.limits {
		if b.rate > 0 || now.Sub(b.since) < endTold {
			out = append(out, l.statement(id, b, now))
		}
	}
	if len(out) > maxTold {
		slices.SortFunc(out, func(a, b Statement) int { return cmp.Compare(a.Age, b.Age) })
		out = out[:maxTold]
	}
	return out
}

func (l *Limits) statement(id ident.Upstream, b *limit, now time.Time) Statement {
	return Statement{Upstream: id, Born: l.upstreams[id].Born, Rate: b.rate, Age: unit.Duration(max(0, now.Sub(b.at)).Round(time.Millisecond)), Source: b.source.to, Answer: b.source.time}
}

// Statement returns what is known of the limit of an upstream, and false if it has none.
func (l *Limits) Statement(id ident.Upstream, now time.Time) (Statement, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.limits[id]
	if b == nil || b.rate == 0 {
		return Statement{}, false
	}
	return l.statement(id, b, now), true
}

// Merge adds what another instance told and returns the changes.
func (l *Limits) Merge(list []Statement, now time.Time) []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changes []Change
	for _, s := range list {
		u, ok := l.upstreams[s.Upstream]
		at := now.Add(-s.Age.Std())
		if !ok || u.Born != s.Born || s.Rate < 0 || s.Rate > maxRate || math.IsNaN(s.Rate) {
			continue
		}
		a := answer{s.Source, s.Answer, at}
		if b := l.limits[s.Upstream]; b != nil {
			if a = b.learn(a, now); !a.at.After(b.at) {
				continue
			}
		}
		if c, ok := l.set(s.Upstream, s.Rate, a, now); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// learn records that an answer is known, and returns it with the earliest time at which it can have arrived.
// Each time that an answer is told, its age lacks the time that the message took. Told on and on, it
// would stay new, and the limit that it names would outlast later answers without one. So the greatest age
// counts that was told of an answer, and an answer older than the last known one of its instance does not.
func (b *limit) learn(a answer, now time.Time) answer {
	if a.to == "" {
		return a
	}
	last, ok := b.known[a.to]
	switch {
	case ok && a.time < last.time:
		return answer{}
	case ok && a.time == last.time && last.at.Before(a.at):
		a.at = last.at
	}
	b.known[a.to] = a
	if a.to == b.source.to && a.time == b.source.time {
		b.at, b.source.at = a.at, a.at
	}
	maps.DeleteFunc(b.known, func(id ident.Instance, other answer) bool {
		return id != a.to && id != b.source.to && now.Sub(other.at) >= answerKept
	})
	return a
}

// Limited returns the upstreams of a service that have a limit, sorted.
func (l *Limits) Limited(s ident.Service) []ident.Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limited(s, func(*limit) bool { return true })
}

// Stale returns those of ids that have a limit and of whose answers no instance has told lately.
// Requests that go there first show whether the limit has ended.
func (l *Limits) Stale(ids []ident.Upstream, now time.Time) []ident.Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []ident.Upstream
	for _, id := range ids {
		if b := l.limits[id]; b != nil && b.rate > 0 && now.Sub(b.at) >= staleAfter {
			out = append(out, id)
		}
	}
	return out
}

// limited returns the upstreams of a service that have a limit and meet a condition, sorted. l.mu
// must be held.
func (l *Limits) limited(s ident.Service, condition func(*limit) bool) []ident.Upstream {
	var out []ident.Upstream
	for id, b := range l.limits {
		if b.rate > 0 && l.upstreams[id].Service == s && condition(b) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// InForce returns the limits in force, for the metrics.
func (l *Limits) InForce(now time.Time) []Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Statement
	for id, b := range l.limits {
		if b.rate > 0 {
			out = append(out, l.statement(id, b, now))
		}
	}
	return out
}

// Counts returns the counts of permits.
func (l *Limits) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Package cooldown keeps the requests of one instance away from upstreams that have asked it for a rest.
//
// An upstream that turns a request away may say for how long it wants nothing more from the instance that
// sent it. After that time one request at a time is sent there, until one is answered without asking for
// a rest: all that waited would otherwise come back at once.
//
// A Tracker only decides. It has no clock and no goroutine.
package cooldown

import (
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
)

// Bounds of a rest.
const (
	maxRest      = time.Minute            // longest rest that is kept
	trialTimeout = 500 * time.Millisecond // time without an answer after which another request is tried after a rest
	spreadShare  = 0.1                    // of a rest that may be added at random, so that instances do not return at once
	maxSpread    = 250 * time.Millisecond
	maxProbes    = 1 // requests on behalf of no caller that are sent during a rest
)

// Tracker holds the rests that upstreams have asked this instance for. It is safe for concurrent use.
// Times passed to it must come from one clock.
type Tracker struct {
	random func() uint64

	mu        sync.Mutex
	upstreams map[ident.Upstream]directory.Upstream
	rests     map[ident.Upstream]*rest
	rejected  map[ident.Upstream]string // last value of each upstream that was no time
}

// rest is what is known of one upstream that has asked for a rest.
type rest struct {
	until  time.Time
	trial  time.Time // when the last request after the rest was chosen; zero if none was
	probes int       // sent during the rest
}

// New returns a Tracker without rests. The function random returns 64 random bits per call; it is called
// with the lock of the Tracker held.
func New(random func() uint64) *Tracker {
	return &Tracker{
		random:    random,
		upstreams: make(map[ident.Upstream]directory.Upstream),
		rests:     make(map[ident.Upstream]*rest),
		rejected:  make(map[ident.Upstream]string),
	}
}

// Parse returns the rest that an upstream asks for as a decimal number of seconds, and whether it is longer
// than is kept. It returns an error for anything but a number above 0.
func Parse(text string) (rest time.Duration, cut bool, err error) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || math.IsInf(seconds, 0) {
		return 0, false, errs.New("rest %q: want a decimal number of seconds", text)
	}
	if seconds <= 0 {
		return 0, false, errs.New("rest %q: want more than 0 seconds", text)
	}
	if seconds > maxRest.Seconds() {
		return maxRest, true, nil
	}
	return time.Duration(seconds * float64(time.Second)), false, nil
}

// SetUpstreams sets the registered upstreams. The rests of others, and those of former runs of an
// upstream, end.
func (t *Tracker) SetUpstreams(list []directory.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	former := t.upstreams
	t.upstreams = make(map[ident.Upstream]directory.Upstream, len(list))
	for _, u := range list {
		t.upstreams[u.ID] = u
		if former[u.ID].Born != u.Born {
			delete(t.rests, u.ID)
		}
	}
	maps.DeleteFunc(t.rests, func(id ident.Upstream, _ *rest) bool { return !t.registered(id) })
	maps.DeleteFunc(t.rejected, func(id ident.Upstream, _ string) bool { return !t.registered(id) })
}

// registered reports whether an upstream is registered. t.mu must be held.
func (t *Tracker) registered(id ident.Upstream) bool {
	_, ok := t.upstreams[id]
	return ok
}

// Asked records that a run of an upstream, named by its directory.Upstream.Born, has asked for a rest. It
// returns false if this run is not registered or rests for as long already.
func (t *Tracker) Asked(id ident.Upstream, born int64, d time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u, ok := t.upstreams[id]; !ok || u.Born != born || d <= 0 {
		return false
	}
	d = min(d, maxRest)
	r := t.rests[id]
	if r == nil || !now.Before(r.until) {
		r = &rest{}
		t.rests[id] = r
	}
	if !now.Add(d).After(r.until) {
		return false
	}
	spread := min(time.Duration(spreadShare*float64(d)), maxSpread)
	r.until = now.Add(d + time.Duration(t.random()%uint64(spread+1)))
	return true
}

// Rejected records that an upstream named a value that is no time, and reports whether its last value was
// another one.
func (t *Tracker) Rejected(id ident.Upstream, text string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.registered(id) || t.rejected[id] == text {
		return false
	}
	t.rejected[id] = text
	return true
}

// Answered records that an upstream has answered a request sent at a time without asking for a rest.
func (t *Tracker) Answered(id ident.Upstream, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rests[id]; r != nil && !sent.Before(r.until) {
		delete(t.rests, id)
	}
}

// Closed returns the upstreams of a service that no request may be sent to now, sorted.
func (t *Tracker) Closed(s ident.Service, now time.Time) []ident.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ident.Upstream
	for id, r := range t.rests {
		if t.upstreams[id].Service == s && r.closed(now) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// closed reports whether no request may be sent: during the rest, and while the answer to the first
// request after it is awaited.
func (r *rest) closed(now time.Time) bool {
	return now.Before(r.until) || !r.trial.IsZero() && now.Sub(r.trial) < trialTimeout
}

// Take reports whether a request may be sent to an upstream that was chosen for it.
func (t *Tracker) Take(id ident.Upstream, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rests[id]
	if r == nil {
		return true
	}
	if r.closed(now) {
		return false
	}
	r.trial = now
	return true
}

// TakeProbe reports whether a request may be sent to an upstream that is on behalf of no caller.
func (t *Tracker) TakeProbe(id ident.Upstream, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rests[id]
	if r == nil || !now.Before(r.until) {
		return true
	}
	r.probes++
	return r.probes <= maxProbes
}

// Left returns the time until the rest of an upstream ends, or 0 if it has not asked for one.
func (t *Tracker) Left(id ident.Upstream, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rests[id]
	if r == nil {
		return 0
	}
	return max(0, r.until.Sub(now))
}

// InForce returns the upstreams that rest, with the time until the end, for the metrics.
func (t *Tracker) InForce(now time.Time) map[ident.Upstream]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[ident.Upstream]time.Duration)
	for id, r := range t.rests {
		if now.Before(r.until) {
			out[id] = r.until.Sub(now)
		}
	}
	return out
}

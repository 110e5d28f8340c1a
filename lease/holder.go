// Package lease decides who holds a lease and for how long it may act on it.
//
// A holder counts its time from before the call that granted or renewed the
// lease, by its own monotonic clock, so that it stops believing in the lease
// before the service lets it lapse. A process can be paused at any point: a
// holder therefore checks the remaining time right before each act, and an act
// carries the fencing number of the lease and a time limit of its own.
package lease

import (
	"time"

	"crocuslug/store"
	"crocuslug/unit"
)

// Settings of a Holder. Zero values mean the defaults.
type Settings struct {
	TTL    unit.Duration // time to live of the lease without renewal
	Margin unit.Duration // part of it that is not relied on, for clock rates and delays
	Retry  unit.Duration // time between two attempts to acquire
	Wait   unit.Duration // time before a new holder orders upstreams that ignore fencing; 0 means TTL
}

// Defaults of Settings.
const (
	defaultTTL    = 10 * time.Second
	defaultMargin = 2 * time.Second
	defaultRetry  = 2 * time.Second
)

// renewals is how many times a lease is renewed within its time to live.
const renewals = 3

// Action is what a holder asks its adapter to do.
type Action int

// Actions.
const (
	None    Action = iota
	Acquire        // grant a lease and write the lease record under it
	Renew          // renew the lease
)

// Holder is one instance's view of a lease. It is pure and not safe for
// concurrent use. All times are the instance's monotonic time.
type Holder struct {
	cfg     Settings
	lease   store.Lease
	fencing store.Version
	until   time.Time // the service keeps the lease at least as long
	since   time.Time // when the lease record was written at the latest
	next    time.Time // time of the next action
}

// New returns a holder that does not hold the lease.
func New(cfg Settings) *Holder {
	setDefault(&cfg.TTL, defaultTTL)
	setDefault(&cfg.Margin, defaultMargin)
	setDefault(&cfg.Retry, defaultRetry)
	if cfg.Wait == 0 {
		cfg.Wait = cfg.TTL
	}
	return &Holder{cfg: cfg}
}

func setDefault(v *unit.Duration, d time.Duration) {
	if *v == 0 {
		*v = unit.Duration(d)
	}
}

// Next returns what to do now. The adapter notes the time before it calls the
// service, and reports the outcome with it.
func (h *Holder) Next(now time.Time) Action {
	if h.lease != 0 && h.Remaining(now) <= 0 {
		h.Lost(now)
	}
	switch {
	case now.Before(h.next):
		return None
	case h.lease == 0:
		return Acquire
	}
	return Renew
}

// Acquired says that the lease was granted and its record written with version
// v. The calls began at began and ended at now. The version is the fencing
// number: versions rise with every write.
func (h *Holder) Acquired(l store.Lease, v store.Version, began, now time.Time) {
	h.lease = l
	h.fencing = v
	h.since = now
	h.renewed(began)
}

// Renewed says that the service has renewed the lease by a call begun at began.
func (h *Holder) Renewed(began time.Time) {
	if h.lease != 0 {
		h.renewed(began)
	}
}

func (h *Holder) renewed(began time.Time) {
	if u := began.Add(h.cfg.TTL.Std()); u.After(h.until) {
		h.until = u
	}
	h.next = began.Add(h.cfg.TTL.Std() / renewals)
}

// Failed says that an acquisition or renewal had no success at now. The lease
// is kept until its time is over.
func (h *Holder) Failed(now time.Time) {
	wait := h.cfg.Retry.Std()
	if h.lease != 0 {
		wait = min(wait, h.cfg.TTL.Std()/renewals)
	}
	h.next = now.Add(wait)
}

// Lost says that the service no longer has the lease.
func (h *Holder) Lost(now time.Time) {
	h.lease = 0
	h.fencing = 0
	h.until = time.Time{}
	h.next = now.Add(h.cfg.Retry.Std())
}

// TTL returns the time to live to ask for.
func (h *Holder) TTL() time.Duration { return h.cfg.TTL.Std() }

// Lease returns the lease held, or 0.
func (h *Holder) Lease() store.Lease { return h.lease }

// Fencing returns the fencing number of the lease held, or 0.
func (h *Holder) Fencing() store.Version { return h.fencing }

// Remaining returns how long the lease may still be relied on.
func (h *Holder) Remaining(now time.Time) time.Duration {
	if h.lease == 0 {
		return 0
	}
	return h.until.Sub(now) - h.cfg.Margin.Std()
}

// MayOrder reports whether an order that ends within limit may go out at now
// to an upstream that checks the fencing number or ignores it. One that
// ignores it is ordered only when an earlier holder's orders have ended and
// this order will end before the lease does.
func (h *Holder) MayOrder(now time.Time, limit time.Duration, checks bool) bool {
	left := h.Remaining(now)
	if checks {
		return left > 0
	}
	return left > limit && now.Sub(h.since) >= h.cfg.Wait.Std()
}

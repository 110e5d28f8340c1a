// Package lease decides when an instance acquires and renews a lease, and how
// long it may rely on it.
//
// A holder measures the age of its lease from before the call that granted or
// renewed it, by its own monotonic clock. It therefore stops relying on the
// lease before the service lets it expire. Since a process can be paused at any
// point, a holder checks the remaining time right before each order, and an
// order carries the fencing number of the lease and a time limit of its own.
package lease

import (
	"time"

	"crocuslug/store"
	"crocuslug/unit"
)

// Settings are the settings of a Holder. Zero values mean the defaults.
type Settings struct {
	TTL           unit.Duration // time to live of the lease unless it is renewed
	SafetyMargin  unit.Duration // end of the TTL that is not relied on, for differing clock rates and delays
	RetryInterval unit.Duration // time between attempts to acquire the lease
	TakeoverDelay unit.Duration // time before a new holder sends orders to upstreams that ignore fencing; 0 means TTL
}

// Defaults of Settings.
const (
	defaultTTL           = 10 * time.Second
	defaultSafetyMargin  = 2 * time.Second
	defaultRetryInterval = 2 * time.Second
)

// renewalsPerTTL is the number of renewals of a lease within its time to live.
const renewalsPerTTL = 3

// Action is the call to the service that a Holder asks its caller to make.
type Action int

// Actions.
const (
	None    Action = iota
	Acquire        // grant a lease and write the lease record under it
	Renew          // renew the lease
)

// Holder is the state of a lease as one instance knows it. It does no I/O and is
// not safe for concurrent use. All times are read from the instance's monotonic
// clock.
type Holder struct {
	cfg        Settings
	lease      store.Lease
	fencing    store.Version
	expires    time.Time // the service keeps the lease at least until then
	acquired   time.Time // latest time at which the lease record can have been written
	nextAction time.Time // earliest time of the next action
}

// New returns a Holder without a lease.
func New(cfg Settings) *Holder {
	setDefault(&cfg.TTL, defaultTTL)
	setDefault(&cfg.SafetyMargin, defaultSafetyMargin)
	setDefault(&cfg.RetryInterval, defaultRetryInterval)
	if cfg.TakeoverDelay == 0 {
		cfg.TakeoverDelay = cfg.TTL
	}
	return &Holder{cfg: cfg}
}

func setDefault(v *unit.Duration, d time.Duration) {
	if *v == 0 {
		*v = unit.Duration(d)
	}
}

// NextAction returns the action to take now. The caller records the time before
// it calls the service and passes it on with the outcome, by Acquired, Renewed,
// Failed or Lost.
func (h *Holder) NextAction(now time.Time) Action {
	if h.lease != 0 && h.Remaining(now) <= 0 {
		h.Lost(now)
	}
	switch {
	case now.Before(h.nextAction):
		return None
	case h.lease == 0:
		return Acquire
	}
	return Renew
}

// Acquired records that the lease l was granted and that its record was written
// with version v. The calls began at began and ended at now. The version is the
// fencing number, since versions increase with every write.
func (h *Holder) Acquired(l store.Lease, v store.Version, began, now time.Time) {
	h.lease = l
	h.fencing = v
	h.acquired = now
	h.extend(began)
}

// Renewed records that a call that began at began has renewed the lease.
func (h *Holder) Renewed(began time.Time) {
	if h.lease != 0 {
		h.extend(began)
	}
}

func (h *Holder) extend(began time.Time) {
	if expires := began.Add(h.cfg.TTL.Std()); expires.After(h.expires) {
		h.expires = expires
	}
	h.nextAction = began.Add(h.cfg.TTL.Std() / renewalsPerTTL)
}

// Failed records that an acquisition or renewal failed at now. A lease that is
// held remains valid until it expires.
func (h *Holder) Failed(now time.Time) {
	wait := h.cfg.RetryInterval.Std()
	if h.lease != 0 {
		wait = min(wait, h.cfg.TTL.Std()/renewalsPerTTL)
	}
	h.nextAction = now.Add(wait)
}

// Lost records that the service no longer has the lease.
func (h *Holder) Lost(now time.Time) {
	h.lease = 0
	h.fencing = 0
	h.expires = time.Time{}
	h.nextAction = now.Add(h.cfg.RetryInterval.Std())
}

// TTL returns the time to live to request from the service.
func (h *Holder) TTL() time.Duration { return h.cfg.TTL.Std() }

// Lease returns the lease that is held, or 0 if there is none.
func (h *Holder) Lease() store.Lease { return h.lease }

// Fencing returns the fencing number of the lease that is held, or 0 if there is
// none.
func (h *Holder) Fencing() store.Version { return h.fencing }

// Remaining returns how much longer the lease may be relied on. It is not
// positive if there is no lease or it is about to expire.
func (h *Holder) Remaining(now time.Time) time.Duration {
	if h.lease == 0 {
		return 0
	}
	return h.expires.Sub(now) - h.cfg.SafetyMargin.Std()
}

// MayOrder reports whether an order that ends within limit may be sent at now to
// an upstream that checks fencing numbers, or to one that ignores them. The former
// rejects orders of earlier holders by itself. To the latter, an order may be sent
// only if all orders of earlier holders have ended and this one will end before
// the lease expires.
func (h *Holder) MayOrder(now time.Time, limit time.Duration, checksFencing bool) bool {
	remaining := h.Remaining(now)
	if checksFencing {
		return remaining > 0
	}
	return remaining > limit && now.Sub(h.acquired) >= h.cfg.TakeoverDelay.Std()
}

// Package canary decides how the traffic of a service is moved to a new software version (build) of its upstreams, and
// whether the build is kept or rolled back.
package canary

import (
	"time"

	"crocuslug/ident"
)

// Evidence is what one instance has seen of the answers under an order, as instances tell each other.
type Evidence struct{}

// Tracker holds the deliveries in progress.
type Tracker struct{}

// New returns a Tracker of the instance self, which was started at the given time.
func New(cfg Settings, self ident.Instance, started time.Time) *Tracker { return &Tracker{} }

// SetOrder records an order, which replaces an earlier one of the same service.
func (t *Tracker) SetOrder(o Order, now time.Time) {}

// RemoveOrder records that an operator has withdrawn the order of a service.
func (t *Tracker) RemoveOrder(s ident.Service, now time.Time) {}

// SetStatus records the status entry of a service. A Status without a State means that there is none.
func (t *Tracker) SetStatus(s Status, now time.Time) {}

// SetInstances sets the live instances, with this one.
func (t *Tracker) SetInstances(live []ident.Instance) {}

// SetInSync sets whether the knowledge of the store and of peers is current.
func (t *Tracker) SetInSync(inSync bool) {}

// Choose returns which upstreams the next attempt of new work may be sent to, and the new build.
func (t *Tracker) Choose(s ident.Service, now time.Time) (Choice, ident.Build) { return AnyBuild, "" }

// Allowed reports whether an attempt that must stay at a build may be sent to it.
func (t *Tracker) Allowed(s ident.Service, b ident.Build, now time.Time) bool { return true }

// Sent records that an attempt was sent to an upstream of a build.
func (t *Tracker) Sent(s ident.Service, b ident.Build, now time.Time) {}

// Observe records an answer, with its latency to the first piece or to the answer.
func (t *Tracker) Observe(s ident.Service, route string, b ident.Build, bad bool, latency time.Duration, now time.Time) {
}

// Report returns what the other instances are told.
func (t *Tracker) Report(now time.Time) []Evidence { return nil }

// Merge adds what another instance has told.
func (t *Tracker) Merge(list []Evidence, now time.Time) {}

// Writes returns the status entries to be written now. The function formerInProgress returns the number of requests in
// progress at upstreams of other builds than the new one, of this instance and its peers.
func (t *Tracker) Writes(now time.Time, formerInProgress func(s ident.Service, to ident.Build) int) []Status {
	return nil
}

// Views returns the deliveries in progress and those that have ended.
func (t *Tracker) Views(now time.Time) []View { return nil }

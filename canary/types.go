package canary

import (
	"time"

	"crocuslug/ident"
	"crocuslug/store"
)

// Settings configures a Tracker.
type Settings struct {
	Share          float64       // fraction of the requests of a service that a build under delivery may get; 0 switches progressive delivery off
	Slack          float64       // requests that it may get in addition, from all instances together
	RollbackWithin time.Duration // time after a bad build was recognized within which it must get no more requests
}

// Order asks for the traffic of a service to be moved to the upstreams of a build.
type Order struct {
	Service  ident.Service
	To       ident.Build
	FinishBy time.Duration // from the time of the order
	Version  store.Version // of its store entry
	Age      time.Duration // time since it was given, as far as it is known when it is passed to the Tracker
}

// State is how far a delivery is, as operators see it.
type State string

// States of a delivery.
const (
	Running    State = "Running"
	Done       State = "Done"       // the former upstreams stop at once
	RolledBack State = "RolledBack" // the new upstreams leave
)

// Status is the state of a delivery in the store.
type Status struct {
	Service ident.Service
	To      ident.Build
	State   State
	// Version is that of its store entry. In a status to be written it is the version that the entry must have
	// for the write to take effect, 0 if there must be none.
	Version store.Version
}

// Choice limits which upstreams may get an attempt.
type Choice int

// Choices.
const (
	AnyBuild     Choice = iota // no delivery is in progress
	FormerBuilds               // upstreams of all builds but the new one, and of the new one if there is no other usable upstream at all and the build was not rolled back
	NewBuild                   // upstreams of the new build, and others if it has none that is usable
)

// View is the state of a delivery for logs and metrics.
type View struct {
	Service ident.Service
	To      ident.Build
	Phase   string
	Share   float64 // fraction of new work that goes to the new build now
	New     int     // answers of the new build that are known
	Former  int     // answers of the former builds that are known
	Bad     int     // bad answers of the new build that are known
}

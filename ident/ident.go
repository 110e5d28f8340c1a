// Package ident names the things that the system keeps apart.
//
// Each id has a type of its own, so that the compiler refuses a workspace
// where an upstream is meant. All of them are opaque strings or counters that
// travel unchanged in messages, logs and keys.
package ident

// Request identifies a caller's request within its workspace. It is given by
// the caller in X-Request-Id or issued by the instance that takes the request.
type Request string

// Generation identifies one answer in the making. A request that is started
// twice has two generations, and a cursor of one is no cursor of the other.
type Generation string

// Attempt numbers the streams of one generation. The upper bits count its
// owners, the lower ones the engine streams of the present owner, so that all
// streams of a later owner have higher numbers than those of an earlier one.
// Output that carries a lower attempt than the one in force is stale.
type Attempt uint32

// ownerShift is the number of bits that count the streams of one owner.
const ownerShift = 20

// Owner returns the number of takeovers that went before a.
func (a Attempt) Owner() uint32 {
	return uint32(a >> ownerShift)
}

// NextOwner returns the first attempt of the owner after that of a.
func (a Attempt) NextOwner() Attempt {
	return (a>>ownerShift + 1) << ownerShift
}

// Instance identifies one run of a daemon. A daemon that restarts is a new
// instance with a higher incarnation of the same name.
type Instance string

// Domain names a failure domain.
type Domain string

// Workspace names a workspace, the unit of isolation, shares and limits.
type Workspace string

// Upstream names a model engine or a plain service instance.
type Upstream string

// Service names a service that upstreams serve.
type Service string

// Revision numbers accepted configurations. It starts at 1; 0 means none.
type Revision uint64

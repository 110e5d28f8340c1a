// Package ident defines the types of identifiers.
//
// Each kind of identifier has its own type, so that the compiler rejects, for
// example, a workspace where an upstream is expected. All of them are opaque
// strings or counters that are written unchanged in messages, logs and keys.
package ident

// Request identifies a caller's request within its workspace. It is set by the
// caller in X-Request-Id or assigned by the instance that receives the request.
type Request string

// Generation identifies one run that produces an answer. A request that is
// started twice has two generations, and a cursor of one is not valid for the
// other.
type Generation string

// Attempt is the number of an engine stream of one generation. The upper bits
// count the owners of the generation, the lower bits the streams of the current
// owner, so that all streams of a later owner have higher numbers than those of
// an earlier one. Output with a lower attempt than the current one is stale.
type Attempt uint32

// ownerShift is the number of bits that number the streams of one owner.
const ownerShift = 20

// Owner returns the number of takeovers before a.
func (a Attempt) Owner() uint32 {
	return uint32(a >> ownerShift)
}

// NextOwner returns the first attempt of the next owner after that of a.
func (a Attempt) NextOwner() Attempt {
	return (a>>ownerShift + 1) << ownerShift
}

// Instance identifies one run of a daemon. A daemon that restarts is a new
// instance with a higher incarnation of the same name.
type Instance string

// Domain names a failure domain.
type Domain string

// Workspace names a workspace, which is the unit of isolation, shares and limits.
type Workspace string

// Upstream names a model engine or a plain service instance.
type Upstream string

// Build names the version of the software that an upstream runs. Builds have no order.
type Build string

// Continues reports whether an upstream of build b may go on with what was begun at a build: any may if
// that is nil, and none if it is "", which means that it is not known.
func (b Build) Continues(begun *Build) bool {
	return begun == nil || *begun != "" && *begun == b
}

// Service names a service that upstreams serve.
type Service string

// Revision is the number of an accepted configuration. The first one is 1; 0 means
// none.
type Revision uint64

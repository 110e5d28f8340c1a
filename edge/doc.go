// Package edge runs one instance in front of upstreams that register themselves in the platform's
// store.
//
// It connects the parts: ingress accepts requests, directory finds the route and the service of a
// request, and dispatch sends it to an upstream that fleet chooses among those in the registry.
// The configuration and the list of upstreams come from the store. A few instances of each failure
// domain watch it. Instances send each other digests that state the store version they have seen, the
// age of that knowledge and the requests they have in progress, and ask a peer that has seen a higher
// version for the changes. An instance whose knowledge is old watches the store itself; see package
// storeview. The configuration never goes back: an instance applies only a higher version than the one
// in force, also after the store was restored from an older copy.
//
// An instance keeps nothing on disk, and there is no leader.
package edge

// Package edge runs one instance in front of upstreams that register themselves in the platform's
// store.
//
// It connects the parts: ingress accepts requests, directory finds the route and the service of a
// request, and dispatch sends it to an upstream that fleet chooses among those in the registry.
// The configuration and the list of upstreams come from one watch on the store. Instances send
// each other digests that state the store version they have seen and the requests they have in
// progress. An instance that cannot read the store, or whose watch lags, asks a peer for the
// changes that it lacks. The configuration never goes back: an instance applies only a higher
// version than the one in force.
//
// An instance keeps nothing on disk, and there is no leader.
package edge

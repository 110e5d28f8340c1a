// Package edge runs an instance before upstreams that register themselves.
//
// It wires the parts: callers come in through ingress, a directory says which
// service their request is for, dispatch carries it to an upstream that fleet
// chooses among those in the registry. What is configured and which upstreams
// there are comes from one watch on the platform's store. Instances tell each
// other in digests which version of the store they have seen and what they have
// under way; one that finds itself behind, because the store turns it away or
// its watch has gone silent, asks a peer for all it needs. A configuration never
// goes back: an instance takes only a higher version than the one in force.
//
// Nothing here is kept on a disk, and there is no leader.
package edge

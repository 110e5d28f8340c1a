// Package peerlink carries messages between instances over TCP.
//
// Two instances share a connection for two kinds of traffic: control calls in
// JSON-RPC 2.0, which have answers and errors with codes, and binary frames of
// the token path, which are ordered, unacknowledged and cheap. A frame is a
// four-byte big-endian length, a one-byte kind and a payload; the length counts
// the kind and the payload.
//
// A connection is used once both sides have proved that they hold the shared
// secret. It is pinged while it is quiet, closed when it falls silent, and
// replaced at the next use. A connection that nobody has used for a while is
// closed as well, so that an instance pays for the peers that it talks to and
// not for all that it knows.
//
// Either side may dial. Two instances that dial each other at once keep both
// connections, and each sends on the one that it used first for as long as
// that one lives: what one side sends arrives in order.
package peerlink

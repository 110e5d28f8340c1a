// Package peerlink carries messages between instances over TCP.
//
// A connection between two instances carries two kinds of traffic: control calls in
// JSON-RPC 2.0, which have answers and errors with codes, and binary data frames for
// tokens, which are ordered, unacknowledged and cheap. A frame consists of a
// four-byte big-endian length, a one-byte kind and a payload. The length counts the
// kind and the payload.
//
// A connection is used only after both sides have proved that they know the shared
// secret. While it is idle, each side sends pings. It is closed if nothing is
// received for IdleTimeout, and the next use opens a new one. A connection without
// calls and data frames for UnusedTimeout is closed as well, so that an instance
// keeps connections only to the peers that it communicates with.
//
// Either side may dial. If two instances dial each other at the same time, both
// connections are kept. Each side sends on the one that it used first until that one
// is closed, so the messages of one side arrive in order.
package peerlink

// Package claim decides which request may run an action that must not be
// repeated.
//
// A request claims the action's idempotency key in the platform's key-value
// service before the action is sent to an upstream. The keys are hashed into
// buckets. A bucket consists of one head record, which is replaced by
// compare-and-swap, and of immutable segments that the head refers to. The
// successful replacements of a head form a total order, and each one is
// evaluated on exactly the state that it replaces. The first claim of a key is
// therefore decided without relying on clocks, leases or ownership: a stale
// read causes a write conflict and never a second run.
//
// A Bucket holds the state of one bucket. It does no I/O: it is given
// operations and the time, and returns decisions and the bytes to write.
// Operations are idempotent by claim ID, so that an instance that lost the
// answer of a write can read the head again and evaluate the same operations
// once more.
package claim

// Package claim decides which request may run an action that must not repeat.
//
// A claim is taken in the platform's key-value service before the action
// leaves for an upstream. The keys are spread over buckets; a bucket is one
// head record that is replaced by compare-and-swap, and immutable segments
// that the head names. The successful replacements of a head form one total
// order, each one evaluated on exactly the state that it replaces. So the
// first claim of a key is known without trust in clocks, leases or ownership,
// and a stale read costs a conflict and never a second run.
//
// A Book is the state of one bucket. It is pure: it takes operations and the
// time, and returns verdicts and the bytes to write. Operations are idempotent
// by claim id, so that an instance whose answer was lost reads the head again
// and evaluates the same operations anew.
package claim

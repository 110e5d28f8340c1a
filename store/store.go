// Package store is the port to the platform's key-value service.
//
// Packages that make decisions depend on a Store and not on a client, so that tests run them with
// an in-memory store and the daemon uses the client over HTTP. All persistent state is in this
// service. Each call and each waiting watch counts against the rate limits of the service.
package store

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Lease identifies a lease of the service. 0 means no lease.
type Lease uint64

// Entry is one key with its value and the version of its last write.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
	Deleted bool // set only in the results of Watch
}

// Errors of a Store. A write that fails with Unknown may have taken effect, or may still take
// effect. With any other class it has not taken effect and will not.
var (
	Absent      = errs.Class("absent")
	Conflict    = errs.Class("conflict")
	Unavailable = errs.Class("unavailable")
	Unknown     = errs.Class("unknown outcome")
	TooLarge    = errs.Class("too large")       // the value exceeds the size limit of the service
	Trimmed     = errs.Class("history trimmed") // the history after the given version is no longer available
)

// Store is the set of calls to the service. Each of them returns at the latest when ctx ends.
type Store struct {
	// Get returns the entry under key, or Absent if there is none.
	Get func(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, in the order of their keys.
	List func(ctx context.Context, prefix string) ([]Entry, error)
	// Scan is like List. It also returns a version such that Watch from it misses no later write.
	Scan func(ctx context.Context, prefix string) ([]Entry, Version, error)
	// Put writes value under key if the current version of key is expect, and returns the new
	// version. It attaches the key to lease unless that is 0. It returns Conflict if the version
	// differs.
	Put func(ctx context.Context, key string, value []byte, expect Version, lease Lease) (Version, error)
	// Delete removes key if its current version is expect.
	Delete func(ctx context.Context, key string, expect Version) error
	// Watch waits for writes after a version to keys that start with prefix. It returns them with
	// the version from which to continue, or no entries after the longest wait that the service
	// allows. With Trimmed it returns the current version: to miss no write, the caller must list
	// all entries again and then watch from that version.
	Watch func(ctx context.Context, prefix string, after Version) ([]Entry, Version, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant func(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew restarts the ttl of lease. It returns Absent if the lease has expired.
	Renew func(ctx context.Context, lease Lease) error
	// Revoke ends lease and removes the keys that are attached to it.
	Revoke func(ctx context.Context, lease Lease) error
}

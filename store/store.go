// Package store is the port to the platform's key-value service.
//
// Decision packages take a Store and never a client, so that tests drive them
// with an in-memory store and the daemon with the client over HTTP. What lasts
// lives here and nowhere else; each call and each waiting watch counts against
// the rates of the service.
package store

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Version numbers the writes of the service. It rises with every write, to
// whatever key. As an expected version 0 means that the key is absent.
type Version uint64

// Lease identifies a lease of the service. 0 means none.
type Lease uint64

// Entry is one key with its value and the version that wrote it.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
	Deleted bool // only in the answers of Watch
}

// Errors of a Store. A write that returns Unknown may have taken effect, or
// may still take effect; after any other class it has not and will not.
var (
	Absent      = errs.Class("absent")
	Conflict    = errs.Class("conflict")
	Unavailable = errs.Class("unavailable")
	Unknown     = errs.Class("unknown outcome")
	TooLarge    = errs.Class("too large")       // the value exceeds the bound of the service
	Trimmed     = errs.Class("history trimmed") // the service no longer knows the writes after a version
)

// Store is the set of calls that the service takes. All of them return when
// ctx ends at the latest.
type Store struct {
	// Get returns the entry under key, or Absent.
	Get func(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, by key.
	List func(ctx context.Context, prefix string) ([]Entry, error)
	// Scan is List with a version from which Watch misses no later write.
	Scan func(ctx context.Context, prefix string) ([]Entry, Version, error)
	// Put writes value under key if the key's version is expect, and ties the
	// key to lease unless that is 0. It returns Conflict if the version differs.
	Put func(ctx context.Context, key string, value []byte, expect Version, lease Lease) (Version, error)
	// Delete removes key if its version is expect.
	Delete func(ctx context.Context, key string, expect Version) error
	// Watch waits for writes after a version to keys that start with prefix. It
	// returns them with the version to go on from, or none when it has waited
	// as long as the service allows. With Trimmed it returns the present
	// version: the caller lists anew and then watches from that version, so
	// that it misses no write.
	Watch func(ctx context.Context, prefix string, after Version) ([]Entry, Version, error)
	// Grant makes a lease that lapses after ttl without renewal.
	Grant func(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew starts the ttl of lease anew, or returns Absent if it has lapsed.
	Renew func(ctx context.Context, lease Lease) error
	// Revoke ends lease and removes the keys that are tied to it.
	Revoke func(ctx context.Context, lease Lease) error
}

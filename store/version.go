package store

import "github.com/zeebo/errs"

// Version numbers the writes to the service. It rises with every write to any key. As an expected
// version, 0 means that the key does not exist.
//
// A Version consists of an era and a revision. When the service is restored from an older copy, its
// revisions go back and are given out again, and its era rises by one. Versions of a later era are
// therefore higher than all versions of earlier ones. Services that are never restored have era 0.
type Version uint64

// revisionBits is the number of bits of a Version that hold the revision.
const revisionBits = 40

// NewVersion returns the version of a revision in an era. It returns an error if they do not fit.
func NewVersion(era, revision uint64) (Version, error) {
	if era >= 1<<(64-revisionBits) || revision >= 1<<revisionBits {
		return 0, errs.New("revision %d of era %d is out of range", revision, era)
	}
	return Version(era<<revisionBits | revision), nil
}

// Era returns the era of v.
func (v Version) Era() uint64 { return uint64(v) >> revisionBits }

// Revision returns the revision of v within its era.
func (v Version) Revision() uint64 { return uint64(v) & (1<<revisionBits - 1) }

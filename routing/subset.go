package routing

import (
	"cmp"
	"slices"
	"strings"

	"crocuslug/ident"

	"github.com/zeebo/xxh3"
)

// Subset returns size of the upstreams for me, one of those that share them, such
// as instances. The upstreams stand on a ring in the order of a hash of their
// names, and the sharer of rank r in the sorted list takes the places from r*size
// on. So the sharers together cover each upstream equally often, to within one. A
// sharer that is not in the list takes the place after the last. It returns all
// if size is not less than their number.
func Subset[T ~string](sharers []T, me T, upstreams []ident.Upstream, size int) []ident.Upstream {
	ring := newRing(upstreams)
	size = min(size, len(ring))
	rank := 0
	listed := slices.Contains(sharers, me)
	for _, in := range sharers {
		if in < me || !listed {
			rank++
		}
	}
	subset := make([]ident.Upstream, 0, size)
	for i := range size {
		subset = append(subset, ring[(rank*size+i)%len(ring)].name)
	}
	return subset
}

// place is that of an upstream on the ring.
type place struct {
	hash uint64
	name ident.Upstream
}

// newRing returns the upstreams in the order of their hashes.
func newRing(upstreams []ident.Upstream) []place {
	ring := make([]place, 0, len(upstreams))
	for _, u := range upstreams {
		ring = append(ring, place{xxh3.HashString(string(u)), u})
	}
	slices.SortFunc(ring, func(a, b place) int {
		if c := cmp.Compare(a.hash, b.hash); c != 0 {
			return c
		}
		return strings.Compare(string(a.name), string(b.name))
	})
	return ring
}

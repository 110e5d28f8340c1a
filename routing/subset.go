package routing

import (
	"cmp"
	"slices"
	"strings"

	"crocuslug/ident"

	"github.com/zeebo/xxh3"
)

// Subset returns the part of the upstreams, of the given size, that belongs to me, one of the
// sharers (such as instances). The upstreams are ordered on a ring by a hash of their names,
// and the sharer with index r in the sorted list gets the size upstreams from position r*size
// on. Together, the sharers cover each upstream equally often, to within one. A sharer that
// is not in the list gets the positions after the last one. Subset returns all upstreams if
// size is not less than their number.
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

// Partition returns the upstreams that belong to one of the sharers. Unlike the result of Subset, they
// belong to no other one, unless there are more sharers than upstreams: then several have the same
// upstream, and Partition returns their number, which is 1 otherwise. A sharer that is not in the sorted
// list gets all upstreams.
func Partition[T ~string](sharers []T, me T, upstreams []ident.Upstream) (mine []ident.Upstream, holders int) {
	rank, listed := slices.BinarySearch(sharers, me)
	if !listed || len(upstreams) == 0 {
		return upstreams, 1
	}
	ring, m := newRing(upstreams), len(sharers)
	first, end := rank*len(ring)/m, (rank+1)*len(ring)/m
	holders = 1
	if m > len(ring) {
		end = first + 1
		holders = (end*m+len(ring)-1)/len(ring) - (first*m+len(ring)-1)/len(ring)
	}
	for _, e := range ring[first:end] {
		mine = append(mine, e.name)
	}
	return mine, holders
}

// ringEntry is an upstream on the ring.
type ringEntry struct {
	hash uint64
	name ident.Upstream
}

// newRing returns the upstreams in the order of their hashes.
func newRing(upstreams []ident.Upstream) []ringEntry {
	ring := make([]ringEntry, 0, len(upstreams))
	for _, u := range upstreams {
		ring = append(ring, ringEntry{xxh3.HashString(string(u)), u})
	}
	slices.SortFunc(ring, func(a, b ringEntry) int {
		if c := cmp.Compare(a.hash, b.hash); c != 0 {
			return c
		}
		return strings.Compare(string(a.name), string(b.name))
	})
	return ring
}

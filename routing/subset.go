package routing

import (
	"slices"
	"strings"

	"crocuslug/ident"

	"github.com/zeebo/xxh3"
)

// Subset returns size of the upstreams for the instance me. The upstreams stand
// on a ring in the order of a hash of their names, and the instance of rank r in
// the sorted list takes the places from r*size on. So the instances together
// cover each upstream equally often, to within one. An instance that is not in
// the list takes the place after the last. It returns all if size is not less
// than their number.
func Subset(instances []ident.Instance, me ident.Instance, upstreams []ident.Upstream, size int) []ident.Upstream {
	ring := slices.Clone(upstreams)
	slices.SortFunc(ring, compareHash)
	if size >= len(ring) {
		return ring
	}
	rank := 0
	listed := slices.Contains(instances, me)
	for _, in := range instances {
		if in < me || !listed {
			rank++
		}
	}
	subset := make([]ident.Upstream, 0, size)
	for i := range size {
		subset = append(subset, ring[(rank*size+i)%len(ring)])
	}
	return subset
}

func compareHash(a, b ident.Upstream) int {
	ha, hb := xxh3.HashString(string(a)), xxh3.HashString(string(b))
	if ha < hb {
		return -1
	}
	if ha > hb {
		return 1
	}
	return strings.Compare(string(a), string(b))
}

// Package rendezvous ranks instances for a key so that all agree without talking.
//
// Each instance scores itself for the key by a hash; the highest score goes
// first (Thaler and Ravishankar, Using Name-Based Mappings to Increase Hit
// Rates, IEEE/ACM Transactions on Networking 6(1), 1998). When an instance goes,
// only the keys that it ranked first for move.
package rendezvous

import (
	"sort"

	"github.com/zeebo/xxh3"

	"crocuslug/ident"
)

// Order returns members by falling score for key. The list given is not changed.
func Order(key string, members []ident.Instance) []ident.Instance {
	seed := xxh3.HashString(key)
	out := make([]ident.Instance, len(members))
	copy(out, members)
	score := make(map[ident.Instance]uint64, len(members))
	for _, m := range members {
		score[m] = xxh3.HashStringSeed(string(m), seed)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := score[out[i]], score[out[j]]
		if a != b {
			return a > b
		}
		return out[i] < out[j]
	})
	return out
}

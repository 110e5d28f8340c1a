// Package rendezvous assigns keys to instances by rendezvous hashing, without
// communication between instances.
//
// Each instance computes a score of every member for a key, and the highest score
// wins (highest random weight: D. Thaler and C. Ravishankar, Using name-based
// mappings to increase hit rates, IEEE/ACM Transactions on Networking 6(1),
// 1998). Instances that know the same members compute the same order. A member that
// is added or removed moves only the keys that it wins or had won.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"crocuslug/ident"
)

// scored is a member with its score for a key.
type scored struct {
	id    ident.Instance
	score uint64
}

// Order returns the members in descending order of their scores for key. It does not
// modify members.
func Order(key string, members []ident.Instance) []ident.Instance {
	seed := xxh3.HashString(key)
	all := make([]scored, len(members))
	for i, id := range members {
		all[i] = scored{id: id, score: xxh3.HashStringSeed(string(id), seed)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.id, b.id)
	})
	order := make([]ident.Instance, len(all))
	for i, s := range all {
		order[i] = s.id
	}
	return order
}

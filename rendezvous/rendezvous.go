// Package rendezvous chooses instances for keys without any agreement.
//
// Each instance scores every member for a key and the highest score wins
// (highest random weight: D. Thaler and C. Ravishankar, Using name-based
// mappings to increase hit rates, IEEE/ACM Transactions on Networking 6(1),
// 1998). Instances that know the same members choose the same order, and a
// member that comes or goes moves only the keys that it wins or had won.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"crocuslug/ident"
)

type scored struct {
	id    ident.Instance
	score uint64
}

// Order returns members by falling score for key. It does not change members.
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

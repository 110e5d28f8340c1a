package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"crocuslug/ident"
)

// TestRemovalMovesOnlyOwnKeys removes one member per key, each in turn. The order of the
// other members must not change, and the keys must be spread evenly.
func TestRemovalMovesOnlyOwnKeys(t *testing.T) {
	var members []ident.Instance
	for i := range 20 {
		members = append(members, ident.Instance(fmt.Sprintf("i%d", i)))
	}
	const keys = 4000
	wins := map[ident.Instance]int{}
	for k := range keys {
		key := fmt.Sprintf("k%d", k)
		before := Order(key, members)
		wins[before[0]]++
		removed := members[k%len(members)]
		without := func(id ident.Instance) bool { return id == removed }
		rest := slices.DeleteFunc(slices.Clone(members), without)
		slices.Reverse(rest)
		got, want := Order(key, rest), slices.DeleteFunc(before, without)
		if !slices.Equal(got, want) {
			t.Fatalf("order of %s without %s: got %v, want %v", key, removed, got, want)
		}
	}
	for _, id := range members {
		if got, want := wins[id], keys/len(members); got < want*3/4 || got > want*5/4 {
			t.Errorf("keys of %s: got %d, want %d within 25%%", id, got, want)
		}
	}
}

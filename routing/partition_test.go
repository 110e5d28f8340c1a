package routing

import (
	"fmt"
	"testing"

	"crocuslug/ident"
)

// TestPartition guards against engines that belong to no instance, which would stay empty, and against
// engines whose number of holders is wrong, which would be filled beyond their memory.
func TestPartition(t *testing.T) {
	for _, c := range []struct{ sharers, upstreams int }{{1, 5}, {4, 4}, {24, 60}, {7, 3}, {310, 40}, {3, 0}} {
		var sharers []ident.Instance
		var upstreams []ident.Upstream
		for i := range c.sharers {
			sharers = append(sharers, ident.Instance(fmt.Sprintf("i%03d", i)))
		}
		for i := range c.upstreams {
			upstreams = append(upstreams, ident.Upstream(fmt.Sprint("u", i)))
		}
		found := make(map[ident.Upstream]int)
		holders := make(map[ident.Upstream]int)
		for _, me := range sharers {
			mine, n := Partition(sharers, me, upstreams)
			for _, u := range mine {
				found[u]++
				holders[u] = n
			}
		}
		for _, u := range upstreams {
			if got, want := holders[u], found[u]; got != want || got == 0 {
				t.Errorf("%d sharers of %d upstreams: %s: got %d holders, want %d and at least 1", c.sharers, c.upstreams, u, got, want)
			}
		}
	}
}

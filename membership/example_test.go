package membership_test

import (
	"fmt"
	"time"

	"crocuslug/ident"
	"crocuslug/membership"
)

// ExampleTable delivers the messages between two tables until each knows the other.
func ExampleTable() {
	now := time.Unix(0, 0)
	tables := map[ident.Instance]*membership.Table{}
	var seeds []membership.Member
	for _, id := range []ident.Instance{"a", "b"} {
		m := membership.Member{Instance: id, Name: string(id), Incarnation: 1, Domain: "accra", State: membership.Live}
		tables[id] = membership.New(membership.Settings{}, m, func(int) int { return 0 })
		seeds = append(seeds, m)
	}
	tables["a"].ApplyInstanceList(seeds, now)
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		waiting := append(tables["a"].Tick(now), tables["b"].Tick(now)...)
		for len(waiting) > 0 {
			s := waiting[0]
			waiting = append(waiting[1:], tables[s.To].Receive(s.Message, now)...)
		}
	}
	for _, id := range []ident.Instance{"a", "b"} {
		fmt.Println(id, len(tables[id].View().Members))
	}
	// Output:
	// a 2
	// b 2
}

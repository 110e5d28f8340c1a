package quota_test

import (
	"fmt"
	"time"

	"crocuslug/ident"
	"crocuslug/quota"
)

// ExampleShares shows an idle instance that lends its share to a busy one.
// Together they stay within the limit.
func ExampleShares() {
	now := time.Unix(0, 0)
	members := []ident.Instance{"a", "b"}
	limit := func(ident.Workspace) float64 { return 100 }
	shares := map[ident.Instance]*quota.Shares{}
	for _, id := range members {
		shares[id] = quota.New(quota.Settings{}, id, members, limit)
	}
	for range 20 {
		shares["a"].AddDemand("w", 90)
		for _, id := range members {
			for _, m := range shares[id].Tick(now) {
				if answer, ok := shares[m.To].Receive(m); ok {
					shares[answer.To].Receive(answer)
				}
			}
		}
		now = now.Add(time.Second)
	}
	busy, _ := shares["a"].Rate("w")
	idle, _ := shares["b"].Rate("w")
	fmt.Println(busy > 80, busy+idle <= 100.001)
	// Output: true true
}

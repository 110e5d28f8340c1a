package lease_test

import (
	"fmt"
	"time"

	"crocuslug/lease"
	"crocuslug/unit"
)

// ExampleHolder measures the age of a lease from before the call that granted
// it, so that a slow answer shortens the time for which the lease may be relied
// on. An order that could outlast it may be sent only to an upstream that checks
// fencing numbers.
func ExampleHolder() {
	now := time.Unix(0, 0)
	h := lease.New(lease.Settings{TTL: unit.Duration(10 * time.Second), SafetyMargin: unit.Duration(2 * time.Second)})
	fmt.Println(h.NextAction(now) == lease.Acquire)
	h.Acquired(1, 42, now, now.Add(3*time.Second))
	fmt.Println(h.Remaining(now.Add(3*time.Second)), h.Fencing())
	at := now.Add(7 * time.Second)
	fmt.Println(h.MayOrder(at, 2*time.Second, true), h.MayOrder(at, 2*time.Second, false))
	// Output:
	// true
	// 5s 42
	// true false
}

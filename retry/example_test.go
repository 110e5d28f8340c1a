package retry_test

import (
	"fmt"
	"time"

	"crocuslug/result"
	"crocuslug/retry"
)

// ExampleBudget shows a retry within the budget, one beyond it, and a request that is
// not retried because it may have run.
func ExampleBudget() {
	b := retry.New(retry.Settings{Burst: 1}, func() uint64 { return 0 })
	failed := retry.Attempt{Number: 1, Run: result.RunNot, Remaining: time.Minute}
	for range 2 {
		v, _ := b.Decide(failed)
		fmt.Println(v == retry.Retry, v == retry.NoBudget)
	}
	ran := failed
	ran.Run = result.RunUnknown
	v, _ := b.Decide(ran)
	fmt.Println(v == retry.MayHaveRun)
	// Output:
	// true false
	// false true
	// true
}

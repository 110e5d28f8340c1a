package claim_test

import (
	"fmt"
	"time"

	"crocuslug/claim"
)

// ExampleBucket grants the first of two requests with the same key and returns
// the stored answer to the second.
func ExampleBucket() {
	now := time.Unix(1_700_000_000, 0)
	b := claim.New(claim.Settings{})
	op := claim.Operation{
		Key:     claim.KeyOf("w", "booking", "k1"),
		Claim:   "a-1",
		State:   claim.Running,
		StartBy: now.Add(time.Second),
		Until:   now.Add(time.Minute),
	}
	first := b.Apply(op, now)
	second := op
	second.Claim = "b-1"
	refused := b.Apply(second, now)
	op.State, op.Answer = claim.Done, claim.Answer{Status: 201}
	b.Apply(op, now)
	second.Claim = "b-2"
	replayed := b.Apply(second, now)
	fmt.Println(first.Granted, refused.Err.Code, replayed.Answer.Status)
	// Output: true ActionInProgress 201
}

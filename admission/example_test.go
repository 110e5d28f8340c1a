package admission_test

import (
	"fmt"
	"time"

	"crocuslug/admission"
	"crocuslug/ident"
)

// ExampleQueue grants the request of a small workspace before the remaining
// requests of a workspace with a large backlog.
func ExampleQueue() {
	now := time.Unix(0, 0)
	q := admission.New(admission.Settings{}, func(ident.Workspace) admission.Limits { return admission.Limits{} })
	for _, id := range []ident.Generation{"large-1", "large-2", "large-3"} {
		q.Offer(admission.Item{ID: id, Workspace: "large", Priority: admission.Normal, Cost: 1000}, now)
	}
	q.Offer(admission.Item{ID: "small-1", Workspace: "small", Priority: admission.Normal, Cost: 100}, now)
	grants, _ := q.Next(2, now)
	for _, g := range grants {
		fmt.Println(g.ID)
	}
	// Output:
	// large-1
	// small-1
}

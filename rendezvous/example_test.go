package rendezvous_test

import (
	"fmt"

	"crocuslug/ident"
	"crocuslug/rendezvous"
)

// ExampleOrder shows that removing a member does not change the order of the others.
func ExampleOrder() {
	all := rendezvous.Order("answer-17", []ident.Instance{"a", "b", "c", "d"})
	rest := rendezvous.Order("answer-17", []ident.Instance{all[1], all[2], all[3]})
	fmt.Println(rest[0] == all[1], rest[1] == all[2], rest[2] == all[3])
	// Output: true true true
}

package timer_test

import (
	"fmt"
	"time"

	"crocuslug/timer"
)

// ExampleNewVirtual advances the virtual time, so that a test need not wait.
func ExampleNewVirtual() {
	s := timer.NewVirtual(time.Unix(0, 0))
	s.Every(2*time.Second, func(now time.Time) { fmt.Println("every", now.Unix()) })
	s.After(3*time.Second, func(now time.Time) { fmt.Println("once", now.Unix()) })
	s.Advance(4 * time.Second)
	// Output:
	// every 2
	// once 3
	// every 4
}

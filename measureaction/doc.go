// Package measureaction measures actions that must not run more than once, and the
// draining of upstreams and instances that leave.
//
// Each experiment runs a small deployment over loopback and sends an open load:
// requests start at times drawn from the seed, whether earlier ones are answered or
// not. When an answer asks for it, callers retry with the same key at any instance.
package measureaction

import (
	"crocuslug/measure"
)

// Entries returns the experiments of this package.
func Entries() []measure.Entry {
	return []measure.Entry{
		{Name: "claims", Help: "actions at several rates, then with outages, lost answers and a killed instance; the baseline runs them without claims", Run: runClaims},
		{Name: "drain", Help: "time of the last new work after an upstream or an instance began to leave; the baseline stops it at once", Run: runDrain},
	}
}

// Package measureaction measures actions that must not repeat, and how work
// stays away from what is leaving.
//
// Each experiment runs a small deployment over loopback and sends requests at
// times drawn from the seed, whether earlier ones are answered or not. Callers
// come back with the same key when they are told to, through any instance.
package measureaction

import (
	"crocuslug/measure"
)

// Entries returns the experiments of this package.
func Entries() []measure.Entry {
	return []measure.Entry{
		{Name: "claims", Help: "actions at several rates, then with outages, lost answers and a killed instance; the baseline runs them at once", Run: runClaims},
		{Name: "drain", Help: "last new work after an upstream or an instance began to leave; the baseline stops it at once", Run: runDrain},
	}
}

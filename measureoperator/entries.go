// Package measureoperator holds the experiments on operators' changes: how
// fast an accepted change spreads, and what an outage of the platform's
// key-value service does.
package measureoperator

import (
	"crocuslug/measure"
)

// Entries returns the experiments.
func Entries() []measure.Entry {
	return []measure.Entry{
		{
			Name: "config-spread",
			Help: "Time from acceptance of a change to its being in force at all of 3, 6, 12 and 24 instances, and calls for it.",
			Run:  runSpread,
		},
		{
			Name: "platform-outage",
			Help: "What is served while the platform's key-value service is away, and its calls before, during and after.",
			Run:  runOutage,
		},
	}
}

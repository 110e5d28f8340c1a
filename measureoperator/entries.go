// Package measureoperator contains the experiments on operators' changes: how fast an
// accepted change spreads, and the effect of an outage of the platform's key-value
// service.
package measureoperator

import (
	"crocuslug/measure"
)

// Entries returns the experiments of this package.
func Entries() []measure.Entry {
	return []measure.Entry{
		{
			Name: "config-spread",
			Help: "Time from the acceptance of a change until it is in force at all of 3, 6, 12 and 24 instances, and the calls needed.",
			Run:  runSpread,
		},
		{
			Name: "platform-outage",
			Help: "Requests served while the platform's key-value service is unavailable, and calls to it before, during and after.",
			Run:  runOutage,
		},
	}
}

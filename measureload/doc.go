// Package measureload measures how work is spread, admitted and limited.
//
// Each experiment runs a small deployment over loopback, sends requests at the
// times of an arrival plan drawn from the seed, whether earlier ones are answered or
// not, and counts what the callers got. The baseline takes engines in turn, admits
// all at once and keeps fixed shares.
package measureload

import (
	"crocuslug/measure"
)

// Entries returns the experiments of this package.
func Entries() []measure.Entry {
	return []measure.Entry{
		{Name: "lunch-hour", Help: "arrivals rise fourfold at 60% load; the shape Authority", Run: lunch(authority, false)},
		{Name: "lunch-hour-faults", Help: "the same while engines die, one freezes and an instance is cut off", Run: lunch(authority, true)},
		{Name: "lunch-hour-registry", Help: "the same with the shape Registry and its long briefs", Run: lunch(registry, false)},
		{Name: "prefix-affinity", Help: "prompt tokens not read again against evenness of load", Run: runAffinity},
		{Name: "quota", Help: "a workspace's limit while its demand moves and an instance is cut off", Run: runQuota},
	}
}

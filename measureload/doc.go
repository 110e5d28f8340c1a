// Package measureload measures load balancing, admission control and rate limits.
//
// Each experiment runs a small deployment over loopback and sends an open load:
// requests start at times drawn from the seed, whether earlier ones are answered or
// not. It then evaluates the answers that the callers got. The baseline chooses engines
// by round robin, admits every request at once and divides limits into fixed shares.
package measureload

import (
	"crocuslug/measure"
)

// Entries returns the experiments of this package.
func Entries() []measure.Entry {
	return []measure.Entry{
		{Name: "lunch-hour", Help: "arrival rate rises fourfold from 60% load; deployment Authority", Run: lunchHour(authority, false)},
		{Name: "lunch-hour-faults", Help: "the same while engines die, one freezes and an instance is isolated", Run: lunchHour(authority, true)},
		{Name: "lunch-hour-registry", Help: "the same with deployment Registry and its long briefs", Run: lunchHour(registry, false)},
		{Name: "prefix-affinity", Help: "prompt tokens served from caches against evenness of load", Run: runAffinity},
		{Name: "quota", Help: "a workspace's limit while its demand moves and an instance is isolated", Run: runQuota},
	}
}

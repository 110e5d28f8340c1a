package edge

import (
	"strconv"
	"strings"

	"crocuslug/poison"
)

// logBans logs which parts of prompts are refused, or are refused no more, since the last call.
func (e *Edge) logBans() {
	for _, c := range e.poison.TakeChanges() {
		if !c.Banned {
			e.log.Warn().Str("PartHashes", partHashes(c.Parts)).Msg("parts of prompts refused no more")
			continue
		}
		e.log.Warn().Str("PartHashes", partHashes(c.Parts)).Int("Moments", c.Moments).Msg("parts of prompts refused: engines crash with them")
	}
}

// partHashes returns the parts of a set as text.
func partHashes(set []poison.Part) string {
	out := make([]string, 0, len(set))
	for _, p := range set {
		out = append(out, strconv.FormatUint(uint64(p), 16))
	}
	return strings.Join(out, ",")
}

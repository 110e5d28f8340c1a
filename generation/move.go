package generation

import (
	"time"

	"crocuslug/ident"
)

// maxMoves is the maximum number of moves between two tokens.
const maxMoves = 3

// Move handles an engine that accepted the request of attempt a but has no free slot for it,
// while another engine may have one. A generation without tokens, or without any since its
// last loss, is moved to another engine: nothing was computed for it on this one.
func (m *Machine) Move(now time.Time, a ident.Attempt) []Action {
	begun := m.log.Len() > 0 && m.lostAt.IsZero()
	if a != m.log.Attempt() || m.phase != streaming || begun || m.moves >= maxMoves {
		return nil
	}
	m.moves++
	m.stats.Moves++
	return append(m.cancelStream(), m.switchEngine(now)...)
}

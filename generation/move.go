package generation

import (
	"time"

	"crocuslug/ident"
)

// maxMoves bounds how often a generation is moved before its next token.
const maxMoves = 3

// Move tells that the engine of attempt a took the request but has no slot for it
// while another may have one. A generation that has no token yet, or none since
// its loss, goes there: nothing was computed on this engine.
func (m *Machine) Move(now time.Time, a ident.Attempt) []Action {
	begun := m.log.Len() > 0 && m.lost.IsZero()
	if a != m.log.Attempt() || m.phase != streaming || begun || m.moves >= maxMoves {
		return nil
	}
	m.moves++
	m.stats.Moves++
	return append(m.cancel(), m.another(now)...)
}

package generation

import (
	"time"

	"crocuslug/ident"
)

// maxMoves bounds how often a generation is moved.
const maxMoves = 2

// Move tells that the engine of attempt a took the request but has no slot for it
// while another may have one. A generation without tokens goes there: nothing
// was computed yet.
func (m *Machine) Move(now time.Time, a ident.Attempt) []Action {
	if a != m.log.Attempt() || m.phase != streaming || m.log.Len() > 0 || m.stats.Moves >= maxMoves {
		return nil
	}
	m.stats.Moves++
	return append(m.cancel(), m.another(now)...)
}

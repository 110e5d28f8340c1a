package generation

import (
	"time"
)

// Tick looks at all time limits.
func (m *Machine) Tick(now time.Time) []Action {
	if m.phase == ended {
		return nil
	}
	acts := m.tickReplica(now)
	if m.phase == finished {
		return acts
	}
	if !m.callerGone.IsZero() && now.Sub(m.callerGone) > m.cfg.CallerLimit {
		return append(acts, m.Cancel()...)
	}
	return append(acts, m.tickStream(now)...)
}

func (m *Machine) tickStream(now time.Time) []Action {
	quiet := now.Sub(m.since)
	a := m.log.Attempt()
	switch m.phase {
	case waiting:
		if !now.Before(m.retryAt) {
			return m.choose(now)
		}
	case connecting:
		if quiet > m.cfg.ConnectLimit {
			return m.StreamLost(now, a, TimedOut)
		}
	case probing:
		if quiet > m.cfg.ProbeLimit {
			return m.StreamLost(now, a, TimedOut)
		}
	case streaming:
		if !m.paused && quiet > m.silenceLimit() {
			m.quiet.Back()
			return m.StreamLost(now, a, Silence)
		}
	}
	return nil
}

func (m *Machine) silenceLimit() time.Duration {
	if m.log.Len() == 0 || !m.lost.IsZero() {
		return m.quiet.FirstLimit()
	}
	return m.quiet.GapLimit()
}

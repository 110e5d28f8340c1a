package generation

import (
	"time"
)

// Tick applies all time limits.
func (m *Machine) Tick(now time.Time) []Action {
	if m.phase == ended {
		return nil
	}
	acts := m.tickReplica(now)
	if m.phase == finished {
		return acts
	}
	if !m.callerGoneAt.IsZero() && now.Sub(m.callerGoneAt) > m.cfg.CallerTimeout {
		return append(acts, m.Cancel()...)
	}
	return append(acts, m.tickStream(now)...)
}

// tickStream applies the time limits of the stream.
func (m *Machine) tickStream(now time.Time) []Action {
	idle := now.Sub(m.lastActivity)
	a := m.log.Attempt()
	switch m.phase {
	case waitingToRetry:
		if !now.Before(m.retryAt) {
			return m.retry(now)
		}
	case connecting:
		if idle > m.cfg.ConnectTimeout {
			m.sent = true // connections are opened in less time
			return m.StreamLost(now, a, ResponseTimeout)
		}
	case probing:
		if idle > m.cfg.ProbeTimeout {
			return m.StreamLost(now, a, ResponseTimeout)
		}
	case streaming:
		if !m.paused && idle > m.tokenTimeout() {
			m.timeouts.BackOff()
			return m.StreamLost(now, a, TokenTimeout)
		}
	}
	return nil
}

// tokenTimeout returns how long to wait for the next token.
func (m *Machine) tokenTimeout() time.Duration {
	if m.log.Len() == 0 || !m.lostAt.IsZero() {
		return m.timeouts.FirstTimeout()
	}
	return m.timeouts.GapTimeout()
}

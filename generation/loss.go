package generation

import (
	"slices"
	"time"

	"crocuslug/ident"
	"crocuslug/result"
)

// StreamLost tells that the stream of an attempt is lost.
func (m *Machine) StreamLost(now time.Time, a ident.Attempt, c Cause) []Action {
	if a != m.log.Attempt() || m.Over() || m.phase == choosing || m.phase == waiting {
		return nil
	}
	if m.lost.IsZero() {
		m.lost = now
	}
	if c == UnknownStream && m.phase == connecting {
		c = Full // the engine lacks the model
	}
	switch c {
	case Rejected:
		return m.end(result.New(result.UpstreamFailed, "the engine refuses the request").Ran(m.ran()))
	case CannotContinue:
		return m.cannotContinue(now)
	case Full, Leaving:
		return m.another(now)
	case Corrupt:
		return append(m.cancel(), m.another(now)...)
	case Reset, Silence:
		if m.phase != probing && m.probes < m.probeBound() && !m.cfg.DisableProbe {
			return m.probe(now)
		}
	}
	return m.dead(now, c)
}

// probe asks the engine for the stream over a new connection.
func (m *Machine) probe(now time.Time) []Action {
	m.log.Raise(m.log.Attempt() + 1)
	m.phase, m.since = probing, now
	m.probes++
	m.stats.Resumes++
	return []Action{m.streamAction(ResumeStream)}
}

// Probes of one engine without a token before it is given up.
const (
	probesFirst = 6 // while no token was generated: the stream may wait in the engine's queue
	probesGap   = 3
)

func (m *Machine) probeBound() int {
	if m.log.Len() == 0 {
		return probesFirst
	}
	return probesGap
}

// dead gives the engine up and looks for another. An engine that merely does
// not answer may be cut off, so only one that is seen to be gone, or to have
// lost the stream, counts against the requests that it ran.
func (m *Machine) dead(now time.Time, c Cause) []Action {
	if c == Refused && m.phase != probing {
		return m.another(now) // the request has not left, so nothing is lost
	}
	var acts []Action
	if c != TimedOut && c != Silence {
		acts = append(acts, Action{Kind: Blame, Upstream: m.engine})
	}
	if c == TimedOut || c == Silence {
		acts = append(acts, m.cancel()...)
	}
	m.losses++
	if m.losses > m.cfg.EngineLosses {
		r := result.New(result.GenerationLost, "too many engines were lost").Ran(result.RunUnknown)
		return append(acts, m.end(r)...)
	}
	return append(acts, m.another(now)...)
}

// another excludes the present engine and looks for a different one.
func (m *Machine) another(now time.Time) []Action {
	m.log.Raise(m.log.Attempt() + 1)
	again := slices.Contains(m.exclude, m.engine)
	m.exclude = append(m.exclude, m.engine)
	m.engine, m.stream = "", ""
	m.probes = 0
	switch {
	case again && !m.opened:
		r := result.New(result.Overloaded, "no engine in reach takes the request")
		return m.end(r.After(m.cfg.ComeBack))
	case again:
		return m.wait(now) // all others are out, so a new choice would be the same
	}
	return m.choose(now)
}

// ran says whether an engine may have run the request.
func (m *Machine) ran() result.Run {
	if m.opened || m.adopted {
		return result.RunUnknown
	}
	return result.RunNot
}

// maxRetryShift bounds the doubling of the wait for an engine.
const maxRetryShift = 5

// wait looks for an engine again after a while, or gives up after the limit.
func (m *Machine) wait(now time.Time) []Action {
	if m.lost.IsZero() {
		m.lost = now
	}
	if now.Sub(m.lost) > m.cfg.ResumeLimit {
		return m.end(result.New(result.GenerationLost, "no engine could go on with the answer").Ran(result.RunUnknown))
	}
	m.exclude = nil
	m.phase, m.retryAt = waiting, now.Add(m.cfg.EngineRetry<<min(m.waits, maxRetryShift))
	m.waits++
	return nil
}

// cannotContinue starts anew if nothing was released and ends the answer otherwise.
func (m *Machine) cannotContinue(now time.Time) []Action {
	if m.released > 0 || m.adopted {
		m.losses++
		if m.losses > m.cfg.EngineLosses || len(m.exclude) >= m.cfg.EngineLosses {
			return m.end(result.New(result.CannotContinue, "no engine could continue the answer").Ran(result.RunUnknown))
		}
		return m.another(now)
	}
	m.log.Restart(m.log.Attempt() + 1)
	m.replica.rebase()
	m.stats.Restarts++
	return m.choose(now)
}

func (m *Machine) cancel() []Action {
	if m.engine == "" {
		return nil
	}
	return []Action{{Kind: CancelStream, Upstream: m.engine, Stream: m.stream}}
}

func (m *Machine) end(r *result.Error) []Action {
	m.phase = ended
	m.result = r
	return []Action{{Kind: End, Result: r}}
}

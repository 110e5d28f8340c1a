package generation

import (
	"slices"
	"time"

	"crocuslug/ident"
	"crocuslug/result"
)

// StreamLost handles the loss of the stream of attempt a. Losses of earlier attempts are
// ignored.
func (m *Machine) StreamLost(now time.Time, a ident.Attempt, c LossCause) []Action {
	if a != m.log.Attempt() || m.Closed() || m.phase == choosingEngine || m.phase == waitingToRetry {
		return nil
	}
	if m.lostAt.IsZero() {
		m.lostAt = now
	}
	if c == ConnectionReset && m.phase == connecting {
		m.sent = true
	}
	if c == UnknownStream && m.phase == connecting {
		c = EngineFull // a new stream is refused as unknown if the engine does not have the model
	}
	switch c {
	case RequestRejected:
		return m.endWith(result.New(result.UpstreamFailed, "the engine rejects the request").Ran(m.runStatus()))
	case CannotContinue:
		return m.cannotContinue(now)
	case EngineFull, EngineDraining:
		return m.switchEngine(now)
	case CorruptStream:
		return append(m.cancelStream(), m.switchEngine(now)...)
	case ConnectionReset, TokenTimeout:
		if m.phase != probing && m.probes < m.maxProbes() && !m.cfg.DisableProbe {
			return m.probe(now)
		}
	}
	return m.engineLost(now, c)
}

// probe requests the current stream from its engine over a new connection.
func (m *Machine) probe(now time.Time) []Action {
	m.log.RaiseAttempt(m.log.Attempt() + 1)
	m.phase, m.lastActivity = probing, now
	m.probes++
	m.stats.Resumes++
	return []Action{m.streamAction(ResumeStream)}
}

// Limits on the number of probes of one engine without receiving a token. The limit is
// higher before the first token, while the stream may be waiting in the engine's queue.
const (
	maxProbesFirst = 6
	maxProbesGap   = 3
)

func (m *Machine) maxProbes() int {
	if m.log.Len() == 0 {
		return maxProbesFirst
	}
	return maxProbesGap
}

// engineLost abandons the engine and selects another. The engine is reported and counted as
// failed only if it is known to have stopped or to have lost the stream: one that merely does
// not answer may have paused or be unreachable from here, and its requests must not be blamed.
func (m *Machine) engineLost(now time.Time, c LossCause) []Action {
	if c == ConnectionRefused && m.phase != probing {
		return m.switchEngine(now) // the request was not sent, so no work was lost
	}
	m.engineLosses++
	if !m.showsFailure(c) {
		return m.engineSilent(now, c)
	}
	m.engineFailures++
	acts := []Action{{Kind: ReportFailure, Upstream: m.engine}}
	if m.engineFailures > m.cfg.MaxEngineFailures {
		r := result.New(result.GenerationLost, "too many engines failed while generating the answer").Ran(result.RunUnknown)
		return append(acts, m.endWith(r)...)
	}
	return append(acts, m.switchEngine(now)...)
}

// showsFailure reports whether a loss shows that the engine has stopped or lost the stream.
// One that was silent may have dropped the stream for want of a reader, and the former owner
// of a generation may have cancelled it.
func (m *Machine) showsFailure(c LossCause) bool {
	switch c {
	case ResponseTimeout, TokenTimeout:
		return false
	case UnknownStream:
		return !m.wasSilent && (m.accepted || !m.takenOver)
	}
	return !m.wasSilent
}

// engineSilent abandons an engine that is not known to have failed. Silence alone ends the answer only
// once ResumeTimeout has passed.
func (m *Machine) engineSilent(now time.Time, c LossCause) []Action {
	m.unanswered = true
	acts := m.leaveSilent(c)
	if now.Sub(m.lostAt) > m.cfg.ResumeTimeout {
		return append(acts, m.endWith(resumeTimedOut())...)
	}
	return append(acts, m.switchEngine(now)...)
}

// resumeTimedOut returns the result of an answer that no engine continued within
// ResumeTimeout.
func resumeTimedOut() *result.Error {
	return result.New(result.GenerationLost, "no engine could continue the answer within the time limit").Ran(result.RunUnknown)
}

// switchEngine excludes the current engine and selects a different one. If no other engine
// is left, it waits, or ends the answer if no engine has accepted the request yet. Engines that
// have not responded get ConnectTimeout to do so, since they may have paused.
func (m *Machine) switchEngine(now time.Time) []Action {
	m.log.RaiseAttempt(m.log.Attempt() + 1)
	alreadyExcluded := slices.Contains(m.exclude, m.engine)
	m.exclude = append(m.exclude, m.engine)
	m.engine, m.stream, m.wasSilent = "", "", false
	m.probes = 0
	switch {
	case alreadyExcluded && !m.accepted && (!m.unanswered || now.Sub(m.lostAt) > m.cfg.ConnectTimeout):
		return m.endWith(m.notAccepted())
	case alreadyExcluded:
		return m.retryLater(now) // all other engines are excluded, so choosing again would return the same one
	}
	return m.chooseEngine(now)
}

// notAccepted returns the result of an answer that no engine has accepted.
func (m *Machine) notAccepted() *result.Error {
	if m.sent {
		return result.New(result.UpstreamFailed, "no engine responded to the request in time").Ran(result.RunUnknown)
	}
	return result.New(result.Overloaded, "no reachable engine accepts the request").After(m.cfg.RetryAfter)
}

// runStatus reports whether an engine may have run the request.
func (m *Machine) runStatus() result.Run {
	if m.accepted || m.sent || m.takenOver {
		return result.RunUnknown
	}
	return result.RunNot
}

// maxRetryShift is the maximum number of times that the delay between engine choices
// doubles.
const maxRetryShift = 5

// retryLater schedules a new choice of engine with exponential backoff, or ends the answer
// once ResumeTimeout has passed since the stream was lost.
func (m *Machine) retryLater(now time.Time) []Action {
	if m.lostAt.IsZero() {
		m.lostAt = now
	}
	if now.Sub(m.lostAt) > m.cfg.ResumeTimeout {
		return m.endWith(resumeTimedOut())
	}
	m.exclude = nil
	m.phase, m.retryAt = waitingToRetry, now.Add(m.cfg.EngineRetryDelay<<min(m.engineRetries, maxRetryShift))
	m.engineRetries++
	return nil
}

// retry asks for the silent stream, if there is one, or chooses an engine again.
func (m *Machine) retry(now time.Time) []Action {
	if m.silent.engine != "" {
		return m.resumeSilent(now)
	}
	return m.chooseEngine(now)
}

// cannotContinue handles an engine that cannot continue from the tokens in the log. If the
// former engine is only silent, its stream is asked for again. Otherwise, if nothing was
// released to the caller, the answer is generated again from the start, or else other engines
// are tried, and the answer ends when too many have failed.
func (m *Machine) cannotContinue(now time.Time) []Action {
	if m.silent.engine != "" {
		m.exclude = append(m.exclude, m.engine)
		return m.resumeSilent(now)
	}
	if m.released > 0 || m.takenOver {
		m.engineLosses++
		m.engineFailures++
		if m.engineFailures > m.cfg.MaxEngineFailures || len(m.exclude) >= m.cfg.MaxEngineFailures {
			return m.endWith(result.New(result.CannotContinue, "no engine could continue the answer").Ran(result.RunUnknown))
		}
		return m.switchEngine(now)
	}
	m.log.Restart(m.log.Attempt() + 1)
	m.replica.resetToBase()
	m.stats.Restarts++
	return m.chooseEngine(now)
}

// cancelStream returns the action that cancels the current stream, if there is one.
func (m *Machine) cancelStream() []Action {
	if m.engine == "" {
		return nil
	}
	return []Action{{Kind: CancelStream, Upstream: m.engine, Stream: m.stream}}
}

// endWith ends the answer with result r.
func (m *Machine) endWith(r *result.Error) []Action {
	m.phase = ended
	m.result = r
	return append(m.cancelSilent(), Action{Kind: End, Result: r})
}

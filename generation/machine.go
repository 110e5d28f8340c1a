package generation

import (
	"fmt"
	"slices"
	"time"

	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/silence"
	"crocuslug/tokenlog"
)

// phase is what the machine is waiting for.
type phase int

const (
	choosingEngine phase = iota // the choice of an engine
	waitingToRetry              // the time of the next choice of an engine
	connecting                  // the engine's response to a new stream
	probing                     // the engine's response to a probe
	streaming                   // tokens
	finished                    // nothing: the log is complete
	ended                       // nothing: the answer ended with a result
)

// Machine is the state machine of one generation on the instance that owns it. It is not
// safe for concurrent use.
type Machine struct {
	cfg  Settings
	spec Spec
	log  *tokenlog.Log

	phase          phase
	engine         ident.Upstream
	stream         string
	exclude        []ident.Upstream
	engineLosses   int          // engines abandoned for any reason
	engineFailures int          // engines that failed or could not continue the answer
	silent         silentStream // the stream left last, until another engine accepts the answer
	unanswered     bool         // an engine has not responded in time since the last token
	wasSilent      bool         // the current stream is the former silent one
	lastActivity   time.Time    // start of the phase, or last event received while streaming
	lostAt         time.Time    // when the stream was lost; zero while it is not lost
	retryAt        time.Time
	paused         bool
	probes         int  // since the last token
	engineRetries  int  // waits for an engine since the last token
	moves          int  // moves to another engine since the last token
	accepted       bool // an engine accepted the request and may have run it
	sent           bool // an engine may have read the request, but did not accept it
	takenOver      bool // taken over from another instance, which may have delivered tokens
	timeouts       *silence.Detector
	released       int

	replica replicaState

	callerGoneAt time.Time // zero while a caller is connected
	result       *result.Error
	stats        Stats
}

// Stats counts the events of one generation.
type Stats struct {
	Streams          int // streams started on engines
	Resumes          int // streams resumed on the same engine
	Continuations    int // streams started from existing tokens
	Moves            int // streams abandoned before a token because the engine had no free slot
	Restarts         int // streams started from the beginning, discarding existing tokens
	StaleTokens      int // tokens dropped because of their attempt or index
	Unreplicated     int // tokens released without a replica
	ReplicaChanges   int
	Recoveries       int           // losses after which tokens arrived again
	LastRecoveryTime time.Duration // time from the last such loss to the next token
}

// New returns a machine for a new generation.
func New(cfg Settings, spec Spec) *Machine {
	cfg = cfg.withDefaults()
	return &Machine{cfg: cfg, spec: spec, log: &tokenlog.Log{}, timeouts: silence.New(cfg.Silence)}
}

// Adopt returns a machine for a generation that was taken over in state a. Its attempt
// number is higher than that of a. The previous owner may have delivered the tokens of a;
// this machine releases them once its own replica has stored them.
func Adopt(cfg Settings, spec Spec, a AdoptedState) *Machine {
	m := New(cfg, spec)
	first := a.Attempt.NextOwner()
	m.log.RaiseAttempt(first)
	m.log.Append(first, 0, a.Tokens)
	if a.Done {
		m.log.Finish(first, len(a.Tokens), a.Finish)
	}
	m.engine, m.stream = a.Upstream, a.Stream
	m.takenOver = true
	return m
}

// Spec returns the input of the generation.
func (m *Machine) Spec() Spec { return m.spec }

// Log returns the token log. The caller must not modify it.
func (m *Machine) Log() *tokenlog.Log { return m.log }

// Stats returns the event counters of the generation.
func (m *Machine) Stats() Stats { return m.stats }

// Released returns the position up to which the caller may receive the answer.
func (m *Machine) Released() int { return m.released }

// Result returns the result with which the answer ended, or nil if it is in progress or
// complete.
func (m *Machine) Result() *result.Error { return m.result }

// Closed reports whether no more tokens will be added to the answer.
func (m *Machine) Closed() bool { return m.phase == finished || m.phase == ended }

// Complete reports whether the answer is finished and released as a whole.
func (m *Machine) Complete() bool { return m.phase == finished && m.released == m.log.Position() }

// Engine returns the engine and stream of the current attempt, or empty strings if there are
// none.
func (m *Machine) Engine() (ident.Upstream, string) { return m.engine, m.stream }

// Start begins a new generation or continues an adopted one.
func (m *Machine) Start(now time.Time) []Action {
	acts := m.chooseReplica(now)
	if _, done := m.log.Finished(); done {
		m.phase = finished
		return acts
	}
	if m.engine != "" {
		m.lostAt = now
		return append(acts, m.probe(now)...)
	}
	return append(acts, m.chooseEngine(now)...)
}

func (m *Machine) chooseEngine(now time.Time) []Action {
	m.phase, m.lastActivity = choosingEngine, now
	return []Action{{
		Kind:           ChooseEngine,
		ExcludeEngines: slices.Clone(m.exclude),
		Resumed:        m.inProgress(),
		From:           m.log.Len(),
	}}
}

// inProgress reports whether the generation has had a stream before.
func (m *Machine) inProgress() bool {
	return m.log.Len() > 0 || m.engineLosses > 0 || m.stats.Moves > 0
}

// EngineChosen starts a stream on engine u.
func (m *Machine) EngineChosen(now time.Time, u ident.Upstream) []Action {
	if m.phase != choosingEngine {
		return nil
	}
	if u == m.silent.engine {
		return m.resumeSilent(now)
	}
	m.log.RaiseAttempt(m.log.Attempt() + 1)
	m.engine = u
	m.stream = fmt.Sprintf("%s-%d", m.spec.Generation, m.log.Attempt())
	m.phase, m.lastActivity = connecting, now
	m.stats.Streams++
	if m.log.Len() > 0 {
		m.stats.Continuations++
	}
	return []Action{m.streamAction(StartStream)}
}

func (m *Machine) streamAction(k Kind) Action {
	return Action{
		Kind:     k,
		Upstream: m.engine,
		Stream:   m.stream,
		Attempt:  m.log.Attempt(),
		From:     m.log.Len(),
	}
}

// NoEngineAvailable handles the case that no engine can be chosen. A generation in progress
// tries again later; a new one ends with r.
func (m *Machine) NoEngineAvailable(now time.Time, r *result.Error) []Action {
	if m.phase != choosingEngine {
		return nil
	}
	if !m.inProgress() || r.Code == result.RequestCrashes {
		return m.endWith(r)
	}
	return m.retryLater(now)
}

// StreamOpened records that the engine accepted the request of attempt a.
func (m *Machine) StreamOpened(now time.Time, a ident.Attempt) []Action {
	m.accepted = true
	if a != m.log.Attempt() || m.phase != connecting && m.phase != probing {
		return nil
	}
	m.phase, m.lastActivity, m.wasSilent = streaming, now, false
	return m.cancelSilent()
}

// TokensReceived adds tokens of attempt a to the log. Index is the index of the first one.
func (m *Machine) TokensReceived(now time.Time, a ident.Attempt, index int, tokens []string) []Action {
	if m.Closed() {
		m.stats.StaleTokens += len(tokens)
		return nil
	}
	before := m.log.Len()
	switch m.append(a, index, tokens) {
	case tokenlog.StaleAttempt, tokenlog.Closed:
		m.stats.StaleTokens += len(tokens)
		return nil
	case tokenlog.Gap, tokenlog.Mismatch:
		return m.StreamLost(now, a, CorruptStream)
	case tokenlog.Duplicate:
		m.stats.StaleTokens += len(tokens)
		m.lastActivity = now
		return nil
	}
	m.recordTokens(now, before)
	return m.replicate(now)
}

func (m *Machine) append(a ident.Attempt, index int, tokens []string) tokenlog.Outcome {
	if m.cfg.DisableFencing {
		a = m.log.Attempt()
		index = m.log.Len()
	}
	return m.log.Append(a, index, tokens)
}

// recordTokens updates the timeout estimates and the phase after new tokens. Before is the
// number of tokens in the log before they were added.
func (m *Machine) recordTokens(now time.Time, before int) {
	if m.phase == streaming {
		if before == 0 {
			m.timeouts.ObserveFirst(now.Sub(m.lastActivity))
		} else if m.lostAt.IsZero() {
			m.timeouts.ObserveGap(now.Sub(m.lastActivity))
		}
	}
	m.phase, m.lastActivity = streaming, now
	m.recordRecovery(now)
}

// recordRecovery resets the retry counters and, if the stream had been lost, records the
// recovery.
func (m *Machine) recordRecovery(now time.Time) {
	m.probes, m.engineRetries, m.moves = 0, 0, 0
	if m.lostAt.IsZero() {
		return
	}
	m.stats.Recoveries++
	m.stats.LastRecoveryTime = now.Sub(m.lostAt)
	m.lostAt, m.unanswered = time.Time{}, false
}

// StreamFinished handles the end of the stream of attempt a. N is the total number of tokens
// of the answer and reason the engine's reason for stopping.
func (m *Machine) StreamFinished(now time.Time, a ident.Attempt, n int, reason string) []Action {
	if m.Closed() {
		return nil
	}
	switch m.log.Finish(a, n, reason) {
	case tokenlog.Gap, tokenlog.Mismatch:
		return m.StreamLost(now, a, CorruptStream)
	case tokenlog.Appended:
		m.phase = finished
		m.recordRecovery(now)
		return m.replicate(now)
	}
	return nil
}

// SetPaused sets whether the instance has stopped reading the stream because the caller is
// slow. The token timeout does not apply to a paused stream.
func (m *Machine) SetPaused(now time.Time, paused bool) {
	if m.paused && !paused {
		m.lastActivity = now
	}
	m.paused = paused
}

// InstanceStalled extends the running time limits by d after this instance itself was
// stalled for d, since it could not have received anything from engines or replicas in that
// time.
func (m *Machine) InstanceStalled(now time.Time, d time.Duration) {
	m.lastActivity = m.lastActivity.Add(d)
	if !m.lostAt.IsZero() {
		m.lostAt = m.lostAt.Add(min(d, now.Sub(m.lostAt)))
	}
	m.replica.lastAck = m.replica.lastAck.Add(d)
}

// OwnershipLost ends the answer because another instance owns the generation now. The stream
// is not cancelled, since the new owner may resume it.
func (m *Machine) OwnershipLost() []Action {
	if m.phase == ended || m.Complete() {
		return nil
	}
	m.engine, m.stream = "", ""
	m.silent = silentStream{}
	return m.endWith(result.New(result.GenerationMoved, "another instance has taken over the generation").Ran(result.RunUnknown))
}

// CallerDisconnected records that the caller's connection was lost. The generation is
// cancelled unless a caller reconnects within CallerTimeout.
func (m *Machine) CallerDisconnected(now time.Time) {
	if m.callerGoneAt.IsZero() {
		m.callerGoneAt = now
	}
}

// CallerReconnected records that a caller is connected again.
func (m *Machine) CallerReconnected() {
	m.callerGoneAt = time.Time{}
}

// Cancel ends the answer, because no caller is waiting for it. It cancels its stream, unless another
// instance may have taken the generation over without this one having heard of it: the stream may be the
// one by which that instance goes on. The engine ends a stream that nobody reads.
func (m *Machine) Cancel() []Action {
	if m.Closed() {
		return nil
	}
	var acts []Action
	if len(m.replica.unheard) == 0 {
		acts = m.cancelStream()
	} else {
		m.silent = silentStream{}
	}
	return append(acts, m.endWith(result.New(result.GenerationCancelled, "no caller reconnected to receive the answer").Ran(result.RunUnknown))...)
}

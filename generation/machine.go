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

// phase is what the machine waits for.
type phase int

const (
	choosing   phase = iota // an engine
	waiting                 // the time to look for an engine again
	connecting              // the engine's answer to a new stream
	probing                 // the engine's answer to the request for a known stream
	streaming               // tokens
	finished                // nothing: the log has its end
	ended                   // nothing: the answer ended with a result
)

// Machine follows one generation on the instance that owns it. It is not safe
// for use by several goroutines at once.
type Machine struct {
	cfg  Settings
	spec Spec
	log  *tokenlog.Log

	phase    phase
	engine   ident.Upstream
	stream   string
	exclude  []ident.Upstream
	losses   int
	since    time.Time // begin of the phase, or last sign of life while streaming
	lost     time.Time // when the stream was lost; zero if it is not
	retryAt  time.Time
	paused   bool
	probes   int  // probes since the last token
	waits    int  // waits for an engine since the last token
	moves    int  // moves since the last token
	opened   bool // an engine took the request, so that it may have run
	adopted  bool // taken over, so that tokens may have been delivered
	quiet    *silence.Detector
	released int

	replica copyState

	callerGone time.Time // zero while the caller is there
	result     *result.Error
	stats      Stats
}

// Stats count what a generation went through.
type Stats struct {
	Streams        int // streams started on engines
	Resumes        int // streams resumed on the same engine
	Continuations  int // streams started from tokens held
	Moves          int // streams given up before a token because the engine had no slot
	Restarts       int // streams started anew although tokens were held
	StaleTokens    int // tokens dropped for their attempt or index
	Unreplicated   int // tokens released without a replica
	ReplicaChanges int
	Recoveries     int           // losses after which tokens came again
	LastRecovery   time.Duration // from the last such loss to the next token
}

// New returns a machine for a generation that has not begun.
func New(cfg Settings, spec Spec) *Machine {
	cfg = cfg.withDefaults()
	return &Machine{cfg: cfg, spec: spec, log: &tokenlog.Log{}, quiet: silence.New(cfg.Silence)}
}

// Adopt returns a machine for a generation taken over in state a. Its attempt is
// above that of a. The tokens of a may have been delivered by an earlier owner;
// this one releases them when a replica of its own holds them.
func Adopt(cfg Settings, spec Spec, a Adopted) *Machine {
	m := New(cfg, spec)
	first := a.Attempt.NextOwner()
	m.log.Raise(first)
	m.log.Append(first, 0, a.Tokens)
	if a.Done {
		m.log.Finish(first, len(a.Tokens), a.Finish)
	}
	m.engine, m.stream = a.Upstream, a.Stream
	m.adopted = true
	return m
}

// Spec returns what the generation is made from.
func (m *Machine) Spec() Spec { return m.spec }

// Log returns the tokens. The caller must not change it.
func (m *Machine) Log() *tokenlog.Log { return m.log }

// Stats returns what the generation went through.
func (m *Machine) Stats() Stats { return m.stats }

// Released returns the position up to which the caller may receive.
func (m *Machine) Released() int { return m.released }

// Result returns how the answer ended, or nil if it goes on or is whole.
func (m *Machine) Result() *result.Error { return m.result }

// Over reports whether nothing will be added to the answer.
func (m *Machine) Over() bool { return m.phase == finished || m.phase == ended }

// Whole reports whether the log has its end and all of it is released.
func (m *Machine) Whole() bool { return m.phase == finished && m.released == m.log.Position() }

// Engine returns the engine and stream of the present attempt, or "".
func (m *Machine) Engine() (ident.Upstream, string) { return m.engine, m.stream }

// Start begins a new generation or goes on with an adopted one.
func (m *Machine) Start(now time.Time) []Action {
	acts := m.chooseReplica(now)
	if _, done := m.log.Finished(); done {
		m.phase = finished
		return acts
	}
	if m.engine != "" {
		m.lost = now
		return append(acts, m.probe(now)...)
	}
	return append(acts, m.choose(now)...)
}

func (m *Machine) choose(now time.Time) []Action {
	m.phase, m.since = choosing, now
	return []Action{{
		Kind:    ChooseEngine,
		Exclude: slices.Clone(m.exclude),
		Resumed: m.underWay(),
		From:    m.log.Len(),
	}}
}

// underWay reports whether the generation had a stream before.
func (m *Machine) underWay() bool {
	return m.log.Len() > 0 || m.losses > 0 || m.stats.Moves > 0
}

// EngineChosen starts a stream on engine u.
func (m *Machine) EngineChosen(now time.Time, u ident.Upstream) []Action {
	if m.phase != choosing {
		return nil
	}
	m.log.Raise(m.log.Attempt() + 1)
	m.engine = u
	m.stream = fmt.Sprintf("%s-%d", m.spec.Generation, m.log.Attempt())
	m.phase, m.since = connecting, now
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

// NoEngine tells that no engine can be had. A generation under way waits and
// asks again; a new one ends with r.
func (m *Machine) NoEngine(now time.Time, r *result.Error) []Action {
	if m.phase != choosing {
		return nil
	}
	if !m.underWay() || r.Code == result.RequestCrashes {
		return m.end(r)
	}
	return m.wait(now)
}

// Opened tells that the engine took the request of an attempt.
func (m *Machine) Opened(now time.Time, a ident.Attempt) {
	m.opened = true
	if a != m.log.Attempt() || m.phase != connecting && m.phase != probing {
		return
	}
	m.phase, m.since = streaming, now
}

// Tokens takes in tokens of an attempt, the first of which has the given index.
func (m *Machine) Tokens(now time.Time, a ident.Attempt, index int, tokens []string) []Action {
	if m.Over() {
		m.stats.StaleTokens += len(tokens)
		return nil
	}
	before := m.log.Len()
	switch m.append(a, index, tokens) {
	case tokenlog.Stale, tokenlog.Closed:
		m.stats.StaleTokens += len(tokens)
		return nil
	case tokenlog.Gap, tokenlog.Mismatch:
		return m.StreamLost(now, a, Corrupt)
	case tokenlog.Duplicate:
		m.stats.StaleTokens += len(tokens)
		m.since = now
		return nil
	}
	m.observe(now, before)
	return m.replicate(now)
}

func (m *Machine) append(a ident.Attempt, index int, tokens []string) tokenlog.Verdict {
	if m.cfg.DisableFence {
		a = m.log.Attempt()
		index = m.log.Len()
	}
	return m.log.Append(a, index, tokens)
}

func (m *Machine) observe(now time.Time, before int) {
	if m.phase == streaming {
		if before == 0 {
			m.quiet.First(now.Sub(m.since))
		} else if m.lost.IsZero() {
			m.quiet.Gap(now.Sub(m.since))
		}
	}
	m.phase, m.since = streaming, now
	m.recovered(now)
}

// recovered notes that tokens came again after a loss.
func (m *Machine) recovered(now time.Time) {
	m.probes, m.waits, m.moves = 0, 0, 0
	if m.lost.IsZero() {
		return
	}
	m.stats.Recoveries++
	m.stats.LastRecovery = now.Sub(m.lost)
	m.lost = time.Time{}
}

// Finished takes in the end of an attempt's stream after n tokens in all.
func (m *Machine) Finished(now time.Time, a ident.Attempt, n int, reason string) []Action {
	if m.Over() {
		return nil
	}
	switch m.log.Finish(a, n, reason) {
	case tokenlog.Gap, tokenlog.Mismatch:
		return m.StreamLost(now, a, Corrupt)
	case tokenlog.Appended:
		m.phase = finished
		m.recovered(now)
		return m.replicate(now)
	}
	return nil
}

// Pause tells whether the instance has stopped reading because the caller is
// slow. A paused stream is not taken for a silent one.
func (m *Machine) Pause(now time.Time, paused bool) {
	if m.paused && !paused {
		m.since = now
	}
	m.paused = paused
}

// Delayed tells that the instance itself stood still for d, so that silence in
// that time says nothing of an engine or a replica.
func (m *Machine) Delayed(d time.Duration) {
	m.since = m.since.Add(d)
	m.replica.lastAck = m.replica.lastAck.Add(d)
}

// Fenced tells that another instance owns the generation now. Nothing is
// cancelled, since the new owner may go on with the same stream.
func (m *Machine) Fenced() []Action {
	if m.phase == ended || m.Whole() {
		return nil
	}
	m.engine, m.stream = "", ""
	return m.end(result.New(result.GenerationMoved, "another instance has taken the generation over").Ran(result.RunUnknown))
}

// CallerGone tells that the caller's connection was lost.
func (m *Machine) CallerGone(now time.Time) {
	if m.callerGone.IsZero() {
		m.callerGone = now
	}
}

// CallerBack tells that the caller is there again.
func (m *Machine) CallerBack() {
	m.callerGone = time.Time{}
}

// Cancel ends the answer on the caller's behalf.
func (m *Machine) Cancel() []Action {
	if m.Over() {
		return nil
	}
	acts := m.cancel()
	return append(acts, m.end(result.New(result.GenerationCancelled, "no caller came back for the answer").Ran(result.RunUnknown))...)
}

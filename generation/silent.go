package generation

import (
	"time"

	"crocuslug/ident"
)

// silentStream is the stream of an engine that did not answer a probe. The engine may have
// paused and go on with it, so it is cancelled only when another engine accepts the answer.
type silentStream struct {
	engine ident.Upstream
	stream string
}

// leaveSilent makes the current stream the silent one. A stream that the engine never
// accepted, or that it keeps open without tokens, is cancelled instead.
func (m *Machine) leaveSilent(c LossCause) []Action {
	if c != ResponseTimeout || m.phase != probing {
		return m.cancelStream()
	}
	m.silent = silentStream{m.engine, m.stream}
	return nil
}

// cancelSilent returns the action that cancels the silent stream, if there is one.
func (m *Machine) cancelSilent() []Action {
	if m.silent.engine == "" {
		return nil
	}
	act := Action{Kind: CancelStream, Upstream: m.silent.engine, Stream: m.silent.stream}
	m.silent = silentStream{}
	return []Action{act}
}

// resumeSilent asks again for the silent stream.
func (m *Machine) resumeSilent(now time.Time) []Action {
	m.engine, m.stream = m.silent.engine, m.silent.stream
	m.silent = silentStream{}
	m.wasSilent = true
	return m.probe(now)
}

// ResumableStream returns the engine and stream by which a new owner may go on: those of the
// current attempt, or the silent ones if there is no attempt, or empty strings.
func (m *Machine) ResumableStream() (ident.Upstream, string) {
	if m.engine == "" {
		return m.silent.engine, m.silent.stream
	}
	return m.engine, m.stream
}

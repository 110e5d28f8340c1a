package generation

import (
	"fmt"
	"testing"
	"time"

	"crocuslug/ident"
	"crocuslug/result"
)

// silentEngines runs a machine whose engines accept every stream but become silent.
type silentEngines struct {
	machine *Machine
	now     time.Time
	engines int // number chosen so far
	opened  int // streams that engines have accepted
	accepts bool
}

// perform answers choices of engines and accepts new streams while accepts is set.
func (s *silentEngines) perform(acts []Action) {
	for _, a := range acts {
		switch a.Kind {
		case ChooseEngine:
			s.engines++
			s.perform(s.machine.EngineChosen(s.now, ident.Upstream(fmt.Sprintf("e%d", s.engines))))
		case ChooseReplica:
			s.perform(s.machine.ReplicaChosen(s.now, ""))
		case StartStream:
			if s.accepts {
				s.opened++
				s.perform(s.machine.StreamOpened(s.now, a.Attempt))
			}
		}
	}
}

// tick lets time pass.
func (s *silentEngines) tick() {
	const step = 20 * time.Millisecond
	s.now = s.now.Add(step)
	s.perform(s.machine.Tick(s.now))
}

func newSilentEngines() *silentEngines {
	s := &silentEngines{machine: New(Settings{}, Spec{Generation: "g"}), now: time.Unix(1000, 0), accepts: true}
	s.perform(s.machine.Start(s.now))
	return s
}

// TestPausesDoNotEndAnswer guards against answers that end because their engines paused
// more often than MaxEngineFailures, though none of them failed.
func TestPausesDoNotEndAnswer(t *testing.T) {
	s := newSilentEngines()
	const pauses = 4 * defaultMaxEngineFailures
	for i := range pauses {
		m := s.machine
		s.perform(m.TokensReceived(s.now, m.Log().Attempt(), i, []string{"x"}))
		for opened := s.opened; opened == s.opened && !m.Closed(); {
			s.tick()
		}
		if r := m.Result(); r != nil {
			t.Fatalf("pause %d: got result %v, want none", i+1, r)
		}
	}
}

// TestSilentEnginesEndAnswer guards against answers that wait without end for engines that
// never answer, and against ones that end before ResumeTimeout.
func TestSilentEnginesEndAnswer(t *testing.T) {
	s := newSilentEngines()
	m := s.machine
	s.perform(m.TokensReceived(s.now, m.Log().Attempt(), 0, []string{"x"}))
	s.accepts = false
	lost := s.now
	for s.now.Sub(lost) < 2*defaultResumeTimeout && !m.Closed() {
		s.tick()
	}
	got, want := s.now.Sub(lost), defaultResumeTimeout
	if got < want || got > want+2*defaultConnectTimeout {
		t.Errorf("end after the last token: got %v, want %v to %v", got, want, want+2*defaultConnectTimeout)
	}
	if m.Result() == nil {
		t.Error("result: got none, want one")
	}
}

// kinds returns the kinds of actions in order.
func kinds(acts []Action) []Kind {
	var out []Kind
	for _, a := range acts {
		out = append(out, a.Kind)
	}
	return out
}

// newSilentStream returns a machine that has left engine e1 in silence and waits for the
// answer of e2.
func newSilentStream(t *testing.T) *silentEngines {
	s := newSilentEngines()
	s.perform(s.machine.TokensReceived(s.now, s.machine.Log().Attempt(), 0, []string{"x"}))
	s.accepts = false
	for s.engines < 2 {
		s.tick()
	}
	if u, _ := s.machine.Engine(); u != "e2" {
		t.Fatalf("engine after a silence: got %q, want e2", u)
	}
	return s
}

// TestSilentStreamResumed guards against answers that end because no other engine can
// continue them while their own engine only paused.
func TestSilentStreamResumed(t *testing.T) {
	s := newSilentStream(t)
	m := s.machine
	acts := m.StreamLost(s.now, m.Log().Attempt(), CannotContinue)
	if got, want := fmt.Sprint(kinds(acts)), fmt.Sprint([]Kind{ResumeStream}); got != want {
		t.Fatalf("actions: got %s, want %s", got, want)
	}
	if got, want := acts[0].Upstream, ident.Upstream("e1"); got != want {
		t.Errorf("resumed engine: got %q, want %q", got, want)
	}
	acts = m.StreamOpened(s.now, m.Log().Attempt())
	acts = append(acts, m.TokensReceived(s.now, m.Log().Attempt(), 1, []string{"y"})...)
	acts = append(acts, m.StreamFinished(s.now, m.Log().Attempt(), 2, "stop")...)
	if got, want := fmt.Sprint(kinds(acts)), fmt.Sprint([]Kind{Release, Release}); got != want || !m.Complete() {
		t.Errorf("answer: got actions %s and complete %t, want %s and true", got, m.Complete(), want)
	}
}

// TestSilentStreamCancelled guards against streams that two engines run for one answer: the
// silent one is cancelled as soon as another engine accepts the answer, and not before.
func TestSilentStreamCancelled(t *testing.T) {
	s := newSilentStream(t)
	acts := s.machine.StreamOpened(s.now, s.machine.Log().Attempt())
	if got, want := fmt.Sprint(kinds(acts)), fmt.Sprint([]Kind{CancelStream}); got != want || acts[0].Upstream != "e1" {
		t.Errorf("actions: got %v, want the stream on e1 cancelled", acts)
	}
}

// TestDroppedStreamNotReported guards against contents that are blamed for an engine which
// was silent and has dropped their stream in the meantime.
func TestDroppedStreamNotReported(t *testing.T) {
	for _, cause := range []LossCause{UnknownStream, ConnectionRefused, ConnectionReset} {
		s := newSilentStream(t)
		m := s.machine
		m.StreamLost(s.now, m.Log().Attempt(), CannotContinue)
		for _, a := range m.StreamLost(s.now, m.Log().Attempt(), cause) {
			if a.Kind == ReportFailure {
				t.Errorf("cause %d: got a report of the failure of %q, want none", cause, a.Upstream)
			}
		}
	}
}

// TestPauseBeforeStart guards against refusing a new answer because all engines paused for a
// moment while it was sent to them.
func TestPauseBeforeStart(t *testing.T) {
	const (
		engines     = 2
		dialTimeout = 250 * time.Millisecond
		pause       = 1500 * time.Millisecond
	)
	m := New(Settings{}, Spec{Generation: "g"})
	start := time.Unix(1000, 0)
	now := start
	acts := m.Start(now)
	for chosen := 0; now.Sub(start) < pause; {
		for len(acts) > 0 {
			a := acts[0]
			acts = acts[1:]
			switch a.Kind {
			case ChooseEngine:
				u := ident.Upstream(fmt.Sprintf("e%d", chosen%engines))
				chosen++
				acts = append(acts, m.EngineChosen(now, u)...)
			case StartStream:
				now = now.Add(dialTimeout)
				acts = append(acts, m.StreamLost(now, a.Attempt, ResponseTimeout)...)
			case End:
				t.Fatalf("end %v after the start: got %v, want none within %v", now.Sub(start), a.Result, pause)
			}
		}
		now = now.Add(20 * time.Millisecond)
		acts = m.Tick(now)
	}
}

// TestNoEngineResponds guards against new answers that are not refused while no engine
// responds.
func TestNoEngineResponds(t *testing.T) {
	s := newSilentEngines()
	s.machine, s.engines, s.accepts = New(Settings{}, Spec{Generation: "g"}), 0, false
	start := s.now
	s.perform(s.machine.Start(s.now))
	for s.now.Sub(start) < 2*defaultResumeTimeout && !s.machine.Closed() {
		s.tick()
	}
	if got, want := s.now.Sub(start), defaultResumeTimeout+2*defaultConnectTimeout; got > want {
		t.Errorf("end after the start: got %v, want at most %v", got, want)
	}
}

// TestSilentStartMayHaveRun guards against telling a caller that its request was not run,
// though engines that may have read it became silent.
func TestSilentStartMayHaveRun(t *testing.T) {
	m := New(Settings{}, Spec{Generation: "g"})
	now := time.Unix(1000, 0)
	acts := m.Start(now)
	for !m.Closed() {
		for _, a := range acts {
			if a.Kind == ChooseEngine {
				m.EngineChosen(now, "e1")
			}
		}
		now = now.Add(100 * time.Millisecond)
		acts = m.Tick(now)
	}
	if got, want := m.Result().Run, result.RunUnknown; got != want {
		t.Errorf("run of %v: got %s, want %s", m.Result(), got, want)
	}
}

// TestForgottenStreamAfterTakeover guards against blaming a content because the engine no
// longer has the stream that a former owner knew: that owner may have left it in silence and
// cancelled it.
func TestForgottenStreamAfterTakeover(t *testing.T) {
	m := Adopt(Settings{}, Spec{Generation: "g"}, AdoptedState{Upstream: "e1", Stream: "g-1", Tokens: []string{"x"}, Attempt: 1})
	now := time.Unix(1000, 0)
	m.Start(now)
	for _, a := range m.StreamLost(now, m.Log().Attempt(), UnknownStream) {
		if a.Kind == ReportFailure {
			t.Errorf("got a report of the failure of %q, want none", a.Upstream)
		}
	}
}

// TestInstanceStallDoesNotEndAnswer guards against counting the time in which this instance
// itself was stalled as silence of engines.
func TestInstanceStallDoesNotEndAnswer(t *testing.T) {
	s := newSilentStream(t)
	const stall = defaultResumeTimeout + time.Second
	s.now = s.now.Add(stall)
	s.machine.InstanceStalled(s.now, stall)
	for range 5 * defaultConnectTimeout / (20 * time.Millisecond) {
		s.tick()
	}
	if r := s.machine.Result(); r != nil {
		t.Errorf("result after a stall of %v: got %v, want none", stall, r)
	}
}

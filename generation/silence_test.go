package generation

import (
	"fmt"
	"testing"
	"time"

	"crocuslug/ident"
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
				s.machine.StreamOpened(s.now, a.Attempt)
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

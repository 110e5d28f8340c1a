package measuregeneration

import (
	"crocuslug/standinsite"
)

// fault injects a fault into a site in the given round. It returns a function that
// reports whether an answer at the given location is affected, and one that repairs
// what can be repaired.
type fault func(s *standinsite.Site, round int) (affected func(served location) bool, repair func() error)

// location is the engine and the instance that served an answer when the fault was injected.
type location struct {
	engine   int
	instance string
}

func killEngine(s *standinsite.Site, round int) (func(location) bool, func() error) {
	n := round % len(s.Engines)
	s.Engines[n].Kill()
	return affectsEngine(n), s.Engines[n].Restart
}

func freezeEngine(s *standinsite.Site, round int) (func(location) bool, func() error) {
	n := round % len(s.Engines)
	s.Engines[n].Freeze()
	return affectsEngine(n), func() error {
		s.Engines[n].Thaw()
		return nil
	}
}

func silenceEngine(s *standinsite.Site, round int) (func(location) bool, func() error) {
	n := round % len(s.Engines)
	s.Engines[n].Silence()
	return affectsEngine(n), func() error { return nil }
}

func killInstance(s *standinsite.Site, _ int) (func(location) bool, func() error) {
	address := s.Addresses()[0]
	s.KillInstance(address)
	return func(p location) bool { return p.instance == address }, s.AddInstance
}

func affectsEngine(n int) func(location) bool {
	return func(p location) bool { return p.engine == n }
}

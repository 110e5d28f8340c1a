package measuregeneration

import (
	"crocuslug/standinsite"
)

// fault disturbs a site in the round given. It returns a function that tells
// whether the answer to a request was struck, and one that heals what can be.
type fault func(s *standinsite.Site, round int) (struck func(serves placed) bool, heal func() error)

// placed tells where an answer was made when the fault came.
type placed struct {
	engine   int
	instance string
}

func killEngine(s *standinsite.Site, round int) (func(placed) bool, func() error) {
	n := round % len(s.Engines)
	s.Engines[n].Kill()
	return onEngine(n), s.Engines[n].Restart
}

func freezeEngine(s *standinsite.Site, round int) (func(placed) bool, func() error) {
	n := round % len(s.Engines)
	s.Engines[n].Freeze()
	return onEngine(n), func() error {
		s.Engines[n].Thaw()
		return nil
	}
}

func silenceEngine(s *standinsite.Site, round int) (func(placed) bool, func() error) {
	n := round % len(s.Engines)
	s.Engines[n].Silence()
	return onEngine(n), func() error { return nil }
}

func killInstance(s *standinsite.Site, _ int) (func(placed) bool, func() error) {
	address := s.Addresses()[0]
	s.KillInstance(address)
	return func(p placed) bool { return p.instance == address }, s.AddInstance
}

func onEngine(n int) func(placed) bool {
	return func(p placed) bool { return p.engine == n }
}

package standinsite

import (
	"slices"

	"crocuslug/ident"
	"crocuslug/standinengine"
)

// Placed returns the number of the engine that runs a request, or -1, and where
// the instance that owns it takes callers, or "".
func (s *Site) Placed(w ident.Workspace, r ident.Request) (engine int, address string) {
	i := s.owner(w, r)
	if i < 0 {
		return -1, ""
	}
	return slices.Index(s.Engines, s.Engine(w, r)), s.Instances[i].Addr()
}

// KillInstance ends the instance that takes callers at address, as a crash would.
func (s *Site) KillInstance(address string) bool {
	for i, d := range s.Instances {
		if d.Addr() != address {
			continue
		}
		s.mu.Lock()
		was := s.alive[i]
		s.alive[i] = false
		s.mu.Unlock()
		if was {
			d.Kill()
		}
		return was
	}
	return false
}

// owner returns the number of the live instance that owns a request, or -1.
func (s *Site) owner(w ident.Workspace, r ident.Request) int {
	for i, d := range s.Instances {
		s.mu.Lock()
		alive := s.alive[i]
		s.mu.Unlock()
		if !alive {
			continue
		}
		if _, ok := d.EngineOf(w, r); ok {
			return i
		}
	}
	return -1
}

// KillServing kills the engine that runs a request and reports whether there was one.
func (s *Site) KillServing(w ident.Workspace, r ident.Request) bool {
	e := s.Engine(w, r)
	if e == nil {
		return false
	}
	e.Kill()
	return true
}

// Engine returns the engine that runs a request, or nil.
func (s *Site) Engine(w ident.Workspace, r ident.Request) *standinengine.Engine {
	i := s.owner(w, r)
	if i < 0 {
		return nil
	}
	u, _ := s.Instances[i].EngineOf(w, r)
	for j, e := range s.Engines {
		if s.doc.Upstreams[j].Name == u {
			return e
		}
	}
	return nil
}

// KillOwner kills the instance that owns a request and reports whether there was one.
func (s *Site) KillOwner(w ident.Workspace, r ident.Request) bool {
	i := s.owner(w, r)
	if i < 0 {
		return false
	}
	return s.KillInstance(s.Instances[i].Addr())
}

// holder returns the number of a live instance that holds a copy of a request's
// generation without owning it, or -1.
func (s *Site) holder(w ident.Workspace, r ident.Request) int {
	owner := s.owner(w, r)
	for i, d := range s.Instances {
		s.mu.Lock()
		alive := s.alive[i]
		s.mu.Unlock()
		if alive && i != owner && d.HoldsCopy(w, r) {
			return i
		}
	}
	return -1
}

// StopInstance ends instance n as the end of a planned stop does.
func (s *Site) StopInstance(n int) {
	s.mu.Lock()
	was := s.alive[n]
	s.alive[n] = false
	s.mu.Unlock()
	if was {
		s.Instances[n].Stop()
	}
}

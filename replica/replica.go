// Package replica holds copies of generations that other instances own.
//
// The copy is what lets an answer go on when its owner is lost. It is also the
// fence: once another instance has taken a generation over here, what its former
// owner sends is refused, so that a paused owner that comes back cannot add to the answer.
package replica

import (
	"sync"
	"time"

	"crocuslug/batch"
	"crocuslug/ident"
	"crocuslug/tokenlog"
)

// Settings bound a Store. Zero values mean the defaults.
type Settings struct {
	Retention    time.Duration // how long a copy is kept after its last change
	DisableFence bool          // for tests that show what the fence prevents
}

// defaultRetention is the default of Settings.Retention.
const defaultRetention = 90 * time.Second

// Store holds copies. Its methods may be called from any goroutine.
type Store struct {
	cfg Settings

	mu     sync.Mutex
	copies map[ident.Generation]*copied
	byName map[Name]ident.Generation
}

// Name is a request within its workspace.
type Name struct {
	Workspace ident.Workspace
	Request   ident.Request
}

type copied struct {
	name     Name
	owner    ident.Instance
	origin   ident.Attempt // of the base that the tokens were added to
	log      tokenlog.Log
	spec     []byte
	upstream ident.Upstream
	stream   string
	touched  time.Time
}

// Snapshot is all that is held of a generation.
type Snapshot struct {
	Generation ident.Generation
	Owner      ident.Instance
	Attempt    ident.Attempt
	Spec       []byte
	Upstream   ident.Upstream
	Stream     string
	Tokens     []string
	Done       bool
	Finish     string
}

// New returns an empty store.
func New(cfg Settings) *Store {
	if cfg.Retention == 0 {
		cfg.Retention = defaultRetention
	}
	return &Store{
		cfg:    cfg,
		copies: make(map[ident.Generation]*copied),
		byName: make(map[Name]ident.Generation),
	}
}

// Append takes in what owner from sends, and returns the answer to it. Name is
// the request that the generation belongs to; it is used only with a base.
func (s *Store) Append(now time.Time, from ident.Instance, e batch.Append, name Name) batch.Ack {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, known := s.copies[e.Generation]
	ack := batch.Ack{Generation: e.Generation, Attempt: e.Attempt}
	if known && s.fenced(c, from, e.Attempt) {
		ack.Status = batch.Fenced
		return ack
	}
	if e.Base {
		c = &copied{name: name, spec: e.Spec, origin: e.Origin}
	} else if !known || e.Origin != c.origin {
		ack.Status = batch.Needs
		return ack
	}
	c.log.RaiseAttempt(e.Attempt)
	if !c.take(e) {
		ack.Status = batch.Needs
		return ack
	}
	if e.Base {
		s.drop(e.Generation) // its name may have been another one
		s.copies[e.Generation] = c
		s.byName[name] = e.Generation
	}
	c.owner, c.touched = from, now
	c.upstream, c.stream = e.Upstream, e.Stream
	ack.Upto = c.log.Position()
	return ack
}

// fenced reports whether what instance from sends of c is out of date. The
// owner may send; another instance only if it took the generation over later,
// from a holder other than this one.
func (s *Store) fenced(c *copied, from ident.Instance, a ident.Attempt) bool {
	if s.cfg.DisableFence {
		return false
	}
	if from == c.owner {
		return a < c.log.Attempt()
	}
	return a.Owner() <= c.log.Attempt().Owner()
}

func (c *copied) take(e batch.Append) bool {
	if len(e.Tokens) > 0 {
		switch c.log.Append(e.Attempt, e.From, e.Tokens) {
		case tokenlog.Appended, tokenlog.Duplicate:
		default:
			return false
		}
	}
	if !e.Done {
		return true
	}
	switch c.log.Finish(e.Attempt, e.From+len(e.Tokens), e.Finish) {
	case tokenlog.Appended, tokenlog.Duplicate:
		return true
	}
	return false
}

// Find returns the generation of a request.
func (s *Store) Find(n Name) (ident.Generation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.byName[n]
	return g, ok
}

// Look returns what is held of a generation without changing anything.
func (s *Store) Look(g ident.Generation) (Snapshot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.copies[g]
	if !ok {
		return Snapshot{}, false
	}
	return c.snapshot(g), true
}

// Take makes instance to the owner of a generation and returns what was held
// before; the new owner's attempts start at NextOwner of the snapshot's. What the former owner sends is refused from
// then on.
func (s *Store) Take(now time.Time, g ident.Generation, to ident.Instance) (Snapshot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.copies[g]
	if !ok {
		return Snapshot{}, false
	}
	snap := c.snapshot(g)
	c.owner, c.touched = to, now
	c.log.RaiseAttempt(c.log.Attempt().NextOwner())
	return snap, true
}

func (c *copied) snapshot(g ident.Generation) Snapshot {
	finish, done := c.log.Finished()
	return Snapshot{
		Generation: g,
		Owner:      c.owner,
		Attempt:    c.log.Attempt(),
		Spec:       c.spec,
		Upstream:   c.upstream,
		Stream:     c.stream,
		Tokens:     c.log.Tokens(0, c.log.Len()),
		Done:       done,
		Finish:     finish,
	}
}

// Drop forgets a generation.
func (s *Store) Drop(g ident.Generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(g)
}

func (s *Store) drop(g ident.Generation) {
	c, ok := s.copies[g]
	if !ok {
		return
	}
	delete(s.copies, g)
	if s.byName[c.name] == g {
		delete(s.byName, c.name)
	}
}

// Expire forgets the copies that have not changed within the retention.
func (s *Store) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for g, c := range s.copies {
		if now.Sub(c.touched) > s.cfg.Retention {
			s.drop(g)
		}
	}
}

// Usage returns the number of copies and the memory that their tokens take, in bytes.
func (s *Store) Usage() (copies, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.copies {
		size += c.log.Size() + len(c.spec)
	}
	return len(s.copies), size
}

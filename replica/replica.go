// Package replica stores copies of generations that other instances own.
//
// The copy allows another instance to continue an answer when its owner is lost.
// The store also fences former owners: once another instance has taken over a
// generation here, appends of its former owner are rejected, so that a paused
// owner that resumes cannot add to the answer.
package replica

import (
	"sync"
	"time"

	"crocuslug/batch"
	"crocuslug/ident"
	"crocuslug/tokenlog"
)

// Settings holds the limits of a Store. Zero values select the defaults.
type Settings struct {
	Retention      time.Duration // how long a copy is kept after its last change
	DisableFencing bool          // accepts appends of former owners; for tests that show what fencing prevents
}

// defaultRetention is the default of Settings.Retention.
const defaultRetention = 90 * time.Second

// Store stores copies of generations. It is safe for concurrent use.
type Store struct {
	cfg Settings

	mu        sync.Mutex
	copies    map[ident.Generation]*storedCopy
	byRequest map[RequestKey]ident.Generation
}

// RequestKey identifies a request within its workspace.
type RequestKey struct {
	Workspace ident.Workspace
	Request   ident.Request
}

// storedCopy is the copy of one generation.
type storedCopy struct {
	key         RequestKey
	owner       ident.Instance
	baseAttempt ident.Attempt // attempt of the base that the tokens were added to
	log         tokenlog.Log
	spec        []byte
	upstream    ident.Upstream
	stream      string
	changedAt   time.Time
}

// Snapshot is the stored state of a generation.
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
		cfg:       cfg,
		copies:    make(map[ident.Generation]*storedCopy),
		byRequest: make(map[RequestKey]ident.Generation),
	}
}

// Append stores tokens sent by owner from and returns the acknowledgement. Key is the
// request that the generation belongs to; it is used only with a base.
func (s *Store) Append(now time.Time, from ident.Instance, e batch.Append, key RequestKey) batch.Ack {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, known := s.copies[e.Generation]
	ack := batch.Ack{Generation: e.Generation, Attempt: e.Attempt}
	if known && s.fenced(c, from, e.Attempt) {
		ack.Status = batch.Fenced
		return ack
	}
	if e.Base {
		c = &storedCopy{key: key, spec: e.Spec, baseAttempt: e.Origin}
	} else if !known || e.Origin != c.baseAttempt {
		ack.Status = batch.Needs
		return ack
	}
	c.log.RaiseAttempt(e.Attempt)
	if !c.apply(e) {
		ack.Status = batch.Needs
		return ack
	}
	if e.Base {
		s.drop(e.Generation) // the old copy may have had another key
		s.copies[e.Generation] = c
		s.byRequest[key] = e.Generation
	}
	c.owner, c.changedAt = from, now
	c.upstream, c.stream = e.Upstream, e.Stream
	ack.Upto = c.log.Position()
	return ack
}

// fenced reports whether an append of instance from to c must be rejected as out of date.
// The owner may append. Another instance may append only if it became the owner later, by a
// takeover from another copy.
func (s *Store) fenced(c *storedCopy, from ident.Instance, a ident.Attempt) bool {
	if s.cfg.DisableFencing {
		return false
	}
	if from == c.owner {
		return a < c.log.Attempt()
	}
	return a.Owner() <= c.log.Attempt().Owner()
}

// apply adds the tokens and the end of e to the copy and reports whether they fit its
// content.
func (c *storedCopy) apply(e batch.Append) bool {
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

// Find returns the generation of a request and whether there is one.
func (s *Store) Find(key RequestKey) (ident.Generation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.byRequest[key]
	return g, ok
}

// Lookup returns the stored state of a generation and whether there is a copy.
func (s *Store) Lookup(g ident.Generation) (Snapshot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.copies[g]
	if !ok {
		return Snapshot{}, false
	}
	return c.snapshot(g), true
}

// TakeOver makes instance to the owner of a generation and returns the state before the
// change. The attempts of the new owner start at NextOwner of the attempt in the snapshot.
// Appends of the former owner are rejected from then on. It returns false if there is no
// copy.
func (s *Store) TakeOver(now time.Time, g ident.Generation, to ident.Instance) (Snapshot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.copies[g]
	if !ok {
		return Snapshot{}, false
	}
	snap := c.snapshot(g)
	c.owner, c.changedAt = to, now
	c.log.RaiseAttempt(c.log.Attempt().NextOwner())
	return snap, true
}

func (c *storedCopy) snapshot(g ident.Generation) Snapshot {
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

// Drop removes the copy of a generation.
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
	if s.byRequest[c.key] == g {
		delete(s.byRequest, c.key)
	}
}

// Expire removes the copies that have not changed within the retention period.
func (s *Store) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for g, c := range s.copies {
		if now.Sub(c.changedAt) > s.cfg.Retention {
			s.drop(g)
		}
	}
}

// Usage returns the number of copies and the memory of their tokens and specs, in bytes.
func (s *Store) Usage() (copies, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.copies {
		size += c.log.Size() + len(c.spec)
	}
	return len(s.copies), size
}

package claimstore

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"crocuslug/claim"
	"crocuslug/store"
)

// headPrefix and segmentPrefix are the keys of buckets in the service.
const (
	headPrefix    = "claims/"
	segmentPrefix = "claimsegments/"
)

// maxTries bounds the rounds of reading and writing in one commit.
const maxTries = 20

// shelf keeps one book in step with its records in the service.
type shelf struct {
	l        *Ledger
	number   int
	book     *claim.Book
	version  store.Version
	current  bool // the book is what the service held under version
	segments map[string][]claim.Entry
	written  uint64   // segments that this instance has named
	unsure   []string // segments written here that no written head may name
}

func newShelf(l *Ledger, n int) *shelf {
	return &shelf{l: l, number: n, book: claim.New(l.cfg.Claims), segments: make(map[string][]claim.Entry)}
}

func (s *shelf) key() string { return fmt.Sprintf("%s%04d", headPrefix, s.number) }

// commit applies a batch and writes the book. After any failed write it reads
// the head again and evaluates the batch anew: operations that were applied by
// a write whose answer was lost are then found by their claim ids.
func (s *shelf) commit(ctx context.Context, batch []*waiting) error {
	unknown := false
	var err error
	for range maxTries {
		err = s.try(ctx, batch)
		if err == nil {
			return nil
		}
		s.current = false
		unknown = unknown || store.Unknown.Has(err)
		if ctx.Err() != nil || store.Unavailable.Has(err) {
			break
		}
	}
	if unknown {
		return store.Unknown.New("claims of bucket %d: %v", s.number, err)
	}
	return store.Unavailable.New("claims of bucket %d: %v", s.number, err)
}

// try makes one round. A refusal is not given on a book that others may have
// changed meanwhile.
func (s *shelf) try(ctx context.Context, batch []*waiting) error {
	cached := s.current
	if err := s.load(ctx); err != nil {
		return err
	}
	now := s.l.timer.Now()
	refused := false
	for _, w := range batch {
		w.verdict = s.book.Apply(w.op, now)
		refused = refused || w.verdict.Err != nil
	}
	if !s.book.Changed() {
		s.current = !refused || !cached
		if s.current {
			return nil
		}
		return s.try(ctx, batch)
	}
	s.current = false
	read := func(name string) ([]claim.Entry, error) { return s.readSegment(ctx, name) }
	dropped, err := s.book.Spill(now, read, func(n uint64, es []claim.Entry) (string, error) {
		return s.writeSegment(ctx, n, es)
	})
	if err != nil {
		return err
	}
	if err := s.writeHead(ctx); err != nil {
		return err
	}
	s.drop(ctx, append(dropped, s.unnamed()...))
	return nil
}

func (s *shelf) writeHead(ctx context.Context) error {
	value, err := s.book.Head()
	if err != nil {
		return err
	}
	v, err := s.l.store.Put(ctx, s.key(), value, s.version, 0)
	if err != nil {
		return err
	}
	s.version = v
	s.current = true
	s.book.Written()
	return nil
}

// load reads the head unless the book is current.
func (s *shelf) load(ctx context.Context) error {
	if s.current {
		return nil
	}
	e, err := s.l.store.Get(ctx, s.key())
	if err != nil && !store.Absent.Has(err) {
		return err
	}
	read := func(name string) ([]claim.Entry, error) { return s.readSegment(ctx, name) }
	if err := s.book.Load(e.Value, s.l.timer.Now(), read); err != nil {
		return err
	}
	s.version = e.Version
	s.current = true
	return nil
}

func (s *shelf) readSegment(ctx context.Context, name string) ([]claim.Entry, error) {
	if es, ok := s.segments[name]; ok {
		return es, nil
	}
	e, err := s.l.store.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	var es []claim.Entry
	if err := json.Unmarshal(e.Value, &es); err != nil {
		return nil, err
	}
	s.segments[name] = es
	return es, nil
}

// writeSegment stores entries under a name that is never used twice.
func (s *shelf) writeSegment(ctx context.Context, n uint64, es []claim.Entry) (string, error) {
	s.written++
	name := fmt.Sprintf("%s%04d/%012d/%s-%d", segmentPrefix, s.number, n, s.l.self, s.written)
	value, err := json.Marshal(es)
	if err != nil {
		return "", err
	}
	s.unsure = append(s.unsure, name)
	if _, err := s.l.store.Put(ctx, name, value, 0, 0); err != nil {
		return "", err
	}
	s.segments[name] = append([]claim.Entry(nil), es...)
	return name, nil
}

// unnamed returns the segments written here that the present head does not
// name. No earlier head of this instance can still take effect.
func (s *shelf) unnamed() []string {
	named := s.book.Segments()
	var out []string
	for _, name := range s.unsure {
		if !slices.Contains(named, name) {
			out = append(out, name)
		}
	}
	s.unsure = nil
	return out
}

// drop removes segments that the head in the service no longer names.
func (s *shelf) drop(ctx context.Context, names []string) {
	for _, name := range names {
		delete(s.segments, name)
		e, err := s.l.store.Get(ctx, name)
		if err != nil {
			continue
		}
		// A segment that stays behind is waste and does no harm.
		_ = s.l.store.Delete(ctx, name, e.Version)
	}
}

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

// maxAttempts bounds the rounds of reading and writing in one commit.
const maxAttempts = 20

// bucketRecord keeps one book in step with its records in the service.
type bucketRecord struct {
	store        *Store
	index   int
	bucket     *claim.Bucket
	version  store.Version
	current  bool // the book is what the service held under version
	segments map[string][]claim.Entry
	segmentsNamed  uint64   // segments that this instance has named
	unconfirmed   []string // segments written here that no written head may name
}

func newBucketRecord(l *Store, n int) *bucketRecord {
	return &bucketRecord{store: l, index: n, bucket: claim.New(l.cfg.Claims), segments: make(map[string][]claim.Entry)}
}

func (s *bucketRecord) key() string { return fmt.Sprintf("%s%04d", headPrefix, s.index) }

// commit applies a batch and writes the book. After any failed write it reads
// the head again and evaluates the batch anew: operations that were applied by
// a write whose answer was lost are then found by their claim ids.
func (s *bucketRecord) commit(ctx context.Context, batch []*pendingOperation) error {
	unknown := false
	var err error
	for range maxAttempts {
		err = s.attempt(ctx, batch)
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
		return store.Unknown.New("claims of bucket %d: %v", s.index, err)
	}
	return store.Unavailable.New("claims of bucket %d: %v", s.index, err)
}

// attempt makes one round. A refusal is not given on a book that others may have
// changed meanwhile.
func (s *bucketRecord) attempt(ctx context.Context, batch []*pendingOperation) error {
	cached := s.current
	if err := s.load(ctx); err != nil {
		return err
	}
	now := s.store.timer.Now()
	refused := false
	for _, w := range batch {
		w.verdict = s.bucket.Apply(w.op, now)
		refused = refused || w.verdict.Err != nil
	}
	if !s.bucket.Changed() {
		s.current = !refused || !cached
		if s.current {
			return nil
		}
		return s.attempt(ctx, batch)
	}
	s.current = false
	read := func(name string) ([]claim.Entry, error) { return s.readSegment(ctx, name) }
	dropped, err := s.bucket.Flush(now, read, func(n uint64, es []claim.Entry) (string, error) {
		return s.writeSegment(ctx, n, es)
	})
	if err != nil {
		return err
	}
	if err := s.writeHead(ctx); err != nil {
		return err
	}
	s.deleteSegments(ctx, append(dropped, s.unreferenced()...))
	return nil
}

func (s *bucketRecord) writeHead(ctx context.Context) error {
	value, err := s.bucket.Head()
	if err != nil {
		return err
	}
	v, err := s.store.kv.Put(ctx, s.key(), value, s.version, 0)
	if err != nil {
		return err
	}
	s.version = v
	s.current = true
	s.bucket.MarkWritten()
	return nil
}

// load reads the head unless the book is current.
func (s *bucketRecord) load(ctx context.Context) error {
	if s.current {
		return nil
	}
	e, err := s.store.kv.Get(ctx, s.key())
	if err != nil && !store.Absent.Has(err) {
		return err
	}
	read := func(name string) ([]claim.Entry, error) { return s.readSegment(ctx, name) }
	if err := s.bucket.Load(e.Value, s.store.timer.Now(), read); err != nil {
		return err
	}
	s.version = e.Version
	s.current = true
	return nil
}

func (s *bucketRecord) readSegment(ctx context.Context, name string) ([]claim.Entry, error) {
	if es, ok := s.segments[name]; ok {
		return es, nil
	}
	e, err := s.store.kv.Get(ctx, name)
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
func (s *bucketRecord) writeSegment(ctx context.Context, n uint64, es []claim.Entry) (string, error) {
	s.segmentsNamed++
	name := fmt.Sprintf("%s%04d/%012d/%s-%d", segmentPrefix, s.index, n, s.store.self, s.segmentsNamed)
	value, err := json.Marshal(es)
	if err != nil {
		return "", err
	}
	s.unconfirmed = append(s.unconfirmed, name)
	if _, err := s.store.kv.Put(ctx, name, value, 0, 0); err != nil {
		return "", err
	}
	s.segments[name] = append([]claim.Entry(nil), es...)
	return name, nil
}

// unreferenced returns the segments written here that the present head does not
// name. No earlier head of this instance can still take effect.
func (s *bucketRecord) unreferenced() []string {
	named := s.bucket.Segments()
	var out []string
	for _, name := range s.unconfirmed {
		if !slices.Contains(named, name) {
			out = append(out, name)
		}
	}
	s.unconfirmed = nil
	return out
}

// deleteSegments removes segments that the head in the service no longer names.
func (s *bucketRecord) deleteSegments(ctx context.Context, names []string) {
	for _, name := range names {
		delete(s.segments, name)
		e, err := s.store.kv.Get(ctx, name)
		if err != nil {
			continue
		}
		// A segment that stays behind is waste and does no harm.
		_ = s.store.kv.Delete(ctx, name, e.Version)
	}
}

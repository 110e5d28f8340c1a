package claimstore

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"crocuslug/claim"
	"crocuslug/store"
)

// Prefixes of the keys of heads and segments in the key-value service.
const (
	headPrefix    = "claims/"
	segmentPrefix = "claimsegments/"
)

// maxAttempts bounds the rounds of reading and writing in one commit.
const maxAttempts = 20

// bucketRecord keeps one bucket in memory consistent with its records in the
// key-value service.
type bucketRecord struct {
	store         *Store
	index         int
	bucket        *claim.Bucket
	version       store.Version
	current       bool // the bucket matches the head that was stored with version
	segments      map[string][]claim.Entry
	segmentsNamed uint64   // segment names that this instance has used
	unconfirmed   []string // segments written here to which possibly no stored head refers
}

func newBucketRecord(s *Store, n int) *bucketRecord {
	return &bucketRecord{store: s, index: n, bucket: claim.New(s.cfg.Claims), segments: make(map[string][]claim.Entry)}
}

func (r *bucketRecord) key() string { return fmt.Sprintf("%s%04d", headPrefix, r.index) }

// commit applies a batch and writes the bucket. After a failed write it reads
// the head again and evaluates the batch once more. If a write whose answer was
// lost has applied the operations, they are recognized by their claim IDs.
func (r *bucketRecord) commit(ctx context.Context, batch []*pendingOperation) error {
	unknown := false
	var err error
	for range maxAttempts {
		err = r.attempt(ctx, batch)
		if err == nil {
			return nil
		}
		r.current = false
		unknown = unknown || store.Unknown.Has(err)
		if ctx.Err() != nil || store.Unavailable.Has(err) {
			break
		}
	}
	if unknown {
		return store.Unknown.New("claims of bucket %d: %v", r.index, err)
	}
	return store.Unavailable.New("claims of bucket %d: %v", r.index, err)
}

// attempt applies and writes the batch once. If an operation is refused on a
// copy from an earlier round, which another instance may have changed meanwhile,
// the head is read again before the refusal is returned.
func (r *bucketRecord) attempt(ctx context.Context, batch []*pendingOperation) error {
	wasCurrent := r.current
	if err := r.load(ctx); err != nil {
		return err
	}
	now := r.store.timer.Now()
	refused := false
	for _, p := range batch {
		p.decision = r.bucket.Apply(p.op, now)
		refused = refused || p.decision.Err != nil
	}
	if !r.bucket.Changed() {
		r.current = !refused || !wasCurrent
		if r.current {
			return nil
		}
		return r.attempt(ctx, batch)
	}
	r.current = false
	read := func(name string) ([]claim.Entry, error) { return r.readSegment(ctx, name) }
	dropped, err := r.bucket.Flush(now, read, func(n uint64, es []claim.Entry) (string, error) {
		return r.writeSegment(ctx, n, es)
	})
	if err != nil {
		return err
	}
	if err := r.writeHead(ctx); err != nil {
		return err
	}
	r.deleteSegments(ctx, append(dropped, r.unreferenced()...))
	return nil
}

func (r *bucketRecord) writeHead(ctx context.Context) error {
	value, err := r.bucket.Head()
	if err != nil {
		return err
	}
	v, err := r.store.kv.Put(ctx, r.key(), value, r.version, 0)
	if err != nil {
		return err
	}
	r.version = v
	r.current = true
	r.bucket.MarkWritten()
	return nil
}

// load reads the head unless the bucket in memory is current.
func (r *bucketRecord) load(ctx context.Context) error {
	if r.current {
		return nil
	}
	e, err := r.store.kv.Get(ctx, r.key())
	if err != nil && !store.Absent.Has(err) {
		return err
	}
	read := func(name string) ([]claim.Entry, error) { return r.readSegment(ctx, name) }
	if err := r.bucket.Load(e.Value, r.store.timer.Now(), read); err != nil {
		return err
	}
	r.version = e.Version
	r.current = true
	return nil
}

func (r *bucketRecord) readSegment(ctx context.Context, name string) ([]claim.Entry, error) {
	if es, ok := r.segments[name]; ok {
		return es, nil
	}
	e, err := r.store.kv.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	var es []claim.Entry
	if err := json.Unmarshal(e.Value, &es); err != nil {
		return nil, err
	}
	r.segments[name] = es
	return es, nil
}

// writeSegment stores entries under a name that is never reused, and returns it.
func (r *bucketRecord) writeSegment(ctx context.Context, n uint64, es []claim.Entry) (string, error) {
	r.segmentsNamed++
	name := fmt.Sprintf("%s%04d/%012d/%s-%d", segmentPrefix, r.index, n, r.store.self, r.segmentsNamed)
	value, err := json.Marshal(es)
	if err != nil {
		return "", err
	}
	r.unconfirmed = append(r.unconfirmed, name)
	if _, err := r.store.kv.Put(ctx, name, value, 0, 0); err != nil {
		return "", err
	}
	r.segments[name] = append([]claim.Entry(nil), es...)
	return name, nil
}

// unreferenced returns the segments written here that the current head does not
// refer to. They can be deleted, since no earlier head of this instance can
// still be written.
func (r *bucketRecord) unreferenced() []string {
	named := r.bucket.Segments()
	var out []string
	for _, name := range r.unconfirmed {
		if !slices.Contains(named, name) {
			out = append(out, name)
		}
	}
	r.unconfirmed = nil
	return out
}

// deleteSegments deletes segments that the stored head no longer refers to.
func (r *bucketRecord) deleteSegments(ctx context.Context, names []string) {
	for _, name := range names {
		delete(r.segments, name)
		e, err := r.store.kv.Get(ctx, name)
		if err != nil {
			continue
		}
		// If deletion fails the segment wastes space but does no harm.
		_ = r.store.kv.Delete(ctx, name, e.Version)
	}
}

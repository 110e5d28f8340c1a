// Package revision keeps accepted configurations in the platform's key-value
// service.
//
// A change is accepted by one compare-and-swap of a head record that is still at
// the revision on which the plan is based. Everything that the head refers to
// has been written before, under keys that no other change uses. A document is
// split into chunks by the names of its parts, since it may be larger than a
// value may be. A change writes only the chunks that differ and reuses the
// others from its base.
//
// The answer of a write may be lost. The head is then read again. If it names
// the change, the change was accepted. If it is at a later revision, the records
// show which change was accepted as the revision in question. If it is
// unmodified, the same compare-and-swap is tried again. Two attempts of the same
// change cannot both take effect, since both expect the same version of the
// head. If the outcome cannot be determined, ConfirmUnknown is returned.
package revision

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/plan"
	"crocuslug/result"
	"crocuslug/store"
)

// Settings are the settings of a Store. The zero value selects the defaults.
type Settings struct {
	KeyPrefix     string // prefix of all keys; "" means "configuration/"
	KeepRevisions int    // number of revisions that can be rolled back to; 0 means 500
	ChunkBytes    int    // intended size of a chunk; 0 means 64 KiB
	MaxAttempts   int    // attempts of one confirmation or write; 0 means 3
}

// Defaults of Settings.
const (
	defaultKeyPrefix     = "configuration/"
	defaultKeepRevisions = 500
	defaultChunkBytes    = 64 << 10
	defaultMaxAttempts   = 3
)

// retryAfter is the delay after which an operator may retry when the outcome is
// unknown or the service is unavailable.
const retryAfter = time.Second

// Record describes one change. It is accepted once the head names it.
type Record struct {
	Revision    ident.Revision
	Change      plan.ID
	Author      string // operator who asked for the plan
	ConfirmedBy string
	Note        string `json:",omitempty"`
	Time        time.Time
	Changes     int      // number of differences from the previous revision
	Digest      string   // digest of the document
	Previous    string   `json:",omitempty"` // key of the record of the previous revision
	Chunks      []string // keys of the document's chunks
}

// Store reads the accepted revisions and adds new ones. Its methods may be called
// from any goroutine.
type Store struct {
	kv  store.Store
	now func() time.Time
	cfg Settings

	mu             sync.Mutex
	cache          map[string]configuration.Document // chunks of the newest document loaded
	cachedRevision ident.Revision
}

// New returns a Store that keeps its records in kv. The time of a change is read
// from now.
func New(kv store.Store, now func() time.Time, cfg Settings) *Store {
	if cfg.KeyPrefix == "" {
		cfg.KeyPrefix = defaultKeyPrefix
	}
	if cfg.KeepRevisions <= 0 {
		cfg.KeepRevisions = defaultKeepRevisions
	}
	if cfg.ChunkBytes <= 0 {
		cfg.ChunkBytes = defaultChunkBytes
	}
	if cfg.MaxAttempts <= 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	return &Store{kv: kv, now: now, cfg: cfg, cache: make(map[string]configuration.Document)}
}

// HeadKey returns the key of the head record, to be watched for new revisions.
func (s *Store) HeadKey() string {
	return s.cfg.KeyPrefix + "head"
}

// Head returns the record of the newest revision. Its revision is 0 if there is
// none yet. Head returns PlatformUnavailable if the service does not answer.
func (s *Store) Head(ctx context.Context) (Record, *result.Error) {
	rec, _, err := s.head(ctx)
	if err != nil {
		return Record{}, unavailable(err)
	}
	return rec, nil
}

// NewestDocument returns the document of the newest revision. It returns
// PlatformUnavailable if the service does not answer.
func (s *Store) NewestDocument(ctx context.Context) (configuration.Document, *result.Error) {
	rec, err := s.Head(ctx)
	if err != nil {
		return configuration.Document{}, err
	}
	return s.Load(ctx, rec)
}

// Confirm makes p the next revision and returns its record. If p was confirmed
// before, Confirm returns the record of that change. It returns PlanStale if
// another change was accepted on the base of p, PlanDigest or IntentInvalid if p
// is refused, and ConfirmUnknown if the outcome cannot be determined.
func (s *Store) Confirm(ctx context.Context, p plan.Plan, confirmedBy string) (Record, *result.Error) {
	if err := p.Verify(); err != nil {
		return Record{}, err
	}
	lastError := "the platform's service does not answer"
	for range s.cfg.MaxAttempts {
		rec, refused, err := s.attempt(ctx, p, confirmedBy)
		if refused != nil {
			return Record{}, refused
		}
		if err == nil {
			return rec, nil
		}
		lastError = err.Error()
	}
	return Record{}, result.Newf(result.ConfirmUnknown,
		"change %s: %s; confirm again with the same plan", p.ID, lastError).After(retryAfter).Ran(result.RunUnknown)
}

// attempt tries once to confirm p. It returns a result.Error only if the change
// has not taken effect and never will, and a plain error if the outcome is open.
func (s *Store) attempt(ctx context.Context, p plan.Plan, confirmedBy string) (Record, *result.Error, error) {
	head, version, err := s.head(ctx)
	if err != nil {
		return Record{}, nil, err
	}
	if head.Revision > p.BaseRevision {
		return s.confirmOutcome(ctx, p, head)
	}
	if head.Revision < p.BaseRevision {
		return Record{}, nil, store.Unknown.New("the service returned revision %d, which is older than the base of the plan", head.Revision)
	}
	base, err := s.load(ctx, head)
	if err != nil {
		return Record{}, nil, err
	}
	doc, refused := p.Document(base)
	if refused != nil {
		return Record{}, refused, nil
	}
	rec, err := s.writeRevision(ctx, p, confirmedBy, head, doc)
	if err != nil {
		return Record{}, nil, err
	}
	if err := s.swapHead(ctx, rec, version); err != nil {
		return Record{}, nil, err
	}
	return rec, nil, nil
}

// confirmOutcome returns the outcome of p when the head is above the base of p:
// the record of p if p was accepted as the revision after its base, and PlanStale
// if another change was.
func (s *Store) confirmOutcome(ctx context.Context, p plan.Plan, head Record) (Record, *result.Error, error) {
	rev := p.BaseRevision + 1
	ownKey := s.recordKey(rev, p.ID)
	accepted := s.recordKey(head.Revision, head.Change)
	if head.Revision > rev {
		var err error
		accepted, err = s.acceptedKey(ctx, rev, head)
		if err != nil {
			return Record{}, nil, err
		}
	}
	if accepted != ownKey {
		return Record{}, result.Newf(result.PlanStale,
			"the plan is based on revision %d, but revision %d by %s is in force", p.BaseRevision, head.Revision, head.Author), nil
	}
	if head.Revision == rev {
		return head, nil, nil
	}
	rec, err := s.record(ctx, ownKey)
	return rec, nil, err
}

// acceptedKey returns the key of the accepted record of rev, which must be below
// the head. Every record of the next revision contains this key, whether it was
// accepted or not, since it was written after the head was read at rev.
func (s *Store) acceptedKey(ctx context.Context, rev ident.Revision, head Record) (string, error) {
	if head.Revision == rev+1 {
		return head.Previous, nil
	}
	entries, err := s.kv.List(ctx, s.recordPrefix(rev+1))
	if err != nil {
		return "", err
	}
	for _, e := range entries {
		var rec Record
		if err := json.Unmarshal(e.Value, &rec); err == nil {
			return rec.Previous, nil
		}
	}
	return "", store.Unknown.New("the history no longer contains revision %d", rev)
}

// writeRevision writes the chunks and the record that the head will refer to.
func (s *Store) writeRevision(ctx context.Context, p plan.Plan, confirmedBy string, head Record, doc configuration.Document) (Record, error) {
	chunks, err := splitDocument(doc, s.cfg.ChunkBytes)
	if err != nil {
		return Record{}, err
	}
	inherited := make(map[string]string, len(head.Chunks))
	for _, key := range head.Chunks {
		inherited[keyDigest(key)] = key
	}
	rec := Record{
		Revision: doc.Revision, Change: p.ID, Author: p.Author, ConfirmedBy: confirmedBy,
		Note: p.Intent.Note, Time: s.now().UTC(), Changes: len(p.Changes), Digest: configuration.Digest(doc),
	}
	if head.Revision > 0 {
		rec.Previous = s.recordKey(head.Revision, head.Change)
	}
	for _, body := range chunks {
		key, ok := inherited[bodyDigest(body)]
		if !ok {
			key = s.chunkKey(doc.Revision, p.ID, body)
			if err := s.createIfAbsent(ctx, key, body); err != nil {
				return Record{}, err
			}
		}
		rec.Chunks = append(rec.Chunks, key)
	}
	return s.createRecord(ctx, rec)
}

// createRecord writes rec and returns it. If an earlier attempt of the same
// change has written a record, that one is returned.
func (s *Store) createRecord(ctx context.Context, rec Record) (Record, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return Record{}, err
	}
	key := s.recordKey(rec.Revision, rec.Change)
	if err := s.createIfAbsent(ctx, key, body); err != nil {
		return Record{}, err
	}
	return s.record(ctx, key)
}

// createIfAbsent writes body under key unless the key exists. A value that exists
// already is equivalent, since keys are derived from the content.
func (s *Store) createIfAbsent(ctx context.Context, key string, body []byte) error {
	var err error
	for range s.cfg.MaxAttempts {
		_, err = s.kv.Put(ctx, key, body, 0, 0)
		if err == nil || store.Conflict.Has(err) {
			return nil
		}
	}
	return err
}

// swapHead replaces the head, if it still has the given version, by rec.
func (s *Store) swapHead(ctx context.Context, rec Record, version store.Version) error {
	body, err := json.Marshal(rec)
	if err != nil {
		return err
	}
	_, err = s.kv.Put(ctx, s.HeadKey(), body, version, 0)
	return err
}

// head returns the head record and its version, or zero values if there is none.
func (s *Store) head(ctx context.Context) (Record, store.Version, error) {
	e, err := s.kv.Get(ctx, s.HeadKey())
	if store.Absent.Has(err) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, err
	}
	var rec Record
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		return Record{}, 0, err
	}
	return rec, e.Version, nil
}

func (s *Store) record(ctx context.Context, key string) (Record, error) {
	var rec Record
	e, err := s.kv.Get(ctx, key)
	if err != nil {
		return rec, err
	}
	return rec, json.Unmarshal(e.Value, &rec)
}

func (s *Store) recordPrefix(rev ident.Revision) string {
	return fmt.Sprintf("%srecord/%020d-", s.cfg.KeyPrefix, rev)
}

func (s *Store) recordKey(rev ident.Revision, id plan.ID) string {
	return s.recordPrefix(rev) + string(id)
}

func (s *Store) chunkPrefix(rev ident.Revision) string {
	return fmt.Sprintf("%schunk/%020d-", s.cfg.KeyPrefix, rev)
}

func (s *Store) chunkKey(rev ident.Revision, id plan.ID, body []byte) string {
	return s.chunkPrefix(rev) + string(id) + "-" + bodyDigest(body)
}

func unavailable(err error) *result.Error {
	return result.New(result.PlatformUnavailable, err.Error()).After(retryAfter)
}

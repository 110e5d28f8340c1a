package revision

import (
	"context"
	"encoding/json"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/store"
)

// Limits of reads of the history.
const (
	maxListed    = 200 // records that one List returns
	maxReclaimed = 64  // revisions that one Reclaim deletes
)

// List returns the records of the newest n revisions, newest first, at most
// 200. It returns PlatformUnavailable if the service does not answer.
func (s *Store) List(ctx context.Context, n int) ([]Record, *result.Error) {
	head, _, err := s.head(ctx)
	if err != nil {
		return nil, unavailable(err)
	}
	list := []Record{}
	for rec := head; rec.Revision > 0 && len(list) < min(n, maxListed); {
		list = append(list, rec)
		if rec.Previous == "" {
			break
		}
		rec, err = s.record(ctx, rec.Previous)
		if store.Absent.Has(err) {
			break
		}
		if err != nil {
			return nil, unavailable(err)
		}
	}
	return list, nil
}

// DocumentAt returns the document of an accepted revision. It returns NotFound if
// the history does not contain it, and PlatformUnavailable if the service does
// not answer.
func (s *Store) DocumentAt(ctx context.Context, rev ident.Revision) (configuration.Document, *result.Error) {
	head, _, err := s.head(ctx)
	if err != nil {
		return configuration.Document{}, unavailable(err)
	}
	if rev > head.Revision || rev == 0 {
		return configuration.Document{}, notFound(rev)
	}
	rec := head
	if rev < head.Revision {
		rec, err = s.accepted(ctx, rev, head)
	}
	var doc configuration.Document
	if err == nil {
		doc, err = s.load(ctx, rec)
	}
	if store.Absent.Has(err) || store.Unknown.Has(err) {
		return configuration.Document{}, notFound(rev)
	}
	if err != nil {
		return configuration.Document{}, unavailable(err)
	}
	return doc, nil
}

func notFound(rev ident.Revision) *result.Error {
	return result.Newf(result.NotFound, "the history has no revision %d", rev)
}

// accepted returns the accepted record of rev, which must be below the head.
func (s *Store) accepted(ctx context.Context, rev ident.Revision, head Record) (Record, error) {
	key, err := s.acceptedKey(ctx, rev, head)
	if err != nil {
		return Record{}, err
	}
	return s.record(ctx, key)
}

// Reclaim deletes the records and chunks that no kept revision needs: those of
// revisions that are too old, and those of changes that were not accepted as one
// of these revisions. The argument head is the record that a confirmation has
// just returned. Reclaim is safe while a change is in progress, since a change
// reuses only chunks of the head, and does not take effect if the head has
// changed meanwhile.
func (s *Store) Reclaim(ctx context.Context, head Record) error {
	if head.Revision <= ident.Revision(s.cfg.KeepRevisions) {
		return nil
	}
	oldest := head.Revision - ident.Revision(s.cfg.KeepRevisions) + 1
	kept := head
	if oldest < head.Revision {
		var err error
		kept, err = s.accepted(ctx, oldest, head)
		if err != nil {
			return err
		}
	}
	needed := make(map[string]bool, len(kept.Chunks))
	for _, key := range kept.Chunks {
		needed[key] = true
	}
	outdated := s.olderRecords(ctx, kept)
	for i := len(outdated) - 1; i >= 0; i-- {
		if err := s.deleteRevision(ctx, outdated[i], needed); err != nil {
			return err
		}
	}
	return nil
}

// olderRecords returns the records before rec that still exist, newest first, at
// most maxReclaimed.
func (s *Store) olderRecords(ctx context.Context, rec Record) []Record {
	var list []Record
	for rec.Previous != "" && len(list) < maxReclaimed {
		previous, err := s.record(ctx, rec.Previous)
		if err != nil {
			break
		}
		list = append(list, previous)
		rec = previous
	}
	return list
}

// deleteRevision deletes the chunks that rec refers to or that were written for
// its revision, except those that are needed, and then all records of its
// revision.
func (s *Store) deleteRevision(ctx context.Context, rec Record, needed map[string]bool) error {
	chunks, err := s.kv.List(ctx, s.chunkPrefix(rec.Revision))
	if err != nil {
		return err
	}
	for _, e := range chunks {
		if err := s.deleteChunk(ctx, e, needed); err != nil {
			return err
		}
	}
	for _, key := range rec.Chunks {
		if needed[key] {
			continue
		}
		e, err := s.kv.Get(ctx, key)
		if store.Absent.Has(err) {
			continue
		}
		if err != nil {
			return err
		}
		if err := s.deleteChunk(ctx, e, needed); err != nil {
			return err
		}
	}
	return s.deleteRecords(ctx, rec.Revision)
}

func (s *Store) deleteRecords(ctx context.Context, rev ident.Revision) error {
	entries, err := s.kv.List(ctx, s.recordPrefix(rev))
	if err != nil {
		return err
	}
	for _, e := range entries {
		var rec Record
		if err := json.Unmarshal(e.Value, &rec); err != nil {
			return err
		}
		if err := s.kv.Delete(ctx, e.Key, e.Version); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) deleteChunk(ctx context.Context, e store.Entry, needed map[string]bool) error {
	if needed[e.Key] {
		return nil
	}
	err := s.kv.Delete(ctx, e.Key, e.Version)
	if store.Absent.Has(err) || store.Conflict.Has(err) {
		return nil
	}
	return err
}

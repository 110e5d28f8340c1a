package revision

import (
	"context"
	"encoding/json"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/store"
)

// Bounds of reads of the history.
const (
	maxListed    = 200 // records of one listing
	maxReclaimed = 64  // revisions that one Reclaim looks back
)

// List returns the records of the newest n revisions, newest first, at most
// 200. It returns PlatformUnavailable if the service does not answer.
func (l *Ledger) List(ctx context.Context, n int) ([]Record, *result.Error) {
	head, _, err := l.head(ctx)
	if err != nil {
		return nil, unavailable(err)
	}
	list := []Record{}
	for rec := head; rec.Revision > 0 && len(list) < min(n, maxListed); {
		list = append(list, rec)
		if rec.Previous == "" {
			break
		}
		rec, err = l.record(ctx, rec.Previous)
		if store.Absent.Has(err) {
			break
		}
		if err != nil {
			return nil, unavailable(err)
		}
	}
	return list, nil
}

// At returns the document of an accepted revision. It returns NotFound if the
// history lacks it, and PlatformUnavailable.
func (l *Ledger) At(ctx context.Context, rev ident.Revision) (configuration.Document, *result.Error) {
	head, _, err := l.head(ctx)
	if err != nil {
		return configuration.Document{}, unavailable(err)
	}
	if rev > head.Revision || rev == 0 {
		return configuration.Document{}, missing(rev)
	}
	rec := head
	if rev < head.Revision {
		rec, err = l.accepted(ctx, rev, head)
	}
	var doc configuration.Document
	if err == nil {
		doc, err = l.load(ctx, rec)
	}
	if store.Absent.Has(err) || store.Unknown.Has(err) {
		return configuration.Document{}, missing(rev)
	}
	if err != nil {
		return configuration.Document{}, unavailable(err)
	}
	return doc, nil
}

func missing(rev ident.Revision) *result.Error {
	return result.Newf(result.NotFound, "the history has no revision %d", rev)
}

// accepted returns the accepted record of rev, which is below the head.
func (l *Ledger) accepted(ctx context.Context, rev ident.Revision, head Record) (Record, error) {
	key, err := l.winner(ctx, rev, head)
	if err != nil {
		return Record{}, err
	}
	return l.record(ctx, key)
}

// Reclaim deletes what no kept revision needs: records and chunks of revisions
// that are too old, and those of changes that lost their race for one of these.
// head is the record that a confirmation has just returned. A change in
// progress is safe: it inherits chunks of the head only, and takes no effect
// once the head has moved on.
func (l *Ledger) Reclaim(ctx context.Context, head Record) error {
	if head.Revision <= ident.Revision(l.cfg.Keep) {
		return nil
	}
	oldest := head.Revision - ident.Revision(l.cfg.Keep) + 1
	kept := head
	if oldest < head.Revision {
		var err error
		kept, err = l.accepted(ctx, oldest, head)
		if err != nil {
			return err
		}
	}
	needed := make(map[string]bool, len(kept.Chunks))
	for _, key := range kept.Chunks {
		needed[key] = true
	}
	dropped := l.older(ctx, kept)
	for i := len(dropped) - 1; i >= 0; i-- {
		if err := l.drop(ctx, dropped[i], needed); err != nil {
			return err
		}
	}
	return nil
}

// older returns the records before rec that still exist, newest first.
func (l *Ledger) older(ctx context.Context, rec Record) []Record {
	var list []Record
	for rec.Previous != "" && len(list) < maxReclaimed {
		previous, err := l.record(ctx, rec.Previous)
		if err != nil {
			break
		}
		list = append(list, previous)
		rec = previous
	}
	return list
}

// drop deletes the chunks that rec names or that were written for its revision,
// but for those needed, and then the records of its revision.
func (l *Ledger) drop(ctx context.Context, rec Record, needed map[string]bool) error {
	losers, err := l.store.List(ctx, l.chunkPrefix(rec.Revision))
	if err != nil {
		return err
	}
	for _, e := range losers {
		if err := l.deleteChunk(ctx, e, needed); err != nil {
			return err
		}
	}
	for _, key := range rec.Chunks {
		if needed[key] {
			continue
		}
		e, err := l.store.Get(ctx, key)
		if store.Absent.Has(err) {
			continue
		}
		if err != nil {
			return err
		}
		if err := l.deleteChunk(ctx, e, needed); err != nil {
			return err
		}
	}
	return l.dropRecords(ctx, rec.Revision)
}

func (l *Ledger) dropRecords(ctx context.Context, rev ident.Revision) error {
	entries, err := l.store.List(ctx, l.recordPrefix(rev))
	if err != nil {
		return err
	}
	for _, e := range entries {
		var rec Record
		if err := json.Unmarshal(e.Value, &rec); err != nil {
			return err
		}
		if err := l.store.Delete(ctx, e.Key, e.Version); err != nil {
			return err
		}
	}
	return nil
}

func (l *Ledger) deleteChunk(ctx context.Context, e store.Entry, needed map[string]bool) error {
	if needed[e.Key] {
		return nil
	}
	err := l.store.Delete(ctx, e.Key, e.Version)
	if store.Absent.Has(err) || store.Conflict.Has(err) {
		return nil
	}
	return err
}

package keyvalue

import (
	"context"
	"testing"
	"time"

	"crocuslug/store"
)

// TestRestoredService guards against the use of versions and leases from before the service was
// restored from an older copy, though it gives their numbers out again.
func TestRestoredService(t *testing.T) {
	r := newFixture(t, Settings{})
	ctx := context.Background()
	put := func(key, value string, expect store.Version, l store.Lease) store.Version {
		t.Helper()
		v, err := r.c.Put(ctx, key, []byte(value), expect, l)
		if err != nil {
			t.Fatalf("put %s: %v", key, err)
		}
		return v
	}
	put("a", "1", 0, 0)
	older := r.store.Copy()
	before := put("b", "1", 0, 0)
	lease, err := r.c.Grant(ctx, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	r.store.Restore(older)
	// Another client writes: the store gives out the same revision and lease again.
	if _, err := r.store.Put(ctx, "b", []byte("other"), 0, 0); err != nil {
		t.Fatal(err)
	}
	if again, err := r.store.Grant(ctx, time.Minute); err != nil || again != lease {
		t.Fatalf("lease after the restore: got %d, %v, want %d again", again, err, lease)
	}

	if err := r.c.Renew(ctx, lease); errorClass(err) != "absent" {
		t.Errorf("renewal of a lost lease: got %v, want absent", err)
	}
	if _, _, err := r.c.Watch(ctx, "", before); errorClass(err) != "history trimmed" {
		t.Errorf("watch from a version before the restore: got %v, want history trimmed", err)
	}
	if _, err := r.c.Put(ctx, "b", []byte("2"), before, 0); errorClass(err) != "conflict" {
		t.Errorf("write at a version before the restore: got %v, want conflict", err)
	}
	if err := r.c.Delete(ctx, "b", before); errorClass(err) != "conflict" {
		t.Errorf("deletion at a version before the restore: got %v, want conflict", err)
	}
	entries, now, err := r.c.Scan(ctx, "")
	if err != nil || len(entries) != 2 || string(entries[1].Value) != "other" {
		t.Fatalf("entries after the restore: got %v, %v, want a and the other b", entries, err)
	}
	if now <= before || now.Era() != 1 || now.Revision() != before.Revision() {
		t.Errorf("version after the restore: got era %d, revision %d, want era 1, revision %d", now.Era(), now.Revision(), before.Revision())
	}
	put("b", "2", entries[1].Version, 0)
	changed, _, err := r.c.Watch(ctx, "", now)
	if err != nil || len(changed) != 1 || changed[0].Version <= now {
		t.Errorf("watch after the restore: got %v, %v, want one later change", changed, err)
	}
}

// TestWatchFindsRestore checks that a watch from a revision that the restored service has given out
// again reports that its history is gone, and not the changes after that revision.
func TestWatchFindsRestore(t *testing.T) {
	r := newFixture(t, Settings{})
	ctx := context.Background()
	older := r.store.Copy()
	before, err := r.c.Put(ctx, "a", []byte("1"), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	r.store.Restore(older)
	if _, err := r.store.Put(ctx, "b", nil, 0, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := r.store.Put(ctx, "c", nil, 0, 0); err != nil {
		t.Fatal(err)
	}
	// The client has not heard of the restore; the store has a change after this revision.
	if _, _, err := r.c.Watch(ctx, "", before); errorClass(err) != "history trimmed" {
		t.Errorf("watch: got %v, want history trimmed", err)
	}
}

// TestAnswerOfEarlierEra checks that an answer from before the restore is not used once a later one
// was seen.
func TestAnswerOfEarlierEra(t *testing.T) {
	r := newFixture(t, Settings{})
	ctx := context.Background()
	if err := r.c.recordEra(2); err != nil {
		t.Fatal(err)
	}
	r.store.Restore(r.store.Copy()) // era 1
	if _, _, err := r.c.Scan(ctx, ""); errorClass(err) != "unavailable" {
		t.Errorf("read: got %v, want unavailable", err)
	}
	if _, err := r.c.Put(ctx, "a", nil, 0, 0); errorClass(err) != "unknown outcome" {
		t.Errorf("write: got %v, want unknown outcome", err)
	}
}

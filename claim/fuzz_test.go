package claim

import (
	"testing"
	"time"
)

// FuzzLoad requires that a head that can be loaded can also be written and
// loaded again, and that a claim has the same result on both copies.
func FuzzLoad(f *testing.F) {
	now := time.Unix(1_700_000_000, 0)
	b := New(Settings{})
	op := Operation{Key: KeyOf("w", "s", "k"), Claim: "c", State: Running, StartBy: now.Add(time.Second), Until: now.Add(time.Minute)}
	b.Apply(op, now)
	sound, err := b.Head()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sound)
	f.Add([]byte(`{"Tail": [{}, {}], "Segments": [{}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, value []byte) {
		b := New(Settings{})
		read := func(string) ([]Entry, error) { return nil, nil }
		if b.Load(value, now, read) != nil {
			return
		}
		v := b.Apply(op, now)
		head, err := b.Head()
		if err != nil {
			t.Fatal(err)
		}
		again := New(Settings{})
		if err := again.Load(head, now, read); err != nil {
			t.Fatalf("loading the written head: got %v, want no error", err)
		}
		if w := again.Apply(op, now); v.Granted != w.Granted {
			t.Errorf("claim on the written head: got granted %t, want %t", w.Granted, v.Granted)
		}
	})
}

// FuzzIssueTime requires that a key without a date header has no issue time
// before 1970.
func FuzzIssueTime(f *testing.F) {
	f.Add("0190f3c2-7b1e-7cc3-98c4-dc0c0c07398f", "")
	f.Add("k", "Thu, 03 Dec 2026 22:41:07 GMT")
	f.Add("k", "2026-12-03T22:41:07Z")
	f.Add("urn:uuid:ffffffff-ffff-7fff-ffff-ffffffffffff", "")
	f.Fuzz(func(t *testing.T, key, date string) {
		at, err := IssueTime(key, date)
		if err == nil && date == "" && !at.IsZero() && at.Before(time.Unix(0, 0)) {
			t.Errorf("time in %q: got %v, want none before 1970", key, at)
		}
	})
}

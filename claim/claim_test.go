package claim

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocuslug/result"
	"crocuslug/unit"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "4217"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestKeyWithIssueTimeIsGrantedOnce draws a clock error of up to Skew for each
// operation, and requires that a key with an issue time is granted at most once,
// also after its entry has expired.
func TestKeyWithIssueTimeIsGrantedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Settings{Retention: unit.Duration(time.Hour), Skew: unit.Duration(time.Minute), MaxTail: 300}
		b := New(cfg)
		now := time.Unix(1_000_000, 0)
		granted := make(map[Hash]int)
		segments := make(map[string][]Entry)
		issued := make(map[Hash]time.Time)
		skew := func() time.Duration {
			return time.Duration(rapid.SampledFrom([]int{-60, 0, 60}).Draw(t, "skew")) * time.Second
		}
		for range rapid.IntRange(1, 90).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1, 30, 58, 59, 60, 61, 62, 63}).Draw(t, "advance")) * time.Minute)
			clock := now.Add(skew())
			key := KeyOf("w", "s", rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"))
			if _, ok := issued[key]; !ok {
				issued[key] = now.Add(skew())
			}
			op := Operation{Key: key, Claim: ID(clock.String()), State: Running, Issued: issued[key], StartBy: clock.Add(time.Second), Until: clock.Add(2 * time.Second)}
			if b.Apply(op, clock).Granted {
				granted[key]++
			}
			op.State = Done
			b.Apply(op, clock)
			if got := granted[key]; got > 1 {
				t.Fatalf("grants of one key with an issue time: got %d, want at most 1", got)
			}
			reload(t, b, clock, segments)
		}
	})
}

// reload encodes the bucket and loads it again, as an instance does that has no
// copy of it in memory.
func reload(t *rapid.T, b *Bucket, now time.Time, segments map[string][]Entry) {
	read := func(name string) ([]Entry, error) { return segments[name], nil }
	_, err := b.Flush(now, read, func(n uint64, es []Entry) (string, error) {
		name := string(rune('A' + n))
		segments[name] = append([]Entry(nil), es...)
		return name, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	value, err := b.Head()
	if err != nil {
		t.Fatal(err)
	}
	if err := b.Load(value, now, read); err != nil {
		t.Fatal(err)
	}
}

// TestMergedSegmentsKeepAllKeys compares a bucket with many small segments,
// which is reloaded after each operation, with a plain map.
func TestMergedSegmentsKeepAllKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Settings{MaxTail: 1})
		now := time.Unix(1_000_000, 0)
		claimed := make(map[Hash]bool)
		segments := make(map[string][]Entry)
		for i := range rapid.IntRange(mergeCount, 6*mergeCount).Draw(t, "operations") {
			key := KeyOf("w", "s", string(rune('a'+rapid.IntRange(0, 40).Draw(t, "key"))))
			op := Operation{Key: key, Claim: ID(rune('0' + i)), State: Running, StartBy: now.Add(time.Second), Until: now}
			if got, want := b.Apply(op, now).Granted, !claimed[key]; got != want {
				t.Fatalf("operation %d: granted: got %v, want %v", i, got, want)
			}
			claimed[key] = true
			reload(t, b, now, segments)
		}
		if got := len(b.Segments()); got > 2*mergeCount {
			t.Errorf("segments: got %d, want at most %d", got, 2*mergeCount)
		}
	})
}

func TestIssueTime(t *testing.T) {
	for _, c := range []struct {
		key, date string
		want      int64
	}{
		{"k", "", -62135596800},
		{"k", "2026-01-02T03:04:05Z", 1767323045},
		{"k", "Fri, 02 Jan 2026 03:04:05 GMT", 1767323045},
		{"017f22e2-79b0-7cc3-98c4-dc0c0c07398f", "", 1645557742},
		{"57a2bd8c-5b4e-4e8f-9f6e-000000000000", "", -62135596800},
	} {
		got, err := IssueTime(c.key, c.date)
		if err != nil || got.Unix() != c.want {
			t.Errorf("issue time of %q, %q: got %d, %v, want %d", c.key, c.date, got.Unix(), err, c.want)
		}
	}
	if _, err := IssueTime("k", "yesterday"); err == nil {
		t.Error("issue time of a malformed date: got no error, want one")
	}
}

func TestKeyWithoutIssueTimeIsRefused(t *testing.T) {
	now := time.Unix(0, 0)
	v := New(Settings{RequireIssueTime: true}).Apply(Operation{State: Running, StartBy: now.Add(time.Second)}, now)
	if v.Err == nil || v.Err.Code != result.KeyMissing {
		t.Errorf("decision: got %+v, want KeyMissing", v)
	}
}

// TestClaimIsResolvedOnlyAfterDeliveryDelay lets the service report a key as
// unknown right after the time limit of its call, when the call may still be in
// transit, and after the delivery delay. Only the latter may release the key.
func TestClaimIsResolvedOnlyAfterDeliveryDelay(t *testing.T) {
	b := New(Settings{})
	now := time.Unix(1_000_000, 0)
	op := Operation{Claim: "a/1", State: Running, StartBy: now.Add(time.Second), Until: now.Add(2 * time.Second)}
	b.Apply(op, now)
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{3 * time.Second, false}, {defaultMaxDeliveryDelay, false}, {defaultMaxDeliveryDelay + 2*defaultSkew + 3*time.Second, true}} {
		at := now.Add(c.after)
		b.Apply(Operation{Claim: "a/1", State: NotRun, FromService: true, AskedAt: at}, at.Add(time.Hour))
		v := b.Apply(Operation{Claim: "b/1", State: Running, StartBy: at.Add(time.Second)}, at)
		if v.Granted != c.want {
			t.Errorf("granted %v after the claim: got %v, want %v", c.after, v.Granted, c.want)
		}
	}
}

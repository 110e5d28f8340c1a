package replica

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocuslug/batch"
	"crocuslug/ident"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// ExampleStore stores a copy and fences its former owner after a takeover.
func ExampleStore() {
	s := New(Settings{})
	now := time.Unix(0, 0)
	key := RequestKey{Workspace: "w", Request: "r"}
	s.Append(now, "a", batch.Append{Generation: "g", Base: true, Tokens: []string{"Hel", "lo"}}, key)
	copied, _ := s.TakeOver(now, "g", "b")
	late := s.Append(now, "a", batch.Append{Generation: "g", From: 2, Tokens: []string{"!"}}, key)
	fmt.Println(copied.Tokens, late.Status == batch.Fenced)
	// Output: [Hel lo] true
}

// owner is an instance that writes a generation. Its caller may have received the
// acknowledged tokens.
type owner struct {
	id           ident.Instance
	attempt      ident.Attempt
	baseAttempt  ident.Attempt
	tokens       []string
	hasBase      bool
	acknowledged int
}

// TestTakeover lets owners write, fall behind and take over in random order. Tokens that
// were acknowledged to an owner must be in the copy that the next owner receives, and
// nothing of a former owner may be accepted after that.
func TestTakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now, key := New(Settings{}), time.Unix(0, 0), RequestKey{Workspace: "w", Request: "r"}
		owners := []*owner{{id: "i0"}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			last := owners[len(owners)-1]
			o := owners[max(0, len(owners)-1-rapid.IntRange(0, 4).Draw(t, "owner")/3)]
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				if next := takeOver(t, s, now, last, len(owners)); next != nil {
					owners = append(owners, next)
				}
			case 1:
				o.attempt++ // the owner lost its engine and starts a new attempt
			case 2:
				s.Append(now, o.id, batch.Append{Generation: "g", Attempt: o.attempt, Base: true, From: 5, Tokens: []string{"broken"}}, key)
			default:
				o.tokens = append(o.tokens, fmt.Sprintf("%s-%d", o.id, len(o.tokens)))
				write(t, s, now, o, o == last, key)
			}
		}
	})
}

// takeOver moves the copy to a new owner, or returns nil if there is no copy.
func takeOver(t *rapid.T, s *Store, now time.Time, last *owner, n int) *owner {
	next := &owner{id: ident.Instance(fmt.Sprintf("i%d", n))}
	snap, ok := s.TakeOver(now, "g", next.id)
	if !ok {
		if last.acknowledged > 0 {
			t.Fatalf("copy: got none, want the %d acknowledged tokens", last.acknowledged)
		}
		return nil
	}
	if len(snap.Tokens) < last.acknowledged || !slices.Equal(snap.Tokens, last.tokens[:min(len(snap.Tokens), len(last.tokens))]) {
		t.Fatalf("copy: got %q, want the first of %q and at least %d", snap.Tokens, last.tokens, last.acknowledged)
	}
	next.attempt, next.tokens, next.acknowledged = snap.Attempt.NextOwner(), snap.Tokens, len(snap.Tokens)
	return next
}

// write sends the tokens that the copy lacks, or a base if the store asked for one. Current
// is set for the newest owner.
func write(t *rapid.T, s *Store, now time.Time, o *owner, current bool, key RequestKey) {
	before, _ := s.Lookup("g")
	e := batch.Append{Generation: "g", Attempt: o.attempt, Origin: o.baseAttempt, From: o.acknowledged, Tokens: o.tokens[o.acknowledged:]}
	if !o.hasBase {
		e.Base, e.Origin, e.From, e.Tokens = true, o.attempt, 0, o.tokens
	}
	ack := s.Append(now, o.id, e, key)
	after, _ := s.Lookup("g")
	switch {
	case ack.Status == batch.Held && current:
		if ack.Upto != len(o.tokens) || !slices.Equal(after.Tokens, o.tokens) {
			t.Fatalf("acknowledged: got %d with %q, want %q", ack.Upto, after.Tokens, o.tokens)
		}
		o.acknowledged, o.hasBase, o.baseAttempt = ack.Upto, true, e.Origin
	case ack.Status == batch.Needs:
		o.hasBase = false
	case ack.Status == batch.Held:
		t.Fatalf("former owner %s: got its tokens accepted, want it fenced", o.id)
	case current:
		t.Fatalf("owner %s: got it fenced, want its tokens accepted", o.id)
	}
	if ack.Status != batch.Held && !slices.Equal(before.Tokens, after.Tokens) {
		t.Fatalf("rejected append: got %q, want %q as before", after.Tokens, before.Tokens)
	}
}

// TestExpire checks that a copy is kept for the retention period after its last change.
func TestExpire(t *testing.T) {
	s, now, key := New(Settings{Retention: time.Minute}), time.Unix(0, 0), RequestKey{Workspace: "w", Request: "r"}
	s.Append(now, "a", batch.Append{Generation: "g", Base: true, Tokens: []string{"x"}}, key)
	for _, step := range []struct {
		after time.Duration
		want  int
	}{{time.Minute, 1}, {time.Minute + 1, 0}} {
		s.Expire(now.Add(step.after))
		if got, _ := s.Usage(); got != step.want {
			t.Errorf("copies after %v: got %d, want %d", step.after, got, step.want)
		}
	}
	if _, ok := s.Find(key); ok {
		t.Error("request of an expired copy: got it found, want it removed")
	}
}

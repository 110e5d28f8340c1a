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

// ExampleStore keeps a copy and fences its former owner after a takeover.
func ExampleStore() {
	s := New(Settings{})
	now := time.Unix(0, 0)
	name := Name{Workspace: "w", Request: "r"}
	s.Append(now, "a", batch.Append{Generation: "g", Base: true, Tokens: []string{"Hel", "lo"}}, name)
	copied, _ := s.Take(now, "g", "b")
	late := s.Append(now, "a", batch.Append{Generation: "g", From: 2, Tokens: []string{"!"}}, name)
	fmt.Println(copied.Tokens, late.Status == batch.Fenced)
	// Output: [Hel lo] true
}

// owner is one instance that writes a generation, and what it may have told
// its caller: what the copy has acknowledged.
type owner struct {
	id      ident.Instance
	attempt ident.Attempt
	origin  ident.Attempt
	tokens  []string
	based   bool
	held    int
}

// TestTakeover lets owners write, lag and take over in turn. Whatever was
// acknowledged to an owner is in the copy that the next owner gets, and nothing
// of a former owner is taken in after that.
func TestTakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now, name := New(Settings{}), time.Unix(0, 0), Name{Workspace: "w", Request: "r"}
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
				o.attempt++ // the owner's engine was lost
			case 2:
				s.Append(now, o.id, batch.Append{Generation: "g", Attempt: o.attempt, Base: true, From: 5, Tokens: []string{"broken"}}, name)
			default:
				o.tokens = append(o.tokens, fmt.Sprintf("%s-%d", o.id, len(o.tokens)))
				write(t, s, now, o, o == last, name)
			}
		}
	})
}

// takeOver moves the copy to another owner, if there is one.
func takeOver(t *rapid.T, s *Store, now time.Time, last *owner, n int) *owner {
	next := &owner{id: ident.Instance(fmt.Sprintf("i%d", n))}
	snap, ok := s.Take(now, "g", next.id)
	if !ok {
		if last.held > 0 {
			t.Fatalf("copy: got none, want the %d tokens that were acknowledged", last.held)
		}
		return nil
	}
	if len(snap.Tokens) < last.held || !slices.Equal(snap.Tokens, last.tokens[:min(len(snap.Tokens), len(last.tokens))]) {
		t.Fatalf("copy: got %q, want the first of %q and at least %d", snap.Tokens, last.tokens, last.held)
	}
	next.attempt, next.tokens, next.held = snap.Attempt.NextOwner(), snap.Tokens, len(snap.Tokens)
	return next
}

// write sends what the copy lacks, and a base if that is asked for.
func write(t *rapid.T, s *Store, now time.Time, o *owner, present bool, name Name) {
	before, _ := s.Look("g")
	e := batch.Append{Generation: "g", Attempt: o.attempt, Origin: o.origin, From: o.held, Tokens: o.tokens[o.held:]}
	if !o.based {
		e.Base, e.Origin, e.From, e.Tokens = true, o.attempt, 0, o.tokens
	}
	ack := s.Append(now, o.id, e, name)
	after, _ := s.Look("g")
	switch {
	case ack.Status == batch.Held && present:
		if ack.Upto != len(o.tokens) || !slices.Equal(after.Tokens, o.tokens) {
			t.Fatalf("acknowledged: got %d with %q, want %q", ack.Upto, after.Tokens, o.tokens)
		}
		o.held, o.based, o.origin = ack.Upto, true, e.Origin
	case ack.Status == batch.Needs:
		o.based = false
	case ack.Status == batch.Held:
		t.Fatalf("former owner %s: got its tokens taken in, want it fenced", o.id)
	case present:
		t.Fatalf("owner %s: got it fenced, want its tokens taken in", o.id)
	}
	if ack.Status != batch.Held && !slices.Equal(before.Tokens, after.Tokens) {
		t.Fatalf("refused append: got %q, want %q as before", after.Tokens, before.Tokens)
	}
}

// TestExpire keeps a copy for its retention after its last change.
func TestExpire(t *testing.T) {
	s, now, name := New(Settings{Retention: time.Minute}), time.Unix(0, 0), Name{Workspace: "w", Request: "r"}
	s.Append(now, "a", batch.Append{Generation: "g", Base: true, Tokens: []string{"x"}}, name)
	for _, step := range []struct {
		after time.Duration
		want  int
	}{{time.Minute, 1}, {time.Minute + 1, 0}} {
		s.Expire(now.Add(step.after))
		if got, _ := s.Usage(); got != step.want {
			t.Errorf("copies after %v: got %d, want %d", step.after, got, step.want)
		}
	}
	if _, ok := s.Find(name); ok {
		t.Error("name of an expired copy: got it found, want it forgotten")
	}
}

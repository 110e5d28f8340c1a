package tokenlog

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

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

// ExampleLog continues an answer on another engine. A late token of the first engine is
// stale.
func ExampleLog() {
	var l Log
	l.Append(0, 0, []string{"Hel", "lo"})
	l.RaiseAttempt(1)
	fmt.Println(l.Append(0, 2, []string{"!"}) == StaleAttempt, l.Append(1, 1, []string{"lo", " there"}) == Appended, l.Tokens(0, l.Len()))
	// Output: true true [Hel lo  there]
}

// referenceLog is a simple implementation of Log to compare with.
type referenceLog struct {
	tokens  []string
	attempt ident.Attempt
	done    bool
}

func (n *referenceLog) append(a ident.Attempt, index int, tokens []string) Outcome {
	if a != n.attempt {
		return StaleAttempt
	}
	if index < 0 {
		return Mismatch
	}
	if index > len(n.tokens) {
		return Gap
	}
	all := slices.Clone(n.tokens)
	for i, t := range tokens {
		switch at := index + i; {
		case at == len(all):
			all = append(all, t)
		case all[at] != t:
			return Mismatch
		}
	}
	switch {
	case len(all) == len(n.tokens):
		return Duplicate
	case n.done:
		return Closed
	}
	n.tokens = all
	return Appended
}

func (n *referenceLog) finish(a ident.Attempt, count int) Outcome {
	switch {
	case a != n.attempt:
		return StaleAttempt
	case n.done:
		return Duplicate
	case count > len(n.tokens):
		return Gap
	case count < len(n.tokens):
		return Mismatch
	}
	n.done = true
	return Appended
}

// TestAgainstReferenceLog adds tokens late, twice, out of order and from stale attempts, at
// indices around the end of the log, including negative ones.
func TestAgainstReferenceLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Log
		var n referenceLog
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			a := ident.Attempt(rapid.IntRange(0, 3).Draw(t, "attempt"))
			at := len(n.tokens) + rapid.IntRange(-3, 1).Draw(t, "index")
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				if got, want := l.RaiseAttempt(a), a > n.attempt; got != want {
					t.Fatalf("RaiseAttempt(%d): got %t, want %t", a, got, want)
				}
				n.attempt = max(n.attempt, a)
			case 1:
				if got, want := l.Finish(a, at, "stop"), n.finish(a, at); got != want {
					t.Fatalf("Finish(%d, %d): got %d, want %d", a, at, got, want)
				}
			case 2:
				if a > n.attempt && !n.done {
					l.Restart(a)
					n = referenceLog{attempt: a}
				}
			default:
				tokens := make([]string, rapid.IntRange(0, 4).Draw(t, "count"))
				for i := range tokens {
					// Most tokens match the log, so that answers grow.
					tokens[i] = strconv.Itoa(at + i + rapid.IntRange(0, 12).Draw(t, "odd")/12)
				}
				if got, want := l.Append(n.attempt, at, tokens), n.append(n.attempt, at, tokens); got != want {
					t.Fatalf("Append(%d, %q): got %d, want %d", at, tokens, got, want)
				}
				if got, want := l.Append(a, at, tokens), n.append(a, at, tokens); got != want {
					t.Fatalf("Append(%d, %d, %q): got %d, want %d", a, at, tokens, got, want)
				}
			}
			compareLogs(t, &l, &n)
		}
	})
}

// compareLogs compares the visible state of both logs.
func compareLogs(t *rapid.T, l *Log, n *referenceLog) {
	_, done := l.Finished()
	if got := l.Clone().Tokens(0, l.Len()); !slices.Equal(got, n.tokens) || done != n.done || l.Attempt() != n.attempt {
		t.Fatalf("log: got %q, %t, %d, want %q, %t, %d", got, done, l.Attempt(), n.tokens, n.done, n.attempt)
	}
	for i := range len(n.tokens) + 1 {
		if c := l.Cursor("g", i); !l.ContainsCursor(c) {
			t.Fatalf("cursor after %d tokens: got it rejected, want it accepted", i)
		} else if i > 0 && l.ContainsCursor(l.Cursor("g", i-1).Next([]byte("another"))) {
			t.Fatalf("cursor of another answer after %d tokens: got it accepted, want it rejected", i)
		}
	}
}

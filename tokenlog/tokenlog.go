// Package tokenlog stores the tokens of one generation, each exactly once.
//
// Several engine streams may generate one answer in turn, and their output may
// arrive late, repeatedly or out of order. All tokens pass through the log. It
// accepts a token only at the next index and only from the current attempt, so
// that no token is missing, repeated or mixed in from an earlier stream.
package tokenlog

import (
	"crocuslug/cursor"
	"crocuslug/ident"
)

// Log is an append-only list of tokens. The zero value is an empty log at attempt 0. A Log
// is not safe for concurrent use.
type Log struct {
	text    []byte   // the tokens, concatenated
	ends    []uint32 // end of each token in text
	attempt ident.Attempt
	finish  string // the engine's reason for stopping
	done    bool
}

// Outcome is the result of adding tokens to a log.
type Outcome int

// Outcomes of Append and Finish.
const (
	Appended     Outcome = iota // at least one token, or the end, was added
	Duplicate                   // the log already contains everything
	StaleAttempt                // the attempt is not the current one
	Gap                         // earlier tokens are missing
	Mismatch                    // a token or the length differs from the log
	Closed                      // the log is finished
)

// Attempt returns the current attempt.
func (l *Log) Attempt() ident.Attempt {
	return l.attempt
}

// RaiseAttempt makes a the current attempt if it is higher than the present one, and reports
// whether it was. Output of lower attempts is stale from then on.
func (l *Log) RaiseAttempt(a ident.Attempt) bool {
	if a <= l.attempt {
		return false
	}
	l.attempt = a
	return true
}

// Len returns the number of tokens.
func (l *Log) Len() int {
	return len(l.ends)
}

// Size returns the memory that the tokens occupy, in bytes.
func (l *Log) Size() int {
	const bytesPerEnd = 4
	return cap(l.text) + bytesPerEnd*cap(l.ends)
}

// Position returns the number of tokens, plus one if the log is finished.
func (l *Log) Position() int {
	if l.done {
		return len(l.ends) + 1
	}
	return len(l.ends)
}

// Token returns the token at index i. It panics if i is out of range.
func (l *Log) Token(i int) string {
	return string(l.bytes(i))
}

func (l *Log) bytes(i int) []byte {
	if i < 0 || i >= len(l.ends) {
		panic("tokenlog: index out of range")
	}
	var start uint32
	if i > 0 {
		start = l.ends[i-1]
	}
	return l.text[start:l.ends[i]]
}

// Tokens returns the tokens at indices [i, j). It panics if the range is not within the log.
func (l *Log) Tokens(i, j int) []string {
	out := make([]string, 0, j-i)
	for ; i < j; i++ {
		out = append(out, l.Token(i))
	}
	return out
}

// Append adds tokens of attempt a. Index is the index of the first one. Tokens that the log
// already contains are skipped.
func (l *Log) Append(a ident.Attempt, index int, tokens []string) Outcome {
	switch {
	case a != l.attempt:
		return StaleAttempt
	case index < 0:
		return Mismatch
	case index > len(l.ends):
		return Gap
	}
	known := min(len(l.ends)-index, len(tokens))
	for i, t := range tokens[:known] {
		if string(l.bytes(index+i)) != t {
			return Mismatch
		}
	}
	switch {
	case known == len(tokens):
		return Duplicate
	case l.done:
		return Closed
	}
	for _, t := range tokens[known:] {
		l.text = append(l.text, t...)
		l.ends = append(l.ends, uint32(len(l.text)))
	}
	return Appended
}

// Finish marks the log as finished with the engine's reason, if a is the current attempt and
// the log has n tokens.
func (l *Log) Finish(a ident.Attempt, n int, reason string) Outcome {
	switch {
	case a != l.attempt:
		return StaleAttempt
	case l.done:
		return Duplicate
	case n > len(l.ends):
		return Gap
	case n < len(l.ends):
		return Mismatch
	}
	l.done = true
	l.finish = reason
	return Appended
}

// Finished returns the engine's reason for stopping and whether the log is finished.
func (l *Log) Finished() (reason string, done bool) {
	return l.finish, l.done
}

// Restart removes all tokens and makes a the current attempt. It panics if a is not higher
// than the current attempt. It must not be called once a token has been delivered.
func (l *Log) Restart(a ident.Attempt) {
	if !l.RaiseAttempt(a) {
		panic("tokenlog: restart without a higher attempt")
	}
	l.text = l.text[:0]
	l.ends = l.ends[:0]
	l.done = false
	l.finish = ""
}

// Cursor returns the cursor of generation g after the first n tokens. It panics if the log
// has fewer than n.
func (l *Log) Cursor(g ident.Generation, n int) cursor.Cursor {
	c := cursor.New(g)
	for i := range n {
		c = c.Next(l.bytes(i))
	}
	return c
}

// ContainsCursor reports whether c is a cursor into this log, which means that it was made
// from the same tokens.
func (l *Log) ContainsCursor(c cursor.Cursor) bool {
	if c.Count < 0 || c.Count > len(l.ends) {
		return false
	}
	return l.Cursor(c.Generation, c.Count) == c
}

// Clone returns an independent copy of the log.
func (l *Log) Clone() *Log {
	c := *l
	c.text = append([]byte(nil), l.text...)
	c.ends = append([]uint32(nil), l.ends...)
	return &c
}

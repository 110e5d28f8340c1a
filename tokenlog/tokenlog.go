// Package tokenlog holds the tokens of one generation, each exactly once.
//
// A generation may be written by several engine streams in turn, and their
// output may arrive late, twice or out of order. The log is the single place
// where tokens are taken in. It takes a token only at the next index, and only
// from the attempt in force, so that no token is missing, repeated or mixed in
// from an earlier stream.
package tokenlog

import (
	"crocuslug/cursor"
	"crocuslug/ident"
)

// Log is an append-only list of tokens. The zero value is an empty log at
// attempt 0. A Log is not safe for use by several goroutines at once.
type Log struct {
	text    []byte
	ends    []uint32
	attempt ident.Attempt
	finish  string
	done    bool
}

// Verdict tells what became of tokens that were offered to a log.
type Verdict int

// Verdicts on offered tokens.
const (
	Appended  Verdict = iota // at least one token was new
	Duplicate                // all tokens were held already
	Stale                    // the attempt is not the one in force
	Gap                      // tokens before the first one offered are missing
	Mismatch                 // a token differs from the one held at its index
	Closed                   // the log has its end already
)

// Attempt returns the attempt in force.
func (l *Log) Attempt() ident.Attempt {
	return l.attempt
}

// Raise puts attempt a in force if it is higher than the present one, and
// reports whether it was. Output of lower attempts is stale from then on.
func (l *Log) Raise(a ident.Attempt) bool {
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

// Size returns the memory that the tokens take, in bytes.
func (l *Log) Size() int {
	const bytesPerEnd = 4
	return cap(l.text) + bytesPerEnd*cap(l.ends)
}

// Position returns the number of tokens, plus one once the log has its end.
func (l *Log) Position() int {
	if l.done {
		return len(l.ends) + 1
	}
	return len(l.ends)
}

// Token returns the token at index i. It panics if there is none.
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

// Tokens returns the tokens from index i up to but not including j. It panics
// if the range is not within the log.
func (l *Log) Tokens(i, j int) []string {
	out := make([]string, 0, j-i)
	for ; i < j; i++ {
		out = append(out, l.Token(i))
	}
	return out
}

// Append offers the tokens of an attempt, the first of which has the given
// index. Tokens that are held already are passed over.
func (l *Log) Append(a ident.Attempt, index int, tokens []string) Verdict {
	switch {
	case a != l.attempt:
		return Stale
	case index < 0:
		return Mismatch
	case index > len(l.ends):
		return Gap
	}
	held := min(len(l.ends)-index, len(tokens))
	for i, t := range tokens[:held] {
		if string(l.bytes(index+i)) != t {
			return Mismatch
		}
	}
	switch {
	case held == len(tokens):
		return Duplicate
	case l.done:
		return Closed
	}
	for _, t := range tokens[held:] {
		l.text = append(l.text, t...)
		l.ends = append(l.ends, uint32(len(l.text)))
	}
	return Appended
}

// Finish ends the log with the engine's reason if attempt a is in force and the
// answer has n tokens.
func (l *Log) Finish(a ident.Attempt, n int, reason string) Verdict {
	switch {
	case a != l.attempt:
		return Stale
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

// Finished returns the engine's reason and whether the log has its end.
func (l *Log) Finished() (reason string, done bool) {
	return l.finish, l.done
}

// Restart drops all tokens and puts the higher attempt a in force. It panics if
// a is not higher. It is allowed only while no token has left the system.
func (l *Log) Restart(a ident.Attempt) {
	if !l.Raise(a) {
		panic("tokenlog: restart without a higher attempt")
	}
	l.text = l.text[:0]
	l.ends = l.ends[:0]
	l.done = false
	l.finish = ""
}

// Cursor returns the cursor of generation g after the first n tokens. It panics
// if the log holds fewer.
func (l *Log) Cursor(g ident.Generation, n int) cursor.Cursor {
	c := cursor.New(g)
	for i := range n {
		c = c.Next(l.bytes(i))
	}
	return c
}

// Holds reports whether c is a cursor that was given out for the tokens of this
// log.
func (l *Log) Holds(c cursor.Cursor) bool {
	if c.Count < 0 || c.Count > len(l.ends) {
		return false
	}
	return l.Cursor(c.Generation, c.Count) == c
}

// Clone returns a log of its own with the same content.
func (l *Log) Clone() *Log {
	c := *l
	c.text = append([]byte(nil), l.text...)
	c.ends = append([]uint32(nil), l.ends...)
	return &c
}

// Package cursor names a place in a generation's answer.
//
// A caller that lost its connection gives back the cursor of the last event
// that it received. The cursor carries a hash of all tokens up to its place, so
// that an instance can tell whether the answer that it holds is the one that
// the caller has been reading. Without it, two continuations of one generation
// that differ could be joined.
package cursor

import (
	"strconv"
	"strings"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"crocuslug/ident"
)

// Cursor is a place in an answer. Cursors are comparable.
type Cursor struct {
	Generation ident.Generation
	Count      int    // tokens before the place
	Hash       uint64 // of these tokens, chained
}

// New returns the cursor before the first token of g.
func New(g ident.Generation) Cursor {
	return Cursor{Generation: g}
}

// Next returns the cursor after one more token.
func (c Cursor) Next(token []byte) Cursor {
	c.Hash = xxh3.HashSeed(token, c.Hash)
	c.Count++
	return c
}

// separator stands between the parts of a cursor's text.
const separator = "~"

// String returns the text of c, which Parse reads.
func (c Cursor) String() string {
	return string(c.Append(nil))
}

// Append appends the text of c to b.
func (c Cursor) Append(b []byte) []byte {
	b = append(b, c.Generation...)
	b = append(b, separator...)
	b = strconv.AppendInt(b, int64(c.Count), decimal)
	b = append(b, separator...)
	return strconv.AppendUint(b, c.Hash, hexadecimal)
}

// Bases of the numbers in a cursor's text.
const (
	decimal     = 10
	hexadecimal = 16
)

// maxText bounds the text of a cursor in bytes.
const maxText = 256

// Parse reads the text of a cursor. It returns an error if the text is not one
// that String gives.
func Parse(text string) (Cursor, error) {
	parts := strings.Split(text, separator)
	const wantParts = 3
	if len(text) > maxText || len(parts) != wantParts || parts[0] == "" {
		return Cursor{}, errs.New("malformed cursor")
	}
	n, err := strconv.Atoi(parts[1])
	if err != nil || n < 0 {
		return Cursor{}, errs.New("malformed count in cursor")
	}
	h, err := strconv.ParseUint(parts[2], hexadecimal, 64)
	if err != nil {
		return Cursor{}, errs.New("malformed hash in cursor")
	}
	c := Cursor{Generation: ident.Generation(parts[0]), Count: n, Hash: h}
	if c.String() != text {
		return Cursor{}, errs.New("cursor is not in its usual form")
	}
	return c, nil
}

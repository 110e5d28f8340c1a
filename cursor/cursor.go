// Package cursor implements cursors, which identify a position in the answer of a
// generation.
//
// A caller that lost its connection sends the cursor of the last event that it
// received. The cursor contains a hash of all tokens before its position, so that
// an instance can check that its copy of the answer is the one that the caller
// has been reading. Without the hash, parts of two different continuations of one
// generation could be joined.
package cursor

import (
	"strconv"
	"strings"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"crocuslug/ident"
)

// Cursor is a position in an answer. Cursors are comparable.
type Cursor struct {
	Generation ident.Generation
	Count      int    // number of tokens before the position
	Hash       uint64 // chained hash of these tokens
}

// New returns the cursor of the position before the first token of g.
func New(g ident.Generation) Cursor {
	return Cursor{Generation: g}
}

// Next returns the cursor of the position after token, which follows c.
func (c Cursor) Next(token []byte) Cursor {
	c.Hash = xxh3.HashSeed(token, c.Hash)
	c.Count++
	return c
}

// separator separates the parts of a cursor's text.
const separator = "~"

// String returns the text of c, which Parse parses.
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

// maxTextBytes is the largest length of a cursor's text in bytes.
const maxTextBytes = 256

// Parse returns the cursor with the given text. It returns an error if the text is
// longer than 256 bytes or is not in the form that String returns.
func Parse(text string) (Cursor, error) {
	parts := strings.Split(text, separator)
	const wantParts = 3
	if len(text) > maxTextBytes || len(parts) != wantParts || parts[0] == "" {
		return Cursor{}, errs.New("cursor of %d bytes and %d parts: want at most %d bytes and %d parts, the first not empty",
			len(text), len(parts), maxTextBytes, wantParts)
	}
	n, err := strconv.Atoi(parts[1])
	if err != nil || n < 0 {
		return Cursor{}, errs.New("cursor: count %q: want a whole number of at least 0", parts[1])
	}
	h, err := strconv.ParseUint(parts[2], hexadecimal, 64)
	if err != nil {
		return Cursor{}, errs.New("cursor: hash %q: want a hexadecimal number of 64 bits", parts[2])
	}
	c := Cursor{Generation: ident.Generation(parts[0]), Count: n, Hash: h}
	if c.String() != text {
		return Cursor{}, errs.New("cursor %q: want its normal form %q", text, c.String())
	}
	return c, nil
}

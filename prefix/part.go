package prefix

import (
	"encoding/binary"
	"math"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

// Part is one of the parts of a prompt, as stated by the caller. Engines reuse cached parts for
// prompts that begin with the same parts.
type Part struct {
	Name   string
	Tokens int
}

// Chain returns the identifiers of the parts of a prompt for a model, in order.
func Chain(model string, parts []Part) []Block {
	blocks := make([]Block, 0, len(parts))
	h := xxh3.HashString(model)
	for _, p := range parts {
		buf := binary.LittleEndian.AppendUint64(nil, h)
		h = xxh3.Hash(append(buf, p.Name...))
		blocks = append(blocks, Block(h))
	}
	return blocks
}

// maxParts is the number of parts of a prompt that are told apart. Each takes many times the bytes that name it.
const maxParts = 256

// ParseParts parses parts that are listed as NAME:TOKENS and separated by commas. It returns nil if
// the list is empty or malformed. The last of 256 parts stands for all that follow: its name is the rest of the
// list, and its tokens are their sum.
func ParseParts(s string) []Part {
	if s == "" {
		return nil
	}
	var out []Part
	for rest, more := s, true; more; {
		var entry string
		last := rest
		entry, rest, more = strings.Cut(rest, ",")
		name, tokens, ok := strings.Cut(strings.TrimSpace(entry), ":")
		n, err := strconv.Atoi(tokens)
		if !ok || name == "" || err != nil || n < 0 {
			return nil
		}
		switch {
		case len(out) < maxParts-1 || !more && len(out) < maxParts:
			out = append(out, Part{Name: name, Tokens: n})
		case len(out) < maxParts:
			out = append(out, Part{Name: strings.TrimSpace(last), Tokens: n})
		default:
			out[maxParts-1].Tokens = addTokens(out[maxParts-1].Tokens, n)
		}
	}
	return out
}

// addTokens returns the sum of two numbers of tokens, or the greatest number if that is less.
func addTokens(a, b int) int {
	if b > math.MaxInt-a {
		return math.MaxInt
	}
	return a + b
}

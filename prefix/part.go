package prefix

import (
	"encoding/binary"
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

// ParseParts parses parts that are listed as NAME:TOKENS and separated by commas. It returns nil if
// the list is empty or malformed.
func ParseParts(s string) []Part {
	if s == "" {
		return nil
	}
	var out []Part
	for entry := range strings.SplitSeq(s, ",") {
		name, tokens, ok := strings.Cut(strings.TrimSpace(entry), ":")
		n, err := strconv.Atoi(tokens)
		if !ok || name == "" || err != nil || n < 0 {
			return nil
		}
		out = append(out, Part{Name: name, Tokens: n})
	}
	return out
}

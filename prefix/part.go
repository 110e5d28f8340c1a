package prefix

import (
	"encoding/binary"

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

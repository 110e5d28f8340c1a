// Package prefix computes identifiers of the prompt blocks that engines cache.
//
// A prompt is divided into blocks of a fixed size, or into the parts stated by its caller.
// The identifier of a block depends on the whole prompt up to the end of the block, so two
// prompts share a block only if they are equal up to there.
package prefix

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// Block identifies a block of a prompt together with everything before it.
type Block uint64

// blockBytes is the size of a block in bytes.
const blockBytes = 256

// Blocks returns the identifiers of the whole blocks of prompt, in order.
func Blocks(prompt string) []Block {
	n := len(prompt) / blockBytes
	blocks := make([]Block, 0, n)
	var h uint64
	buf := make([]byte, 8, 8+blockBytes)
	for i := range n {
		binary.LittleEndian.PutUint64(buf[:8], h)
		h = xxh3.Hash(append(buf[:8], prompt[i*blockBytes:(i+1)*blockBytes]...))
		blocks = append(blocks, Block(h))
	}
	return blocks
}

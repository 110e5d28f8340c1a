// Package prefix names the blocks of a prompt that engines cache.
//
// A prompt is cut into blocks of a fixed size, or at the parts that its caller
// tells. The name of a block depends on all of the prompt up to its end, so two
// prompts share a block only if they agree up to there.
package prefix

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// Block names one block of a prompt together with all that goes before it.
type Block uint64

// blockBytes is the size of a block in bytes.
const blockBytes = 256

// Blocks returns the names of the whole blocks of prompt, in order.
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

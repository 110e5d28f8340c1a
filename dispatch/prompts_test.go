package dispatch

import (
	"strings"
	"testing"

	"crocuslug/prefix"
)

// TestPartNames checks that the log names the parts of a prompt and that long lists are cut.
func TestPartNames(t *testing.T) {
	if got, want := partNames([]prefix.Part{{Name: "5c1e07a2", Tokens: 800}, {Name: "91bd3f06"}}), "5c1e07a2,91bd3f06"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	var many []prefix.Part
	for range 1000 {
		many = append(many, prefix.Part{Name: strings.Repeat("x", 1000)})
	}
	if got, want := len(partNames(many)), maxNamedParts*(maxPartName+1)-1; got != want {
		t.Errorf("1000 long names: got %d bytes, want %d", got, want)
	}
}

// TestToldPrompts guards against messages to other instances that grow with the number and length of all prompts.
func TestToldPrompts(t *testing.T) {
	d := &Dispatcher{prompts: newPrompts()}
	const streams, parts = 300, 256
	told := make(map[prefix.Block]bool) // first blocks
	for i := range streams {
		blocks := make([]prefix.Block, parts)
		blocks[0] = prefix.Block(i)
		d.prompts.add("u", blocks)
	}
	const rounds = 200
	for range rounds {
		blocks := 0
		for _, p := range d.Prompts() {
			told[p.Blocks[0]] = true
			blocks += len(p.Blocks)
		}
		if blocks > maxToldBlocks || blocks <= maxToldBlocks-parts {
			t.Fatalf("blocks told at once: got %d, want %d at most and no fewer than fit", blocks, maxToldBlocks)
		}
	}
	if len(told) != streams {
		t.Errorf("prompts told in %d rounds: got %d, want all %d", rounds, len(told), streams)
	}
}

package dispatch

import (
	"strings"
	"sync"

	"crocuslug/ident"
	"crocuslug/prefix"
	"crocuslug/work"
)

// prompts holds the prompts of the running streams. If this instance is lost, its callers
// retry at other instances, which should resume the streams where the prompts were read.
type prompts struct {
	mu   sync.Mutex
	next uint64
	sent map[uint64]work.Prompt
}

func newPrompts() *prompts {
	return &prompts{sent: make(map[uint64]work.Prompt)}
}

// add adds a prompt. The returned function removes it.
func (p *prompts) add(u ident.Upstream, blocks []prefix.Block) (remove func()) {
	if len(blocks) == 0 {
		return func() {}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	n := p.next
	p.sent[n] = work.Prompt{Upstream: u, Blocks: blocks}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.sent, n)
	}
}

// maxToldBlocks bounds the blocks of the prompts that instances tell each other at once. They are encoded for
// each peer, some 20 bytes each.
const maxToldBlocks = 16 << 10

// Prompts returns the prompts of the running streams and their upstreams. Of more than 16,384 blocks in all it
// returns some prompts, others each time.
func (d *Dispatcher) Prompts() []work.Prompt {
	d.prompts.mu.Lock()
	defer d.prompts.mu.Unlock()
	out := make([]work.Prompt, 0, len(d.prompts.sent))
	blocks := 0
	for _, p := range d.prompts.sent { // in random order
		if blocks += len(p.Blocks); blocks > maxToldBlocks {
			break
		}
		out = append(out, p)
	}
	return out
}

// Bounds of the names of parts in a log line. Callers choose the names.
const (
	maxNamedParts = 8
	maxPartName   = 24 // bytes
)

// partNames returns the names of the parts of a prompt for the log.
func partNames(parts []prefix.Part) string {
	names := make([]string, 0, maxNamedParts)
	for _, p := range parts[:min(len(parts), maxNamedParts)] {
		names = append(names, p.Name[:min(len(p.Name), maxPartName)])
	}
	return strings.Join(names, ",")
}

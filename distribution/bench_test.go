package distribution

import (
	"fmt"
	"testing"

	"crocuslug/configuration"
	"crocuslug/ident"
)

// BenchmarkChange measures one change of one workspace at an instance that
// holds a document of the size to design for.
func BenchmarkChange(b *testing.B) {
	w := newWorld(b.Fatalf)
	w.start(Member{"i0", "A"})
	var doc configuration.Document
	for i := range 7100 {
		doc.Upstreams = append(doc.Upstreams, configuration.Upstream{
			Name: ident.Upstream(fmt.Sprintf("e%d", i)), Service: "s", Address: "10.0.0.1:80", Domain: "A", Models: []string{"m"},
		})
	}
	for i := range 5500 {
		doc.Workspaces = append(doc.Workspaces, configuration.Workspace{
			Name: ident.Workspace(fmt.Sprintf("w%d", i)), KeyHashes: []string{fmt.Sprintf("%064x", i)},
		})
	}
	doc.Revision = 1
	c, source := w.cores["i0"], New(Member{"i1", "A"}, 2, w.now, Settings{})
	first := configuration.Sorted(doc)
	c.Accepted(w.now, first)
	source.Accepted(w.now, first)
	b.ReportAllocs()
	for n := range b.N {
		b.StopTimer()
		next := configuration.Sorted(*source.current)
		next.Revision++
		next.Workspaces[0].MaxConcurrent = n%100 + 1
		source.Accepted(w.now, next)
		a := source.notice(w.now, "i0", next.Revision-1)
		b.StartTimer()
		c.Received(w.now, "i1", *a.Notify)
		if c.Revision() != next.Revision {
			b.Fatalf("got revision %d, want %d", c.Revision(), next.Revision)
		}
	}
}

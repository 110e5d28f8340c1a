package distribution

import (
	"fmt"
	"testing"

	"crocuslug/configuration"
	"crocuslug/ident"
)

// BenchmarkChange measures how long an instance takes to apply a notice that
// changes one workspace in a document of the size to design for.
func BenchmarkChange(b *testing.B) {
	s := newSimulation(b.Fatalf)
	s.start(Member{"i0", "A"})
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
	receiver, source := s.distributors["i0"], New(Member{"i1", "A"}, 2, s.now, Settings{})
	first := configuration.Sorted(doc)
	receiver.HandleDocument(s.now, first)
	source.HandleDocument(s.now, first)
	b.ReportAllocs()
	for n := range b.N {
		b.StopTimer()
		next := configuration.Sorted(*source.current)
		next.Revision++
		next.Workspaces[0].MaxConcurrent = n%100 + 1
		source.HandleDocument(s.now, next)
		a := source.noticeTo(s.now, "i0", next.Revision-1)
		b.StartTimer()
		receiver.HandleNotice(s.now, "i1", *a.Notify)
		if receiver.Revision() != next.Revision {
			b.Fatalf("got revision %d, want %d", receiver.Revision(), next.Revision)
		}
	}
}

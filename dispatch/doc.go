// Package dispatch carries a request to an upstream and brings one whole answer
// back, through as many upstreams as that takes and the route allows.
//
// What may run once at most is sent again only if it cannot have run. A stream
// of numbered pieces whose route lets it go on elsewhere survives its engine:
// while it runs, the engine copies its memory to an engine in another failure
// domain, and when the stream breaks off or falls silent, it goes on there from
// the piece after the last one delivered, so that little of the prompt is read
// again. Without a copy it goes on from its prompt. The caller sees one answer
// without a gap, under the head of its first engine.
//
// New streams wait in a line while engines have enough prompts to read, and are
// refused at once if their turn would come too late. A stream that was lost waits
// while no upstream is left, since it cannot be refused as not run any more.
//
// The package decides and carries out; which wire format upstreams speak is
// behind Ports.
package dispatch

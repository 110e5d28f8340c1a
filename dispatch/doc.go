// Package dispatch sends requests to upstreams and returns one whole answer for each.
// It makes as many attempts as are needed and as the route allows.
//
// A request that may run at most once is sent again only if it cannot have run. A stream
// of numbered pieces whose route is resumable survives the loss of its engine: while it
// runs, the engine copies its memory to an engine in another failure domain. When the
// stream breaks off or falls silent, it is resumed there from the piece after the last
// one delivered, so that only a small part of the prompt has to be read again. Without a
// copy it is resumed from its prompt. The caller receives one answer without gaps, with
// the response header of the first engine.
//
// New streams wait in a queue while the engines have enough prompts to read, and are
// refused at once if they could not be started in time. A stream that has lost its engine
// waits for another one, since it can no longer be refused as not run.
//
// The wire format of upstreams is hidden behind work.Protocol.
package dispatch

// Package generation decides how one answer goes on through failures.
//
// A Machine follows one generation on the instance that owns it. It takes
// events (tokens, lost streams, acknowledgements of the replica, the passing of
// time) and returns the actions that the instance is to carry out: start or
// resume a stream on an engine, replicate tokens, release tokens to the caller,
// end the answer. It has no goroutine, clock or socket of its own.
//
// Two rules carry the promises:
//
// A token is released to the caller only when the replica holds it, so that
// whatever the caller has received can be continued by another instance. While
// no replica is in reach, tokens are released without one and counted.
//
// Each stream has an attempt number and the log takes tokens only of the
// attempt in force, so that output of a stream that was given up on is dropped.
//
// A lost stream is first asked for again on the same engine over a new
// connection, which computes nothing twice. Only when the engine does not answer or
// does not know the stream does the answer go on from the tokens held on another engine.
package generation

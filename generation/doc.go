// Package generation implements the state machine that carries one generated
// answer through the failure of engines and instances.
//
// A Machine tracks one generation on the instance that owns it. It receives
// events (tokens, lost streams, acknowledgements of the replica, the passing of
// time) and returns the actions that the instance must perform: start or resume
// a stream on an engine, replicate tokens, release tokens to the caller, end the
// answer. It starts no goroutine, reads no clock and opens no connection.
//
// Two rules ensure that the caller receives each token exactly once:
//
// A token is released to the caller only after the replica has stored it, so
// that another instance can continue everything that the caller has received.
// While no replica is reachable, tokens are released without one and counted.
//
// Each stream has an attempt number, and the log accepts only tokens of the
// current attempt. Output of an abandoned stream is therefore dropped.
//
// A lost stream is first requested again from the same engine over a new
// connection (a probe), which repeats no computation. Only if the engine does not
// answer or does not know the stream is the answer continued on another engine,
// from the tokens in the log.
package generation

// Package emulator simulates load on model engines in virtual time, without a
// network, to compare policies by which instances choose engines.
//
// Engines read prompts in chunks between the decoding steps of other runs, cache a
// bounded number of tokens, and are lost by whole failure domains, with connections
// that are either reset or fall silent. Instances choose among them with the
// project's own fleet package or with a naive policy. They learn each other's load
// from periodic digests and changes of the engine list after a delay. Each run is
// repeatable from its seed.
//
// Engine timings are those of the platform's data sheets: 5 prompt tokens per
// millisecond in chunks of 125, 6.17 ms per step, and 5 tokens per event.
package emulator

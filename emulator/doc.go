// Package emulator plays loads on model engines in virtual time, without a
// network, to weigh the choices that instances make.
//
// Engines read prompts in chunks between the tokens of other runs, hold a
// bounded number of tokens, and are lost by whole failure domains, with or
// without a sign. Instances choose among them with the project's own fleet or
// with a naive rule, know of each other what digests tell, and learn late which
// engines there are. Each run is repeatable from its seed.
//
// The times of an engine are those of the platform's sheets: 5 tokens of a
// prompt a millisecond in chunks of 125, 6.17 ms a step, 5 tokens an event.
package emulator

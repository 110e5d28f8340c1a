// Package measuregeneration measures how answers go on through losses.
//
// Its experiments report the brief's two measures, resume latency and extra
// work, for each kind of loss, and what the relay of tokens costs. The naive
// version ends an answer with the engine or instance that makes it, and its
// callers start again from the first token.
package measuregeneration

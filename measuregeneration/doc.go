// Package measuregeneration measures how answers continue after the loss of engines or
// instances.
//
// For each kind of loss its experiments report resume latency and extra work, the two
// measures of the users' brief. Others report the cost of relaying tokens. In the
// naive version an answer ends together with the engine or instance that produces it,
// and the caller starts again from the first token.
package measuregeneration

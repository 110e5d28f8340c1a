// Package daemon puts the parts of one instance together.
//
// A Daemon owns nothing that decides: it builds the parts, connects their
// function fields, and starts and stops them in order. Each file wires one
// subsystem.
package daemon

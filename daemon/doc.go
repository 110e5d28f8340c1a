// Package daemon assembles the parts of one instance.
//
// A Daemon makes no decisions itself: it builds the parts, connects their function fields, and
// starts and stops them in order. Each file wires one subsystem.
package daemon

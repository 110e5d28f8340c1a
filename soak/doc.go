// Package soak runs the real programs as separate processes on one machine,
// injects faults from outside them, and checks the promises of the system from
// what callers and upstreams see.
//
// A world is a key-value service, instances, model engines and plain services in
// three failure domains. Between instances and what they call stand loopback
// proxies that delay, reset, cut one way or silence connections; processes are
// paused, killed, asked to stop and started again. Faults overlap, and all of
// them follow from one seed, as far as the machine's timing lets them.
//
// Checked is that an answer is the caller's own and whole, that pieces come once
// and in order, that what may run once does, that a request which was refused as
// not run did not run, that a configuration is in force in seconds and never goes
// back, that planned stops cut nothing while nothing else goes on, and that all
// is served again when the faults are over.
package soak

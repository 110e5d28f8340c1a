// Package soak runs the real programs as separate processes on one machine,
// injects faults from outside them, and checks the promises of the system by
// what callers and upstreams observe.
//
// A cluster consists of a key-value store, instances, model engines and plain
// services in three failure domains. Loopback proxies stand between instances and
// what they call. They delay, reset or silence connections or drop one direction.
// Processes are paused, killed, asked to stop and started again. Faults overlap, and
// one seed determines all of them as far as the timing of the machine allows.
//
// A sound upstream may be silent for about a second. Such pauses are no fault: they
// come in series, also beside planned work, and are checked like planned work.
//
// The checks are: each answer is complete and belongs to its caller; pieces arrive
// once and in order; a request that may run only once does; a request refused as not
// run did not run; a configuration is in force within seconds and never reverted;
// planned work and pauses cut no connections while no fault is active, and then no
// request fails before its deadline; and all requests are served again after the faults.
package soak

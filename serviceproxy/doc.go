// Package serviceproxy passes callers' requests on to plain services.
//
// A request that a rule marks Once is an action: it is claimed first, and goes
// out once, on a connection of its own, so that a dial that fails is known not
// to have left and a connection that went silent is never met. A repeatable
// request may be tried on other upstreams. All others are sent once.
package serviceproxy

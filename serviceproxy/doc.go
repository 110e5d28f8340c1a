// Package serviceproxy forwards callers' requests to plain services.
//
// A request that a rule marks Once is an action. It is claimed first and sent at most once, on a
// new connection: after a failed dial it is known that nothing was sent, and a connection that
// became silent is never reused. A repeatable request may be tried on other upstreams. All other
// requests are sent once.
package serviceproxy

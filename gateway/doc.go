// Package gateway serves the callers of model services over HTTP.
//
// It accepts chat completions and streams the answers as Server-Sent Events. The id of each event
// is a cursor. A caller that lost its connection can continue from its last cursor through any
// instance.
package gateway

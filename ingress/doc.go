// Package ingress accepts requests from callers over HTTP/1.1.
//
// Three requirements decide its design. It must notice a caller that disconnects while its request
// is in progress, so each connection has a reader that waits for input while the handler runs.
// What callers may send is bounded by limits that can change while connections are open. And a
// planned shutdown interrupts no request: a request that was read is answered, the answer tells
// the caller to close the connection, and only connections without a request are closed at once.
package ingress

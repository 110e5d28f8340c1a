// Package ingress takes requests of callers over HTTP/1.1.
//
// Three things decide its shape. A caller that leaves must be noticed while its
// request is in progress, so each connection has a reader that goes on waiting
// for input behind the handler. What a caller may send is bounded by limits
// that change while connections are open. And a planned stop cuts nothing: a
// request that was read is answered, connections are told to close with the
// next answer, and only those on which nothing was asked are closed.
package ingress

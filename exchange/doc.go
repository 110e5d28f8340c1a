// Package exchange sends one request to one upstream and reads its answer.
//
// A request that may run only once must not be sent again if it may have run. It certainly has not
// run if no byte of it can have reached the upstream, or if the upstream says so. HTTP client
// libraries repeat some requests by themselves, and they read any bytes that arrive on a pooled
// connection as the answer to the newest request. This package therefore implements the exchange
// on the connection itself. An answer ends strictly by its length, its last chunk or the orderly end
// of the connection, never by a reset. Bytes after it belong to no request, and the connection is
// closed. An answer that names another request is skipped. A head whose status is outside 100 to 599
// is no answer: the exchange is broken, and the request may have run.
package exchange

// Package exchange carries one request to one upstream and its answer back.
//
// What may run once at most must be told apart exactly: a request has not run
// if no byte of it can have reached the upstream, or if the upstream says so.
// HTTP client libraries retry some requests by themselves and read whatever
// comes on a pooled connection as the answer to the newest request, so the
// exchange is made here, on the connection. An answer is framed strictly by
// its length, its chunks or the end of the connection; bytes after it belong to
// nobody and end the connection; an answer that names another request is
// passed over.
package exchange

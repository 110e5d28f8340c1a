// Package directory holds the configuration that operators have put in force for callers:
// routes, the services behind them, workspaces with their keys, and limits of requests.
//
// A Document is one version of the configuration. A Directory is an immutable index of one
// document, which is built once when the document takes effect and is read by all requests
// without a lock. The route of a request is the one with the longest matching path prefix
// among the routes of its host.
package directory

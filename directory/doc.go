// Package directory holds what operators have put in force for callers: routes,
// the services behind them, workspaces with their keys, and limits of requests.
//
// A Document is what was configured. A Directory is an immutable index of one
// document, built once when the document comes into force and read by every
// request without a lock. The route of a request is the one with the longest
// prefix of its path among those of its host.
package directory

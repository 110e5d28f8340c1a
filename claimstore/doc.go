// Package claimstore keeps books of claims in the platform's key-value service.
//
// Operations that wait while a bucket is being written, or within the interval
// between its writes, travel together in the next write of its head.
package claimstore

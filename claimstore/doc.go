// Package claimstore keeps buckets of claims in the platform's key-value
// service.
//
// Operations that arrive while a bucket is being written, or within the minimum
// interval between two of its writes, are batched into the next write of its
// head.
package claimstore

// Package explain tells the story of one request from the logs of the instances
// that saw it.
//
// A log line is a row of key=value pairs, with values in quotes where they have
// spaces. A line belongs to the story if it names the request, or if it tells of
// something that could decide it at an instance and in a time in which the
// request was there: the state of an upstream that it was sent to, a failure
// domain that was hit, a configuration, the store.
package explain

// Package explain reports what happened to one request, from the logs of the
// instances that handled it.
//
// A log line is a list of key=value pairs; values that contain spaces are
// quoted. A line belongs to the report if it names the request, or if it records
// an event that may have affected the request. Such events are logged by the same
// instance at about the time of the request and concern the instance as a whole,
// such as a new configuration, the loss of a failure domain or of the store, or an
// upstream to which the request was sent.
package explain

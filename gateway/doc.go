// Package gateway answers the callers of model services over HTTP.
//
// It takes chat completions, streams answers as Server-Sent Events whose ids
// are cursors, and lets a caller that lost its connection go on from its last
// cursor through any instance.
package gateway

package edge

import "crocuslug/bodybudget"

// Shares of settings.Edge.MemoryBytes, as divisors. The process itself needs some 30 MB, and the collector
// lets garbage grow up to the limit of package main.
const (
	bodiesShare      = 4 // of all bodies and answers in progress together
	answersShare     = 4 // of answers that are being read; they may exceed the former
	connectionsShare = 4 // of callers' connections
)

// connectionBytes is the memory of a connection from a caller: buffers, goroutines and the head of a request.
const connectionBytes = 32 << 10

// unboundedConnections is the number of connections if descriptors set no bound, the default of package ingress.
const unboundedConnections = 2000

// newBodies returns the budget of bodies of a process with the given memory, or nil if that has no bound.
func newBodies(memory int64) *bodybudget.Budget {
	if memory <= 0 {
		return nil
	}
	return bodybudget.New(bodybudget.Settings{Limit: memory / bodiesShare, Collected: true})
}

// maxAnswers returns the bound on answers that are being read by a process with the given memory, or 0 for
// the default.
func maxAnswers(memory int64) int64 {
	const most = 68 << 20 // the default of package exchange
	if memory <= 0 {
		return 0
	}
	return min(most, memory/answersShare)
}

// connections returns the number of connections from callers that the file descriptors and the memory allow,
// or 0 if neither sets a bound.
func (e *Edge) connections() int {
	const reserved, share = 400, 2 // descriptors for files, peers and the store; callers get half of the rest
	n := 0
	if e.cfg.Descriptors > reserved {
		n = (e.cfg.Descriptors - reserved) / share
	}
	m := int(e.cfg.MemoryBytes / connectionsShare / connectionBytes)
	switch {
	case m == 0:
		return n
	case n == 0:
		n = unboundedConnections
	}
	return min(n, m)
}

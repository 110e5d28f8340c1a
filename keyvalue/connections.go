package keyvalue

import (
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// errDial is the class of errors of calls that failed before anything was sent.
var errDial = errs.Class("dial")

// connections opens connections and keeps track of the open ones, so that Client.Close can end the
// calls in progress.
type connections struct {
	dialTimeout time.Duration // limit for opening one connection

	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

func newConnections(limit time.Duration) *connections {
	return &connections{dialTimeout: limit, open: make(map[net.Conn]struct{})}
}

func (s *connections) dial(address string) (net.Conn, error) {
	inner, err := net.DialTimeout("tcp", address, s.dialTimeout)
	if err != nil {
		return nil, errDial.Wrap(err)
	}
	c := &connection{inner, s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = inner.Close()
		return nil, errDial.New("client is closed")
	}
	s.open[c] = struct{}{}
	return c, nil
}

// close closes all open connections and makes later dials fail.
func (s *connections) close() {
	s.mu.Lock()
	s.closed = true
	open := s.open
	s.open = make(map[net.Conn]struct{})
	s.mu.Unlock()
	for c := range open {
		_ = c.Close()
	}
}

// connection is a connection that removes itself from its set when it is closed.
type connection struct {
	net.Conn
	set *connections
}

// Close closes the connection.
func (c *connection) Close() error {
	c.set.mu.Lock()
	delete(c.set.open, c)
	c.set.mu.Unlock()
	return c.Conn.Close()
}

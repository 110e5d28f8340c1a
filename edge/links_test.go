package edge_test

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// cutKind is how the connections of an instance to all upstreams fail.
type cutKind int

const (
	notCut     cutKind = iota
	cutSilent          // nothing arrives, and no connection is made
	cutReset           // connections are reset and new ones refused
	cutRefused         // connections live on, but new ones are refused
)

// upstreamLinks are the connections of one instance to upstreams.
type upstreamLinks struct {
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	kind  cutKind
	ended chan struct{} // closed when the cut ends
	conns []net.Conn
}

// cut cuts the instance off from all upstreams.
func (l *upstreamLinks) cut(kind cutKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kind, l.ended = kind, make(chan struct{})
	if kind == cutReset {
		l.reset()
	}
}

// mend ends a cut. Connections on which bytes were lost are reset.
func (l *upstreamLinks) mend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.kind == cutSilent {
		l.reset()
	}
	l.kind = notCut
	close(l.ended)
}

// reset resets all connections. l.mu must be held.
func (l *upstreamLinks) reset() {
	for _, c := range l.conns {
		_ = c.(*silentConn).SetLinger(0)
		_ = c.Close()
	}
	l.conns = nil
}

// state returns the present cut, and a channel that is closed when it ends.
func (l *upstreamLinks) state() (cutKind, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.kind, l.ended
}

// open opens a connection, or fails as one fails during a cut.
func (l *upstreamLinks) open(ctx context.Context, address string) (net.Conn, error) {
	switch kind, ended := l.state(); kind {
	case cutReset, cutRefused:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case cutSilent:
		const dialTimeout = 250 * time.Millisecond // of package exchange
		select {
		case <-ended:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(dialTimeout):
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ETIMEDOUT}
		}
	}
	c, err := l.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	s := &silentConn{c.(*net.TCPConn), l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, s)
	return s, nil
}

// silentConn is a connection on which nothing arrives while its links are silent.
type silentConn struct {
	*net.TCPConn
	links *upstreamLinks
}

// Read reads from the connection. What arrives while the links are silent is lost.
func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if kind, _ := c.links.state(); kind != cutSilent || err != nil {
			return n, err
		}
	}
}

// Write writes to the connection, or loses the bytes while its links are silent.
func (c *silentConn) Write(b []byte) (int, error) {
	if kind, _ := c.links.state(); kind == cutSilent {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

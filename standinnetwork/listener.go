// Package standinnetwork makes the connections of a stand-in fail.
//
// Stand-ins have to fail as real servers and the network between do:
// connections that are reset, and connections that stay open and go silent for
// good while new ones work. A Listener does so below the HTTP server, which
// knows nothing of it.
package standinnetwork

import (
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Listener accepts TCP connections that it can reset or silence.
type Listener struct {
	inner net.Listener
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Time in which Listen tries again for an address that is still in use.
const (
	bindTries = 50
	bindPause = 20 * time.Millisecond
)

// Listen listens on address. A port of 0 picks a free one; another port that
// is in use is tried again for a second before an error is returned.
func Listen(address string) (*Listener, error) {
	var err error
	for range bindTries {
		var l net.Listener
		l, err = net.Listen("tcp", address)
		if err == nil {
			return &Listener{inner: l, conns: make(map[*conn]struct{})}, nil
		}
		time.Sleep(bindPause)
	}
	return nil, errs.Wrap(err)
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.inner.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, l: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// Addr returns the address that the listener is bound to.
func (l *Listener) Addr() net.Addr { return l.inner.Addr() }

// Close stops accepting. Open connections stay open.
func (l *Listener) Close() error { return l.inner.Close() }

// Reset stops accepting and resets all open connections.
func (l *Listener) Reset() {
	_ = l.inner.Close()
	for _, c := range l.open() {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Silence makes all connections that are open now neither read nor write any
// more, without closing them. The connection keep, if any, is spared.
func (l *Listener) Silence(keep net.Conn) {
	for _, c := range l.open() {
		if net.Conn(c) != keep {
			c.silence()
		}
	}
}

func (l *Listener) open() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		out = append(out, c)
	}
	return out
}

// conn is a connection that can go silent.
type conn struct {
	net.Conn
	l      *Listener
	mu     sync.Mutex
	silent bool
	once   sync.Once
	closed chan struct{}
}

func (c *conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
	_ = c.Conn.SetDeadline(time.Unix(1, 0)) // ends calls in progress
}

// hang waits for the end of a silent connection and reports whether it is one.
func (c *conn) hang() bool {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		<-c.closed
	}
	return silent
}

// Read reads, or waits for Close if the connection is silent.
func (c *conn) Read(b []byte) (int, error) {
	if c.hang() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(b)
	if c.hang() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes, or waits for Close if the connection is silent.
func (c *conn) Write(b []byte) (int, error) {
	if c.hang() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	if err != nil && c.hang() {
		return 0, net.ErrClosed
	}
	return n, err
}

// SetDeadline sets both deadlines unless the connection is silent.
func (c *conn) SetDeadline(t time.Time) error { return c.unlessSilent(c.Conn.SetDeadline, t) }

// SetReadDeadline sets the deadline of reads unless the connection is silent.
func (c *conn) SetReadDeadline(t time.Time) error { return c.unlessSilent(c.Conn.SetReadDeadline, t) }

// SetWriteDeadline sets the deadline of writes unless the connection is silent.
func (c *conn) SetWriteDeadline(t time.Time) error {
	return c.unlessSilent(c.Conn.SetWriteDeadline, t)
}

func (c *conn) unlessSilent(set func(time.Time) error, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return nil
	}
	return set(t)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}

// Package standinnetwork provides the HTTP server of the simulated services and
// injects faults into its connections.
//
// It simulates the failures of real servers and networks: connections that are
// reset, and connections that stay open but carry no more data while new ones
// work. A Listener injects these below the HTTP server, which is not aware of it.
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

// Attempts of Listen to bind an address that is still in use, and the pause
// between them.
const (
	bindTries = 50
	bindPause = 20 * time.Millisecond
)

// Listen listens on address. Port 0 selects a free port. If listening fails, for
// instance because the port is still in use, Listen retries for a second before
// it returns an error.
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

// Accept waits for the next connection and returns it.
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
	for _, c := range l.openConns() {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Silence permanently stops reads and writes on all open connections except keep,
// without closing them. A nil keep excepts none.
func (l *Listener) Silence(keep net.Conn) {
	for _, c := range l.openConns() {
		if net.Conn(c) != keep {
			c.silence()
		}
	}
}

func (l *Listener) openConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		out = append(out, c)
	}
	return out
}

// conn is a connection that can be silenced.
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

// blockIfSilent blocks until Close if the connection is silent, and reports whether it is.
func (c *conn) blockIfSilent() bool {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		<-c.closed
	}
	return silent
}

// Read reads from the connection. If it is silent, Read blocks until Close.
func (c *conn) Read(b []byte) (int, error) {
	if c.blockIfSilent() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(b)
	if c.blockIfSilent() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the connection. If it is silent, Write blocks until Close.
func (c *conn) Write(b []byte) (int, error) {
	if c.blockIfSilent() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	if err != nil && c.blockIfSilent() {
		return 0, net.ErrClosed
	}
	return n, err
}

// SetDeadline sets both deadlines. It has no effect on a silent connection.
func (c *conn) SetDeadline(t time.Time) error { return c.unlessSilent(c.Conn.SetDeadline, t) }

// SetReadDeadline sets the read deadline. It has no effect on a silent connection.
func (c *conn) SetReadDeadline(t time.Time) error { return c.unlessSilent(c.Conn.SetReadDeadline, t) }

// SetWriteDeadline sets the write deadline. It has no effect on a silent connection.
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

// Close closes the connection and ends reads and writes blocked by silence.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}

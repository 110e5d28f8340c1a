package daemon

import (
	"net"
	"sync"
	"syscall"

	"github.com/zeebo/errs"
)

// connections keeps the callers' connections, so that they can be closed.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// listener notes the connections that it accepts.
type listener struct {
	net.Listener
	conns *connections
}

// conn forgets itself when it is closed.
type conn struct {
	net.Conn
	conns *connections
}

func (c *connections) wrap(l net.Listener) net.Listener {
	return &listener{l, c}
}

// callerBuffer bounds what the kernel keeps for a caller that does not read, in bytes.
const callerBuffer = 64 << 10

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(callerBuffer)
	}
	c := &conn{nc, l.conns}
	l.conns.mu.Lock()
	l.conns.open[c] = struct{}{}
	l.conns.mu.Unlock()
	return c, nil
}

// SyscallConn gives access to the connection below, or an error if there is none.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errs.New("not a connection of the system")
	}
	return sc.SyscallConn()
}

// Close closes the connection.
func (c *conn) Close() error {
	c.conns.mu.Lock()
	delete(c.conns.open, c)
	c.conns.mu.Unlock()
	return c.Conn.Close()
}

// reset closes all connections so that the other side sees a reset.
func (c *connections) reset() {
	for _, nc := range c.all() {
		if tcp, ok := nc.(*conn).Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = nc.Close()
	}
}

func (c *connections) close() {
	for _, nc := range c.all() {
		_ = nc.Close()
	}
}

func (c *connections) all() []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]net.Conn, 0, len(c.open))
	for nc := range c.open {
		out = append(out, nc)
	}
	return out
}

// count returns the number of open connections.
func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

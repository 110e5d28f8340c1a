package daemon

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"crocuslug/problem"
	"crocuslug/result"
)

// connections keeps the callers' connections, so that they can be closed.
type connections struct {
	limit int // of open ones; more are refused
	now   func() time.Time

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

// Accept waits for the next connection. Those above the limit are told to come
// back and closed. Streams are counted here, since they leave the server's care.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(callerBuffer)
		}
		if c, ok := l.conns.add(nc); ok {
			return c, nil
		}
		go refuse(nc, l.conns.now)
	}
}

func (c *connections) add(nc net.Conn) (net.Conn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= c.limit {
		return nil, false
	}
	one := &conn{nc, c}
	c.open[one] = struct{}{}
	return one, true
}

// refuseLimit bounds the time that a refused connection is kept.
const refuseLimit = 500 * time.Millisecond

// refuseBytes bounds what is read of a refused connection.
const refuseBytes = 64 << 10

// refuse answers a connection above the limit and closes it. What the caller has
// sent is read first, since closing over it would reset the connection and lose
// the answer.
func refuse(nc net.Conn, now func() time.Time) {
	defer nc.Close()
	if err := nc.SetDeadline(now().Add(refuseLimit)); err != nil {
		return
	}
	e := result.New(result.Overloaded, "this instance has as many connections as it may").After(busyRetry)
	// Details always have a JSON form.
	body, _ := json.Marshal(problem.New(e, ""))
	fmt.Fprintf(nc, "HTTP/1.1 %d Service Unavailable\r\nContent-Type: %s\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		e.Code.Info().Status, problem.ContentType, len(body), body)
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, nc, refuseBytes)
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

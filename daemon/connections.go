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

	"crocuslug/bodybudget"
	"crocuslug/problem"
	"crocuslug/result"
	"crocuslug/timer"
)

// connections tracks the callers' open connections, to limit their number and to close them
// when the instance ends.
type connections struct {
	limit int // maximum number of open connections; further ones are refused
	timer *timer.Service

	bodies         *bodybudget.Budget // memory of requests
	largestRequest int64              // memory in bytes of the largest request

	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// listener is a net.Listener that adds the connections it accepts to conns.
type listener struct {
	net.Listener
	conns *connections
}

// conn is a net.Conn that removes itself from conns when it is closed.
type conn struct {
	net.Conn
	conns  *connections
	memory requestMemory
}

// track returns a listener that adds the connections accepted by l to c.
func (c *connections) track(l net.Listener) net.Listener {
	return &listener{l, c}
}

// callerBuffer is the size of a connection's send buffer in the kernel, in bytes. It limits the
// memory used for a caller that does not read.
const callerBuffer = 64 << 10

// Accept waits for the next connection. Connections above the limit are answered with a time to
// retry and closed. They are counted here because the server stops counting a connection when
// it becomes a stream.
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
		go refuseConnection(nc, l.conns.timer.Now)
	}
}

// add registers a connection. It returns false if the limit of open connections is reached.
func (c *connections) add(nc net.Conn) (net.Conn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= c.limit {
		return nil, false
	}
	tracked := &conn{Conn: nc, conns: c}
	tracked.memory = requestMemory{budget: c.bodies, timer: c.timer, largest: c.largestRequest, stop: tracked.stopReading}
	c.open[tracked] = struct{}{}
	return tracked, true
}

// refuseTimeout limits how long a refused connection stays open.
const refuseTimeout = 500 * time.Millisecond

// refuseBytes limits the bytes that are read from a refused connection.
const refuseBytes = 64 << 10

// refuseConnection answers a connection above the limit with an error and closes it. Before
// closing, it reads what the caller has sent, since closing a connection with unread data would
// reset it and lose the answer.
func refuseConnection(nc net.Conn, now func() time.Time) {
	defer nc.Close()
	if err := nc.SetDeadline(now().Add(refuseTimeout)); err != nil {
		return
	}
	e := result.New(result.Overloaded, "this instance has reached its limit of connections").After(busyRetry)
	// Details can always be encoded as JSON.
	body, _ := json.Marshal(problem.New(e, ""))
	fmt.Fprintf(nc, "HTTP/1.1 %d Service Unavailable\r\nContent-Type: %s\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		e.Code.Info().Status, problem.ContentType, len(body), body)
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, nc, refuseBytes)
}

// SyscallConn returns the raw network connection. It returns an error if the underlying
// connection does not provide one.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errs.New("underlying connection does not implement syscall.Conn")
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

// reset closes all connections with a TCP reset.
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

package relay

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"

	"crocuslug/ident"
	"crocuslug/timer"
)

// Conn is a connection to an upstream through another instance.
type Conn struct {
	*net.TCPConn
	Helper ident.Instance // the instance that passes it on

	timer   *timer.Service
	beats   bool          // the helper sends beats
	settled chan struct{} // see Settled

	mu     sync.Mutex
	closed bool

	reading sync.Mutex // held by Read, and guards what follows
	heardAt time.Time  // when data was read last; the start before that

	head  [frameHeader]byte // of the present frame
	have  int               // bytes of head that were read
	left  int               // bytes of the frame that were not read
	ended bool
}

// Dial claims the connection that a helper offers at an address under a token. With beats, the helper
// sends them.
func Dial(ctx context.Context, t *timer.Service, helper ident.Instance, address, token string, beats bool) (*Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	if _, err := io.WriteString(c, token); err != nil {
		_ = c.Close()
		return nil, errs.Wrap(err)
	}
	return &Conn{TCPConn: c.(*net.TCPConn), Helper: helper, timer: t, beats: beats, settled: make(chan struct{}), heardAt: t.Now()}, nil
}

// Read reads what the upstream wrote. It returns io.EOF only if the upstream ended the connection.
func (c *Conn) Read(b []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	n, err := c.read(b)
	if err != nil && err != io.EOF && c.isClosed() {
		return n, net.ErrClosed
	}
	return n, err
}

// isClosed reports whether Close was called.
func (c *Conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *Conn) read(b []byte) (int, error) {
	for c.left == 0 {
		if c.ended {
			return 0, io.EOF
		}
		n, err := c.TCPConn.Read(c.head[c.have:])
		c.have += n
		c.heard(n)
		if c.have == len(c.head) {
			c.have = 0
			if size := binary.BigEndian.Uint16(c.head[:]); size != beatHeader {
				c.left, c.ended = int(size), size == endHeader
			}
			continue
		}
		if err != nil {
			return 0, unexpected(err)
		}
	}
	n, err := c.TCPConn.Read(b[:min(len(b), c.left)])
	c.left -= n
	c.heard(n)
	if n > 0 {
		return n, nil
	}
	return 0, unexpected(err)
}

// heard records that n bytes were read.
func (c *Conn) heard(n int) {
	if n > 0 {
		c.heardAt = c.timer.Now()
	}
}

// unexpected returns io.ErrUnexpectedEOF in place of io.EOF.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// WriteTo writes what the upstream wrote, unlike that of TCPConn, which would copy the frames.
func (c *Conn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// Close ends the connection. If the helper sends beats, Close returns before the helper knows; see Settled.
// Later calls have no effect.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	if !c.beats {
		close(c.settled)
		return c.TCPConn.Close()
	}
	if state, err := stateOf(c.TCPConn); err == nil && state.Queued > 0 {
		// A close would arrive after the rest of the request. A reset arrives at once, but has no answer.
		c.timer.After(noticeLimit, func(time.Time) { close(c.settled) })
		reset(c.TCPConn)
		return nil
	}
	const past = 1                                // Unix time
	_ = c.TCPConn.SetDeadline(time.Unix(past, 0)) // ends a read and a write in progress
	_ = c.CloseWrite()                            // fails if the helper has closed the connection, and then the wait ends
	go c.awaitHelper()
	return nil
}

// Bounds of the wait for a helper after Close.
const (
	minSettling = time.Millisecond // lets a read return what the kernel holds already
	maxSettling = 2 * noticeLimit  // for a helper that goes on sending
)

// awaitHelper waits until the helper has closed its connection to the upstream: it closes this one then, or
// must have noticed that this instance is lost.
func (c *Conn) awaitHelper() {
	defer close(c.settled)
	defer func() { _ = c.TCPConn.Close() }()
	now := c.timer.Now()
	latest := now.Add(maxSettling)
	c.reading.Lock() // the read in progress has ended, and no other reads any more
	by := c.heardAt.Add(noticeLimit)
	c.reading.Unlock()
	if least := now.Add(minSettling); by.Before(least) {
		by = least
	}
	b := make([]byte, maxFrame)
	for ; now.Before(latest); by = now.Add(noticeLimit) {
		if latest.Before(by) {
			by = latest
		}
		_ = c.TCPConn.SetReadDeadline(by)
		if _, err := c.TCPConn.Read(b); err != nil {
			return
		}
		now = c.timer.Now()
	}
}

// Settled returns a channel that is closed after Close, once the helper has closed its connection to the
// upstream or must have noticed that this instance is lost. A helper without beats is not waited for.
func (c *Conn) Settled() <-chan struct{} { return c.settled }

// SetDeadline sets the read and write deadlines. It has no effect after Close.
func (c *Conn) SetDeadline(t time.Time) error { return c.setDeadline(c.TCPConn.SetDeadline, t) }

// SetReadDeadline sets the read deadline. It has no effect after Close.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.setDeadline(c.TCPConn.SetReadDeadline, t) }

// SetWriteDeadline sets the write deadline. It has no effect after Close.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	return c.setDeadline(c.TCPConn.SetWriteDeadline, t)
}

func (c *Conn) setDeadline(set func(t time.Time) error, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return set(t)
}

// Quiet reports whether the connection is open and nothing but beats has arrived since the last Read.
func (c *Conn) Quiet() bool {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.isClosed() || c.left > 0 || c.have > 0 || c.ended {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		quiet = skipBeats(int(fd))
		return true
	})
	if quiet && err == nil {
		c.heardAt = c.timer.Now() // no earlier than the beats arrived
		return true
	}
	return false
}

// skipBeats reads the beats that have arrived. It returns false if anything else has.
func skipBeats(fd int) bool {
	const most = 64 // beats read at once
	b := make([]byte, most*frameHeader)
	for {
		n, _, err := unix.Recvfrom(fd, b, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err == unix.EAGAIN {
			return true
		}
		if err != nil || n <= 0 || n%frameHeader != 0 {
			return false
		}
		for i := 0; i < n; i += frameHeader {
			if binary.BigEndian.Uint16(b[i:]) != beatHeader {
				return false
			}
		}
		if _, _, err := unix.Recvfrom(fd, b[:n], unix.MSG_DONTWAIT); err != nil {
			return false
		}
	}
}

package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// keepAlive makes the kernel find out within about two seconds that a peer has
// gone dark. A second is the kernel's least unit.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1}

// control bounds how long the kernel waits for acknowledgements.
func control(unanswered time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		ctlErr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unanswered.Milliseconds()))
		})
		if ctlErr != nil {
			return ctlErr
		}
		return err
	}
}

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	address   string
	br        *bufio.Reader
	bw        *bufio.Writer
	head      *io.LimitedReader // under br; bounds the head of an answer
	maxHeader int64
	written   atomic.Int64
	idleSince time.Time
	keep      time.Duration
}

func newConn(nc net.Conn, address string, cfg Settings) *conn {
	cn := &conn{Conn: nc, address: address, maxHeader: int64(cfg.MaxHeader)}
	cn.head = &io.LimitedReader{R: nc, N: unlimited}
	cn.br = bufio.NewReaderSize(cn.head, readBuffer)
	cn.bw = bufio.NewWriterSize(counted{cn}, writeBuffer)
	return cn
}

// Sizes of buffers in bytes: a head and a few events, a head and a small body.
const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	unlimited   = 1 << 62
)

// counted counts the bytes that were handed to the kernel.
type counted struct{ cn *conn }

// Write writes to the connection.
func (c counted) Write(b []byte) (int, error) {
	n, err := c.cn.Conn.Write(b)
	c.cn.written.Add(int64(n))
	return n, err
}

func (cn *conn) write(r *Request) error {
	if err := writeHead(cn.bw, r); err != nil {
		return err
	}
	if _, err := cn.bw.Write(r.Body); err != nil {
		return err
	}
	return cn.bw.Flush()
}

// readHead reads the head of an answer.
func (cn *conn) readHead(method string) (*http.Response, error) {
	cn.head.N = cn.maxHeader
	res, err := http.ReadResponse(cn.br, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	cn.head.N = unlimited
	if !strings.HasPrefix(res.Proto, "HTTP/1.") {
		return nil, errs.New("protocol %q is not HTTP/1", res.Proto)
	}
	return res, nil
}

// abort closes the connection, also while it is read or written.
func (cn *conn) abort() {
	_ = cn.Close() // nothing can be done about a failure to close
}

// patience sets when reading gives up; zero means never.
func (cn *conn) patience(until time.Time) {
	_ = cn.SetReadDeadline(until) // fails only on a closed connection, and then reading fails too
}

// quiet reports whether an idle connection is open and has no unread bytes. A
// byte that comes before a request belongs to no answer.
func (cn *conn) quiet() bool {
	if cn.br.Buffered() > 0 {
		return false
	}
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return quiet && err == nil
}

// keepAliveMargin is the time before the end of an upstream's idle time-out at
// which a connection is no longer used, for the way of a request there.
const keepAliveMargin = 700 * time.Millisecond

// keepAliveTimeout reads the idle time-out that an upstream names.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || n < 0 {
			return 0, false
		}
		return max(0, time.Duration(n)*time.Second-keepAliveMargin), true
	}
	return 0, false
}

// discard reads the rest of an answer that belongs to nobody.
func discard(res *http.Response, most int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, most))
	if err == nil && n == most {
		return errs.New("answer has more than %d bytes", most)
	}
	return err
}

package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"

	"crocuslug/ident"
	"crocuslug/relay"
)

// keepAlive makes the kernel detect within about two seconds that a peer no longer answers. One
// second is the smallest unit that the kernel accepts.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1}

// setAckTimeout returns a dial control function that bounds how long sent data may stay
// unacknowledged before the kernel closes the connection.
func setAckTimeout(unanswered time.Duration) func(network, address string, c syscall.RawConn) error {
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

// dialer opens connections to upstreams.
type dialer struct{ net.Dialer }

func newDialer(cfg Settings) dialer {
	return dialer{net.Dialer{Timeout: cfg.DialTimeout, KeepAliveConfig: keepAlive, Control: setAckTimeout(cfg.AckTimeout)}}
}

func (d dialer) dial(ctx context.Context, address string) (net.Conn, error) {
	return d.DialContext(ctx, "tcp", address)
}

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	address     string
	br          *bufio.Reader
	bw          *bufio.Writer
	headLimit   *io.LimitedReader // source of br; bounds the head of an answer
	maxHeader   int64
	uptime      func() time.Duration // of this machine
	written     atomic.Int64         // bytes passed to the kernel
	extend      func() time.Time     // Request.Extend of the exchange in progress; nil if there is none
	arrivals    arrivals
	idleSince   time.Time
	idleTimeout time.Duration // how long the connection may stay idle
}

func newConn(nc net.Conn, address string, cfg Settings, uptime func() time.Duration) *conn {
	cn := &conn{Conn: nc, address: address, maxHeader: int64(cfg.MaxHeader), uptime: uptime}
	cn.headLimit = &io.LimitedReader{R: patientReader{cn}, N: unlimited}
	cn.br = bufio.NewReaderSize(cn.headLimit, readBuffer)
	cn.bw = bufio.NewWriterSize(countingWriter{cn}, writeBuffer)
	return cn
}

// Buffer sizes in bytes. The read buffer holds a head and a few events of a stream, the write
// buffer a head and a small body.
const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	unlimited   = 1 << 62 // number of bytes that is never reached
)

// countingWriter counts the bytes that were passed to the kernel.
type countingWriter struct{ cn *conn }

// Write writes to the connection.
func (c countingWriter) Write(b []byte) (int, error) {
	n, err := c.cn.Conn.Write(b)
	c.cn.written.Add(int64(n))
	return n, err
}

// patientReader reads from the connection. The readers above it keep the first error that they get,
// so a read deadline is extended here.
type patientReader struct{ cn *conn }

// Read reads from the connection until its read deadline passes and is not extended.
func (p patientReader) Read(b []byte) (int, error) {
	for {
		n, err := p.cn.receive(b)
		if n > 0 || p.cn.extend == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		until := p.cn.extend()
		if until.IsZero() {
			return n, err
		}
		p.cn.setReadDeadline(until)
	}
}

// helper returns the instance that passes the connection on, or "" if it is direct.
func (cn *conn) helper() ident.Instance {
	if c, ok := cn.Conn.(*relay.Conn); ok {
		return c.Helper
	}
	return ""
}

// path returns how the connection reaches the upstream.
func (cn *conn) path() Path {
	if helper := cn.helper(); helper != "" {
		return Path{Helper: helper, Local: cn.LocalAddr().String()}
	}
	return Path{}
}

// settled returns a channel that is closed once the upstream is left after abort, nil if that is at once.
func (cn *conn) settled() <-chan struct{} {
	if c, ok := cn.Conn.(*relay.Conn); ok {
		return c.Settled()
	}
	return nil
}

func (cn *conn) write(r *Request) error {
	if err := writeHead(cn.bw, r); err != nil {
		return err
	}
	if _, err := cn.bw.Write(r.Body); err != nil {
		return err
	}
	for _, part := range r.More {
		if _, err := cn.bw.Write(part); err != nil {
			return err
		}
	}
	return cn.bw.Flush()
}

// Statuses that HTTP defines (RFC 9110, 15). What comes with another one is no answer, nor an interim one
// that another answer follows.
const (
	minStatus = 100
	maxStatus = 599
)

// readHead reads the head of an answer to a request with the given method.
func (cn *conn) readHead(method string) (*http.Response, error) {
	cn.headLimit.N = cn.maxHeader
	if cn.oldWithCoding() {
		return nil, errs.New("HTTP/1.0 answer has a transfer coding")
	}
	res, err := http.ReadResponse(cn.br, &http.Request{Method: method})
	if err != nil {
		return nil, shorten(err)
	}
	cn.headLimit.N = unlimited
	if !strings.HasPrefix(res.Proto, "HTTP/1.") {
		return nil, errs.New("protocol %q is not HTTP/1", res.Proto)
	}
	if res.StatusCode < minStatus || res.StatusCode > maxStatus {
		return nil, errs.New("status %03d is outside %d to %d", res.StatusCode, minStatus, maxStatus)
	}
	return res, nil
}

// oldWithCoding reports whether the next answer is of HTTP/1.0 and has a Transfer-Encoding field. Such
// an answer has no framing that can be relied on (RFC 9112, 6.1), and http.ReadResponse drops the field.
// It looks at the part of the head that fits the read buffer.
func (cn *conn) oldWithCoding() bool {
	const version, field = "HTTP/1.0", "\ntransfer-encoding:"
	if b, _ := cn.br.Peek(len(version)); string(b) != version {
		return false
	}
	for {
		b, _ := cn.br.Peek(cn.br.Buffered())
		head, _, whole := bytes.Cut(bytes.ReplaceAll(bytes.ToLower(b), []byte("\r"), nil), []byte("\n\n"))
		if whole || len(b) == readBuffer {
			return bytes.Contains(head, []byte(field))
		}
		if _, err := cn.br.Peek(len(b) + 1); err != nil {
			return false // http.ReadResponse returns the error
		}
	}
}

// maxErrorText is the length in bytes up to which errors quote what an upstream sent.
const maxErrorText = 200

// shorten returns err, or an error with the beginning of its text if that is long.
func shorten(err error) error {
	if text := err.Error(); len(text) > maxErrorText {
		return errs.New("%s... (%d bytes)", text[:maxErrorText], len(text))
	}
	return err
}

// abort closes the connection. It may be called during a read or a write.
func (cn *conn) abort() {
	_ = cn.Close() // a failure to close cannot be handled
}

// setReadDeadline sets the time at which reading fails; zero means never.
func (cn *conn) setReadDeadline(until time.Time) {
	_ = cn.SetReadDeadline(until) // fails only on a closed connection, and then reading fails too
}

// idleAndOpen reports whether an idle connection is open and has no unread bytes. Bytes that
// arrive before a request are not part of its answer.
func (cn *conn) idleAndOpen() bool {
	if cn.br.Buffered() > 0 {
		return false
	}
	if c, ok := cn.Conn.(*relay.Conn); ok {
		return c.Quiet()
	}
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == unix.EAGAIN
		return true
	})
	return noData && err == nil
}

// keepAliveMargin is subtracted from the idle time-out of an upstream, so that a request sent on
// an idle connection arrives before the upstream closes it.
const keepAliveMargin = 700 * time.Millisecond

// keepAliveTimeout returns how long a connection may stay idle according to the Keep-Alive field
// of an answer, and whether the field names a time.
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

// discardBody reads the body of an answer that belongs to another request, up to limit bytes.
func discardBody(res *http.Response, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, limit))
	if err == nil && n == limit {
		return errs.New("answer has more than %d bytes", limit)
	}
	return err
}

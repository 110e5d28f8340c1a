package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// lostWithin bounds the time until the context of a request whose caller is lost ends.
const lostWithin = 15 * time.Second

// cut makes the kernel drop all that arrives at c, so that it acknowledges nothing.
func cut(t *testing.T, c net.Conn) {
	t.Helper()
	drop := unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET}}
	control(t, c, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &drop)
	})
}

// mend ends a cut.
func mend(t *testing.T, c net.Conn) {
	t.Helper()
	control(t, c, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
}

// control calls f with the file descriptor of c.
func control(t *testing.T, c net.Conn, f func(fd int) error) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	ctlErr := raw.Control(func(fd uintptr) { err = f(int(fd)) })
	if ctlErr != nil || err != nil {
		t.Fatalf("option of a connection: got %v, %v, want it set", ctlErr, err)
	}
}

// TestCallerLost guards against requests that go on at an upstream until their end when the machine or
// the network of their caller is lost without a close.
func TestCallerLost(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		pieces bool // the answer is under way
	}{{"stream", true}, {"waits", false}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			begun, ended := make(chan struct{}), make(chan struct{})
			s := startServer(t, func(c *Call) {
				defer close(ended)
				if tc.pieces {
					_ = c.Begin(http.StatusOK, http.Header{})
					_ = c.Piece([]byte("first\n"))
				}
				close(begun)
				pause := time.NewTicker(20 * time.Millisecond)
				defer pause.Stop()
				for over := time.After(2 * lostWithin); ; {
					select {
					case <-c.Context().Done():
						return
					case <-over:
						return
					case <-pause.C:
					}
					if tc.pieces && c.Piece([]byte("more\n")) != nil {
						return
					}
				}
			})
			c := dialServer(t, s)
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			<-begun
			cut(t, c)
			select {
			case <-ended:
			case <-time.After(lostWithin):
				t.Errorf("request of a lost caller: got none ended within %v", lostWithin)
			}
		})
	}
}

// TestSoundCallerServed guards against bounds on unacknowledged data that also end the answers of callers
// that do not read for a while, or whose network fails for a moment.
func TestSoundCallerServed(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		size  int           // bytes of the first piece; the kernel of a caller that does not read takes some 4 KB
		cut   time.Duration // for which nothing reaches the caller
		still time.Duration // for which the caller does not read
	}{{"does not read", 128 << 10, 0, 8 * time.Second}, {"cut off for a moment", 100, 2 * time.Second, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			begun, over := make(chan struct{}), make(chan struct{})
			s := startServer(t, func(c *Call) {
				_ = c.Begin(http.StatusOK, http.Header{})
				_ = c.Piece(make([]byte, tc.size))
				close(begun)
				pause := time.NewTicker(100 * time.Millisecond)
				defer pause.Stop()
				for {
					select {
					case <-over:
						_ = c.End()
						return
					case <-pause.C:
					}
					if c.Piece([]byte("more\n")) != nil {
						return
					}
				}
			})
			small := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
			}}
			c, err := small.Dial("tcp", s.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			<-begun
			if tc.cut > 0 {
				cut(t, c)
				time.Sleep(tc.cut)
				mend(t, c)
			}
			time.Sleep(tc.still)
			close(over)
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := io.Copy(io.Discard, res.Body); err != nil || n < int64(tc.size) {
				t.Errorf("answer to a sound caller: got %d bytes, %v, want all", n, err)
			}
		})
	}
}

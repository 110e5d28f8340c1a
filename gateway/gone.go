package gateway

import (
	"context"
	"net"
	"syscall"
	"time"
)

// goneInterval is the interval of looking whether a caller that waits is there.
const goneInterval = 250 * time.Millisecond

// whileThere returns a context that ends when the caller has closed its
// connection. The function that it returns ends the watch.
func (g *Gateway) whileThere(c context.Context, conn net.Conn) (context.Context, func()) {
	ctx, cancel := context.WithCancel(c)
	sub := g.ports.Timer.Every(goneInterval, func(time.Time) {
		if gone(conn) {
			cancel()
		}
	})
	return ctx, func() {
		sub.Stop()
		cancel()
	}
}

// gone reports whether the other side has closed conn. It reads nothing and does
// not block; it reports false if that cannot be told.
func gone(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err == syscall.ECONNRESET
	})
	return closed || err != nil
}

package gateway

import (
	"context"
	"net"
	"syscall"
	"time"
)

// disconnectCheckInterval is the interval of the checks whether a caller that waits for admission or for
// a whole answer is still connected.
const disconnectCheckInterval = 250 * time.Millisecond

// whileConnected returns a context that ends when the caller closes its connection, and a function
// that stops the checks and must be called.
func (g *Gateway) whileConnected(c context.Context, conn net.Conn) (context.Context, func()) {
	ctx, cancel := context.WithCancel(c)
	sub := g.ports.Timer.Every(disconnectCheckInterval, func(time.Time) {
		if disconnected(conn) {
			cancel()
		}
	})
	return ctx, func() {
		sub.Stop()
		cancel()
	}
}

// disconnected reports whether the other side has closed conn or is lost. It reads no data and does not
// block. It returns false if the type of the connection does not allow the check.
func disconnected(conn net.Conn) bool {
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
		closed = n == 0 && err == nil || err == syscall.ECONNRESET || err == syscall.ETIMEDOUT
	})
	return closed || err != nil
}

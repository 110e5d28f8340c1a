// Package socket asks the kernel whether the callers of this instance are still there, and whether a
// connection ended in order.
//
// A caller whose machine or network is lost sends no close. It may go on with its answer at another
// instance, while this one keeps an upstream at work for it: the kernel accepts what is written and
// sends it again for a quarter of an hour. A caller that merely does not read, or whose process stands
// still, is not lost: its kernel goes on acknowledging. TCP_USER_TIMEOUT does not tell the two apart,
// since it also closes connections whose receive window stays closed.
package socket

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAlive bounds how long a connection on which nothing is sent stays open after its caller is lost:
// Idle and Count intervals, 12 s. A network that fails for 7 s closes none.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 4 * time.Second, Interval: time.Second, Count: 8}

// maxRetransmissions is the number of time-outs in a row after which unacknowledged data shows that the
// caller is lost. They double from 200 ms in a local network, to 6.2 s together, and are longer where
// the round trip is.
const maxRetransmissions = 5

// Listen listens for connections of callers on a TCP address host:port.
func Listen(address string) (net.Listener, error) {
	l := net.ListenConfig{KeepAliveConfig: keepAlive}
	return l.Listen(context.Background(), "tcp", address)
}

// Lost reports whether the kernel of the other side of c has acknowledged nothing of what it was sent,
// in spite of maxRetransmissions. It returns false if the connection is closed, since the next write
// then fails, and if its type does not allow the check.
func Lost(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	lost := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		lost = err == nil && info.Unacked > 0 && info.Retransmits >= maxRetransmissions
	})
	return err == nil && lost
}

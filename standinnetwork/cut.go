package standinnetwork

import (
	"net"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// DropReceived makes the kernel drop all packets that arrive on a connection from now on. The kernel
// then acknowledges nothing, as if the link to this end had failed. Packets that this end sends still
// arrive at the other one.
func DropReceived(c *net.TCPConn) error {
	const acceptBytes = 0x06 // BPF_RET | BPF_K: accept K bytes of each packet
	program := unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: acceptBytes, K: 0}}
	raw, err := c.SyscallConn()
	if err != nil {
		return errs.Wrap(err)
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err != nil {
		return errs.Wrap(err)
	}
	return errs.Wrap(optErr)
}

package exchange

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"crocuslug/relay"
)

// arrivals bounds the time at which the data read from a connection was sent. What is read after the
// receive buffer was empty arrived later than that. Times are uptimes of this machine.
type arrivals struct {
	sentAfter time.Duration // the data of the last read was sent later, but for its transit
	emptyAt   time.Duration // when the receive buffer was last found empty
	behind    bool          // more data waited than one read takes, and the buffer was not empty since
	caughtUp  time.Duration // when the buffer was empty again after that
}

// maxQueueTime is the time within which the kernel of the sender delivers what the process wrote while
// the receive window was closed. Such data may be sent after the process has ended.
const maxQueueTime = 600 * time.Millisecond

// begin starts an exchange on an idle connection. Nothing that is read later was sent before now.
func (a *arrivals) begin(now time.Duration) {
	*a = arrivals{sentAfter: now, emptyAt: now, caughtUp: now - maxQueueTime}
}

// drained records that the receive buffer was empty after now.
func (a *arrivals) drained(now time.Duration) {
	if a.behind {
		a.behind, a.caughtUp = false, now
	}
	if now-a.caughtUp >= maxQueueTime {
		a.emptyAt = now
	}
}

// read records that data was read. With full, more may wait.
func (a *arrivals) read(full bool) {
	a.sentAfter = a.emptyAt
	a.behind = a.behind || full
}

// receive reads from the connection as net.Conn.Read does, and records when its receive buffer was empty.
// That cannot be known of a connection that another instance passes on.
func (cn *conn) receive(b []byte) (int, error) {
	sc, ok := cn.Conn.(syscall.Conn)
	if _, relayed := cn.Conn.(*relay.Conn); relayed || !ok {
		return cn.Conn.Read(b)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	n, readErr := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		before := cn.uptime()
		n, readErr = syscall.Read(int(fd), b)
		for readErr == syscall.EINTR {
			n, readErr = syscall.Read(int(fd), b)
		}
		if readErr == syscall.EAGAIN {
			cn.arrivals.drained(before)
			return false
		}
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: cn.RemoteAddr(), Err: os.NewSyscallError("read", readErr)}
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	cn.arrivals.read(n == len(b))
	return n, nil
}

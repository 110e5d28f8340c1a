package relay

import (
	"net"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Times after which each side of a relayed connection knows that the other one is lost.
const (
	beatInterval  = 100 * time.Millisecond // time without an acknowledgement after which a helper sends a beat
	checkInterval = 50 * time.Millisecond  // between two checks of a connection by its helper
	silenceLimit  = 650 * time.Millisecond // time without an acknowledgement of sent data after which a helper closes a connection; two retransmissions of the kernel, after 200 and 600 ms
	maxAckDelay   = 50 * time.Millisecond  // for which a kernel may hold back an acknowledgement

	// noticeLimit is the time after the last data from its helper within which an instance that is cut off from
	// the helper knows that the helper has closed its connection to the upstream. The helper may see the
	// last acknowledgement, the beat in its queue, and the end of silenceLimit a checkInterval late each.
	noticeLimit = maxAckDelay + beatInterval + silenceLimit + 3*checkInterval

	// tolerance is the time by which a check may come early or late and still count as the one due.
	tolerance = checkInterval / 2
	// maxCheckGap is the time between two checks after which acknowledgements may have been missed because
	// this machine stood still.
	maxCheckGap = 4 * checkInterval
)

const (
	// maxQueued is the number of bytes that wait for an acknowledgement up to which beats are sent, so that
	// sending one does not block.
	maxQueued = 64
	// minUnansweredProbes is the number of unanswered probes of a closed receive window after which the
	// other side is lost. The kernel sends the second one after it has waited for an answer to the first.
	minUnansweredProbes = 2
)

// tcpState is what the kernel of a helper knows of a connection.
type tcpState struct {
	Heard    uint64 // counter that changes with each acknowledgement that arrives
	Left     bool   // the other side has closed or reset the connection
	InFlight int    // segments that were sent and not acknowledged
	Queued   int    // bytes that were written and not acknowledged
	Probes   int    // unanswered probes of a closed receive window
}

// stateOf returns the state of a connection. It returns an error if the connection is closed.
func stateOf(c *net.TCPConn) (tcpState, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return tcpState{}, errs.Wrap(err)
	}
	var info *unix.TCPInfo
	var queued int
	var optErr error
	err = raw.Control(func(fd uintptr) {
		if info, optErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); optErr == nil {
			queued, optErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		}
	})
	if err != nil {
		return tcpState{}, errs.Wrap(err)
	}
	if optErr != nil {
		return tcpState{}, errs.Wrap(optErr)
	}
	return tcpState{
		Heard:    info.Bytes_acked + uint64(info.Segs_in), // duplicate acknowledgements count as well
		Left:     info.State != unix.BPF_TCP_ESTABLISHED,
		InFlight: int(info.Unacked),
		Queued:   queued,
		Probes:   int(info.Probes),
	}, nil
}

// contact decides from the acknowledgements of a connection whether the other side is lost. They come
// from its kernel, so that a process that merely pauses is not lost. A kernel that does not count them
// (Linux before 4.2) would make each busy connection look lost. The zero value is ready for use.
type contact struct {
	heard     uint64    // tcpState.Heard of the last call
	heardAt   time.Time // when it was first seen
	since     time.Time // since when sent data has been waiting for an acknowledgement; zero if none waits
	checkedAt time.Time // the last call
}

// observe returns whether a beat is to be sent, and whether the other side is lost. It is called every
// checkInterval.
func (c *contact) observe(s tcpState, now time.Time) (beat, lost bool) {
	if now.Sub(c.checkedAt) > maxCheckGap {
		c.since = time.Time{}
	}
	c.checkedAt = now
	if s.Heard != c.heard || c.heardAt.IsZero() {
		c.heard, c.heardAt, c.since = s.Heard, now, time.Time{}
	}
	if s.Queued == 0 {
		c.since = time.Time{}
		return now.Sub(c.heardAt) >= beatInterval-tolerance, false
	}
	if c.since.IsZero() {
		c.since = now
	}
	if s.InFlight == 0 { // the receive window is closed, and only the kernel's probes are acknowledged
		return false, s.Probes >= minUnansweredProbes
	}
	silent := now.Sub(c.since)
	// Further beats let acknowledgements arrive on a link that loses some.
	return silent > 0 && s.Queued <= maxQueued, silent >= silenceLimit-tolerance
}

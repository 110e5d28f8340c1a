package socket

import (
	"errors"
	"syscall"
)

// Failed reports whether the error of a write on a TCP connection shows that the connection did not end in
// order, so that an end of stream that a read returns is none. The kernel reports a failure such as a reset
// once, to a read or to a write. If it was the write, reads return the data that arrived before and then the
// end of the stream. EPIPE is the error of a reset that follows the orderly end of the other side. The write
// must have returned, and no other one must have failed on the connection before.
func Failed(write error) bool {
	var errno syscall.Errno
	return errors.As(write, &errno) && errno != syscall.EPIPE
}

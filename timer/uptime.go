package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Uptime returns the time since the machine was started, including time in which
// it was suspended, which Now does not count. It returns 0 if the system clock
// cannot be read.
func (s *Service) Uptime() time.Duration {
	if s.virtual {
		return s.Now().Sub(time.Unix(0, 0))
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started. It includes the time in which the machine was suspended, which
// the monotonic clock of package time does not count, and does not step with the time of day. ok is false if the system
// does not tell it.
func SinceBoot() (since time.Duration, ok bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}

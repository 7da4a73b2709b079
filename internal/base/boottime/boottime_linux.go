package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// started is used only if the kernel has no such clock.
var started = time.Now()

// Now returns the current instant.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return Instant(time.Since(started))
	}
	return Instant(t.Nano())
}

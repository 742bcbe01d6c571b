package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted, including the time in which it was suspended. Steps of the wall clock don't
// affect it.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has the clock since 2.6.39. Without it, no age that counts suspended time can be known.
		panic("boottime: " + err.Error())
	}
	return time.Duration(t.Nano())
}

package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance started. Suspension counts, so that a process that was
// frozen does not treat its old state as fresh.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("the kernel has no boot-time clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}

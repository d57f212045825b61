package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance started, suspension included: a process that was frozen must not take old beliefs for fresh ones.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("the kernel has no boot-time clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}

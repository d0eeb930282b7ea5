// Package boottime reads a monotonic clock that, unlike that of the Go runtime,
// also advances while the machine is suspended. The expiry of leases is determined
// with it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

var processStart = time.Now()

// Now returns the time since the machine was started. If the clock cannot be read,
// it returns the time since this process was started, without suspensions.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

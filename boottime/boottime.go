// Package boottime reads a steady clock that, unlike the runtime's, also counts
// the time for which the machine was suspended. Leases are judged by it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

var start = time.Now()

// Now returns the time since the machine was started.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(start)
	}
	return time.Duration(ts.Nano())
}

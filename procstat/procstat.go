// Package procstat reads what this process has used and counts the bytes of
// connections, for benchmarks. They report processor time, since wall-clock
// time on a shared machine also counts the waits behind other processes.
package procstat

import (
	"runtime"
	"syscall"
	"time"
)

// CPU returns the processor time of this process, user and system.
func CPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// LiveHeap returns the bytes of heap objects that are reachable.
func LiveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

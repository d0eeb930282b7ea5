// Package procstat measures the processor time, the memory and the network
// traffic of this process, for benchmarks. Benchmarks report processor time,
// because wall-clock time on a shared machine includes waits for other processes.
package procstat

import (
	"runtime"
	"syscall"
	"time"
)

// CPUTime returns the user and system processor time that this process has used,
// or zero if it cannot be read.
func CPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// LiveHeapBytes runs the garbage collector and returns the number of bytes of the
// heap objects that remain.
func LiveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

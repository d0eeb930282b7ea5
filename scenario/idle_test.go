package scenario_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"bergamotstile/harness"
)

var idleSeconds = flag.Int("idle-seconds", 5, "length of each window of BenchmarkIdleEntry")

// BenchmarkIdleEntry measures entry processes of a deployment without load, to
// set the sum of the slopes in docs/CAPACITY.md against reality. All intervals
// are the program's defaults.
func BenchmarkIdleEntry(b *testing.B) {
	for _, size := range []struct{ entries, workers, runners int }{{2, 5, 5}, {2, 10, 10}, {2, 40, 10}, {2, 80, 10}, {6, 10, 10}} {
		b.Run(fmt.Sprintf("entries=%d/workers=%d/runners=%d", size.entries, size.workers, size.runners), func(b *testing.B) {
			domain := harness.DomainSize{Name: "north", Entries: size.entries, Workers: size.workers, Runners: size.runners}
			r := start(b, harness.Options{Domains: []harness.DomainSize{domain}, DefaultTimings: true}, 1)
			for b.Loop() {
				reportIdle(b, r.Cluster)
			}
		})
	}
}

// reportIdle reports one window, for the owner of the shard and for another
// instance.
func reportIdle(b *testing.B, c *harness.Cluster) {
	owner, other := roles(b, c)
	length := time.Duration(*idleSeconds) * time.Second
	before, began := c.Platform.Stats(), time.Now()
	ownerCPU, otherCPU := cpuTicks(b, owner), cpuTicks(b, other)
	ownerIO, otherIO := ioBytes(b, owner), ioBytes(b, other)
	time.Sleep(length)
	passed := time.Since(began).Seconds()
	after := c.Platform.Stats()
	// A tick of /proc is a hundredth of a second, so ticks a second are percent.
	b.ReportMetric((cpuTicks(b, owner)-ownerCPU)/passed, "owner-%core")
	b.ReportMetric((cpuTicks(b, other)-otherCPU)/passed, "other-%core")
	b.ReportMetric((ioBytes(b, owner)-ownerIO)/passed/1000, "owner-KB/s")
	b.ReportMetric((ioBytes(b, other)-otherIO)/passed/1000, "other-KB/s")
	b.ReportMetric(rssMB(b, owner), "owner-MB")
	b.ReportMetric(rssMB(b, other), "other-MB")
	b.ReportMetric(float64(after.Reads-before.Reads)/passed, "reads/s")
	b.ReportMetric(float64(after.Commits-before.Commits)/passed, "commits/s")
}

func roles(b *testing.B, c *harness.Cluster) (owner, other *harness.Node) {
	for _, n := range c.Entries {
		status, err := c.Status(n)
		if err != nil {
			b.Fatal(err)
		}
		if len(status.Shards) > 0 {
			owner = n
		} else {
			other = n
		}
	}
	if owner == nil || other == nil {
		b.Fatal("no owner, or nobody else")
	}
	return owner, other
}

// cpuTicks is the processor time of a process in clock ticks: fields 14 and 15
// of its stat file. The name of the process is the only field with spaces.
func cpuTicks(b *testing.B, n *harness.Node) float64 {
	stat := procFile(b, n, "stat")
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return user + system
}

func rssMB(b *testing.B, n *harness.Node) float64 {
	return procField(b, n, "status", "VmRSS:") / 1024
}

// ioBytes is what a process read and wrote in both directions: its connections
// and, of little weight, its log.
func ioBytes(b *testing.B, n *harness.Node) float64 {
	return procField(b, n, "io", "rchar:") + procField(b, n, "io", "wchar:")
}

func procField(b *testing.B, n *harness.Node, file, name string) float64 {
	_, rest, _ := strings.Cut(procFile(b, n, file), name)
	value, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	return value
}

func procFile(b *testing.B, n *harness.Node, name string) string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", n.PID(), name))
	if err != nil {
		b.Fatal(err)
	}
	return string(data)
}

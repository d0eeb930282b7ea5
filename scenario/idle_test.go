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

var idleWindowSeconds = flag.Int("idle-seconds", 5, "length of each window of BenchmarkIdleEntry")

// BenchmarkIdleEntry measures the entry processes of deployments without load, for
// comparison with the sum of the slopes in docs/CAPACITY.md. All timings are the
// program's defaults.
func BenchmarkIdleEntry(b *testing.B) {
	for _, size := range []struct{ entries, workers, runners int }{{2, 5, 5}, {2, 10, 10}, {2, 40, 10}, {2, 80, 10}, {6, 10, 10}} {
		b.Run(fmt.Sprintf("entries=%d/workers=%d/runners=%d", size.entries, size.workers, size.runners), func(b *testing.B) {
			domain := harness.DomainSize{Name: "north", Entries: size.entries, Workers: size.workers, Runners: size.runners}
			r := startDeployment(b, harness.Options{Domains: []harness.DomainSize{domain}, DefaultTimings: true}, 1)
			for b.Loop() {
				reportIdle(b, r.Cluster)
			}
		})
	}
}

// reportIdle measures one window and reports the use of processor, I/O and memory of
// the shard's owner and of another entry instance, and the calls to the platform.
func reportIdle(b *testing.B, c *harness.Cluster) {
	owner, other := ownerAndOther(b, c)
	window := time.Duration(*idleWindowSeconds) * time.Second
	before, startedAt := c.Platform.Stats(), time.Now()
	ownerCPU, otherCPU := cpuTicks(b, owner), cpuTicks(b, other)
	ownerIO, otherIO := ioBytes(b, owner), ioBytes(b, other)
	time.Sleep(window)
	seconds := time.Since(startedAt).Seconds()
	after := c.Platform.Stats()
	// A clock tick of /proc is a hundredth of a second, so ticks per second are
	// percent of a core.
	b.ReportMetric((cpuTicks(b, owner)-ownerCPU)/seconds, "owner-%core")
	b.ReportMetric((cpuTicks(b, other)-otherCPU)/seconds, "other-%core")
	b.ReportMetric((ioBytes(b, owner)-ownerIO)/seconds/1000, "owner-KB/s")
	b.ReportMetric((ioBytes(b, other)-otherIO)/seconds/1000, "other-KB/s")
	b.ReportMetric(rssMB(b, owner), "owner-MB")
	b.ReportMetric(rssMB(b, other), "other-MB")
	b.ReportMetric(float64(after.Reads-before.Reads)/seconds, "reads/s")
	b.ReportMetric(float64(after.Commits-before.Commits)/seconds, "commits/s")
}

func ownerAndOther(b *testing.B, c *harness.Cluster) (owner, other *harness.Node) {
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
		b.Fatal("no owner of the shard, or no other instance")
	}
	return owner, other
}

// cpuTicks returns the processor time of a process in clock ticks: the sum of fields
// 14 (user) and 15 (system) of its stat file. It splits the text after the name of the
// process, which is the only field that can contain spaces.
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

// ioBytes returns the number of bytes that a process has read and written. These are
// mostly the bytes of its connections, and a few of its log.
func ioBytes(b *testing.B, n *harness.Node) float64 {
	return procField(b, n, "io", "rchar:") + procField(b, n, "io", "wchar:")
}

func procField(b *testing.B, n *harness.Node, file, name string) float64 {
	_, afterName, _ := strings.Cut(procFile(b, n, file), name)
	value, _ := strconv.ParseFloat(strings.Fields(afterName)[0], 64)
	return value
}

func procFile(b *testing.B, n *harness.Node, name string) string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", n.PID(), name))
	if err != nil {
		b.Fatal(err)
	}
	return string(data)
}

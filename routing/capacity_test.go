package routing

import (
	"context"
	"fmt"
	"testing"

	"bergamotstile/procstat"
	"bergamotstile/structs"
)

// newClusterWithRunners returns a cluster with the given number of runners,
// which answer at once.
func newClusterWithRunners(b *testing.B, runners int) *cluster {
	c := newCluster(b, Settings{}, "a", "b")
	var members []structs.Member
	for i := range runners {
		name := fmt.Sprint("runner-", i)
		members = append(members, structs.Member{Name: name, Address: name, Domain: testDomain, Service: testService})
	}
	c.setMembers(members)
	c.runners.setRespond(alwaysRespond(0, nil))
	return c
}

// BenchmarkOwner measures the handling of an un-keyed request by the owner, for
// several numbers of runners of the service. The runners are functions in this
// process.
func BenchmarkOwner(b *testing.B) {
	for _, runners := range []int{10, 50, 200, 1600} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			c := newClusterWithRunners(b, runners)
			b.ReportAllocs()
			start := procstat.CPUTime()
			for b.Loop() {
				if body, reason, _ := handle(c.instances["a"], request("r", "", "x")); body == "" {
					b.Fatal(reason)
				}
			}
			b.ReportMetric(float64(procstat.CPUTime()-start)/1000/float64(b.N), "cpu-us/op")
		})
	}
}

// BenchmarkRemembered measures the memory that a remembered answer to a keyed
// request takes, for several sizes of the answer.
func BenchmarkRemembered(b *testing.B) {
	for _, size := range []int{0, 1024, 16384} {
		b.Run(fmt.Sprintf("answer=%d", size), func(b *testing.B) {
			const keys = 1000
			c := newClusterWithRunners(b, 50)
			body := string(make([]byte, size))
			before := procstat.LiveHeapBytes()
			for b.Loop() {
				for i := range keys {
					if _, err := c.instances["a"].router.Handle(context.Background(), request("r", fmt.Sprintf("order-%08d", i), body)); err != nil {
						b.Fatal(err)
					}
				}
			}
			// The records of the fake runners are dropped, so that only the
			// remembered answers are measured.
			c.runners.mu.Lock()
			c.runners.runs = nil
			c.runners.mu.Unlock()
			b.ReportMetric((float64(procstat.LiveHeapBytes())-float64(before))/keys, "live-B/answer")
		})
	}
}

package routing

import (
	"context"
	"fmt"
	"testing"

	"bergamotstile/procstat"
	"bergamotstile/structs"
)

func capacityCluster(b *testing.B, runners int) *cluster {
	c := newCluster(b, Settings{}, "a", "b")
	var members []structs.Member
	for i := range runners {
		name := fmt.Sprint("runner-", i)
		members = append(members, structs.Member{Name: name, Address: name, Domain: testDomain, Service: testService})
	}
	c.setMembers(members)
	c.runners.setBehave(always(0, nil))
	return c
}

// BenchmarkOwner measures one un-keyed request at the owner, by the number of
// the service's runners, with an in-process runner.
func BenchmarkOwner(b *testing.B) {
	for _, runners := range []int{10, 50, 200, 1600} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			c := capacityCluster(b, runners)
			b.ReportAllocs()
			start := procstat.CPU()
			for b.Loop() {
				if body, reason, _ := handle(c.nodes["a"], request("r", "", "x")); body == "" {
					b.Fatal(reason)
				}
			}
			b.ReportMetric(float64(procstat.CPU()-start)/1000/float64(b.N), "cpu-us/op")
		})
	}
}

// BenchmarkRemembered measures the memory of remembered answers to keyed
// requests, by the size of an answer.
func BenchmarkRemembered(b *testing.B) {
	for _, size := range []int{0, 1024, 16384} {
		b.Run(fmt.Sprintf("answer=%d", size), func(b *testing.B) {
			const keys = 1000
			c := capacityCluster(b, 50)
			body := string(make([]byte, size))
			before := procstat.LiveHeap()
			for b.Loop() {
				for i := range keys {
					if _, err := c.nodes["a"].router.Handle(context.Background(), request("r", fmt.Sprintf("order-%08d", i), body)); err != nil {
						b.Fatal(err)
					}
				}
			}
			c.runners.mu.Lock()
			c.runners.runs = nil
			c.runners.mu.Unlock()
			b.ReportMetric((float64(procstat.LiveHeap())-float64(before))/keys, "live-B/answer")
		})
	}
}

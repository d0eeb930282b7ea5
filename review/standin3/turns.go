//go:build review

package main

import (
	"fmt"
	"time"
)

// turnsWithinLease lets three waves contain a machine each that is leaving, so that the platform refuses its
// upkeep as busy, while a more capable instance is added, which takes over.
func turnsWithinLease(d *deployment, trouble bool) {
	renders := d.addQueue("renders", 1, 3)
	d.configure()
	var machines []string
	byMachine := map[string]*runner{}
	for i := range 6 {
		r := d.addRunner(runnerOptions{id: fmt.Sprintf("i-%d", i), cpu: 4000, memoryMB: 64000, labels: []string{"a", "r1-1"}})
		id := fmt.Sprintf("m-%d", i)
		d.cloud.add(id, r.id)
		machines = append(machines, id)
		byMachine[id] = r
	}
	lives := 0
	d.cloud.onDown = func(id string) { byMachine[id].stop("upkeep") }
	d.cloud.onUp = func(id string) string {
		lives++
		r := d.addRunner(runnerOptions{id: fmt.Sprintf("i-up%d", lives), cpu: 4000, memoryMB: 64000, labels: []string{"a", "r1-1"}})
		byMachine[id] = r
		return r.id
	}
	d.startNodes(0.16)
	time.Sleep(2 * time.Second)
	d.client.submit(&job{id: randomID(), queue: renders, Text: "render", Steps: []*step{{Count: 6, CPU: 500, MemoryMB: 500, EstimateMS: 1000, work: time.Second}}})
	time.Sleep(2 * time.Second)
	for _, id := range machines[:3] {
		d.cloud.mu.Lock()
		d.cloud.machines[id].leaving = true
		d.cloud.mu.Unlock()
		d.note("machine %s is leaving", id)
		byMachine[id].drain(20 * time.Second)
	}
	for i := range 3 {
		d.cloud.request(waveRequest{Wave: i + 1, Machines: []string{machines[i], machines[i+3]}, FinishBy: 30, MaxCount: 1})
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		d.startNodes(0.8)
	}
	time.Sleep(14 * time.Second)
	d.finish("ONE")
}

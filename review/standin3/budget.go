//go:build review

package main

import (
	"fmt"
	"time"
)

// The deployment of budgetInWave.
const (
	budgetMachines  = 24
	budgetWave      = 8 // machines of a wave, all of which may be down at the same time
	wavePause       = 4 * time.Second
	standingTasks   = 6
	standingStartup = 500 * time.Millisecond
	standingPause   = 700 * time.Millisecond // between two jobs
	standingTime    = 12 * time.Second       // after which a job is cancelled
)

// budgetInWave lets standing jobs with a disruption budget arrive, last a while and are cancelled, while waves go over the machines, a third at a time.
func budgetInWave(d *deployment, trouble bool) {
	watches := d.addQueue("watches", 0, 4)
	d.configure()
	var machines []string
	byMachine := map[string]*runner{}
	for i := range budgetMachines {
		r := d.addRunner(runnerOptions{id: fmt.Sprintf("i-%02d", i), cpu: 32000, memoryMB: 128000, labels: []string{"a", fmt.Sprintf("r1-%d", i/6)}})
		id := fmt.Sprintf("m-%02d", i)
		d.cloud.add(id, r.id)
		machines = append(machines, id)
		byMachine[id] = r
	}
	lives := 0
	d.cloud.onDown = func(id string) { byMachine[id].stop("upkeep") }
	d.cloud.onUp = func(id string) string {
		lives++
		r := d.addRunner(runnerOptions{id: fmt.Sprintf("i-up%02d", lives), cpu: 32000, memoryMB: 128000, labels: byMachine[id].labels})
		byMachine[id] = r
		return r.id
	}
	d.startNodes(0.16, 0.16, 0.16)
	time.Sleep(1500 * time.Millisecond)
	end := time.Now().Add(40 * time.Second)
	nextWave, waves := time.Now().Add(4*time.Second), 0
	for time.Now().Before(end) {
		j := &job{id: randomID(), queue: watches, Text: "watch", Steps: []*step{{Count: standingTasks, CPU: 1500, MemoryMB: 1000, EstimateMS: 500, LongRunning: true, MaxUnavailable: 1, work: standingStartup}}}
		d.client.submit(j)
		time.AfterFunc(standingTime, func() { d.client.cancel(j) })
		time.Sleep(standingPause)
		if trouble && time.Now().After(nextWave) {
			first := waves % (budgetMachines / budgetWave) * budgetWave
			waves++
			d.cloud.request(waveRequest{Wave: waves, Machines: machines[first : first+budgetWave], FinishBy: 20, MaxCount: budgetWave})
			nextWave = time.Now().Add(wavePause)
		}
	}
	time.Sleep(3 * time.Second)
	d.finish("AVAIL")
}

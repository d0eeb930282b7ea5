//go:build review

package main

import (
	"fmt"
	"time"
)

// The deployment and the disruptions of new-runners.
const (
	oldRunners = 40
	newRunners = 12              // 0.3 of the runners, the share that the page of kinds names for added runners
	joinGap    = 2 * time.Second // over which they are added
	outage     = 4500 * time.Millisecond
	killAt     = 1500 * time.Millisecond // after the beginning of the outage
	restart    = 500 * time.Millisecond  // after which the platform starts a killed process again
	lastReturn = 1900 * time.Millisecond // after the return of the store, when the entry of the last runner is back
)

// newRunnersAndOutage lets runners join, then the store be away, so that the entries of runners lapse,
// and the coordinator be killed meanwhile. The entries of the runners are back within two seconds of
// the return of the store, that of the runner that joined last comes last.
func newRunnersAndOutage(d *deployment, trouble bool) {
	renders := d.addQueue("renders", 1, 3)
	d.configure()
	for i := range oldRunners {
		d.addRunner(runnerOptions{id: fmt.Sprintf("i-old%02d", i), cpu: 4000, memoryMB: 64000, labels: []string{"a", fmt.Sprintf("r1-%d", i/6)}, returnDelay: time.Duration(50+15*i) * time.Millisecond})
	}
	d.startNodes(0.16, 0.16, 0.16)
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	go func() { // more work than the runners can take
		for {
			select {
			case <-stop:
				return
			case <-time.After(700 * time.Millisecond):
			}
			go d.client.submit(&job{id: randomID(), queue: renders, Text: "render", Steps: []*step{{Count: 20, CPU: 1000, MemoryMB: 500, EstimateMS: 8000, work: 8 * time.Second}}})
		}
	}()
	time.Sleep(6 * time.Second)
	for i := range newRunners {
		delay := time.Duration(300+60*i) * time.Millisecond
		if i == newRunners-1 {
			delay = lastReturn
		}
		d.addRunner(runnerOptions{id: fmt.Sprintf("i-new%02d", i), cpu: 4000, memoryMB: 64000, labels: []string{"a", "r1-9"}, returnDelay: delay})
		time.Sleep(joinGap / newRunners)
	}
	if trouble {
		d.store.setDown(true)
		d.note("the store is down")
		time.Sleep(killAt)
		if c := d.coordinator(); c != nil {
			c.kill()
			time.Sleep(restart)
			c.start()
		}
		time.Sleep(time.Until(d.store.downSince().Add(outage)))
		d.store.setDown(false)
		d.note("the store is back")
	}
	time.Sleep(12 * time.Second)
	close(stop)
	time.Sleep(3 * time.Second)
	d.finish("TWICE")
}

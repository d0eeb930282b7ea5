//go:build review

package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// Times of takeoversAfterLoss, from the moment at which the late order was sent.
const (
	loss       = 4 * time.Second // when the runner is lost for good
	firstKill  = 20 * time.Second
	secondKill = 42 * time.Second
	playEnd    = 72 * time.Second
	// certainEnd is when every run that the late order can have started has ended: the order is carried
	// out 12 s later at the most, and a lease lasts 10 s on a clock that may be 2% slow.
	certainEnd = 23 * time.Second
)

// takeoversAfterLoss leaves the first attempt to start a task without an answer; the next one is answered.
// The runner is lost for good, and the coordinator is killed twice, 22 s apart.
func takeoversAfterLoss(d *deployment, trouble bool) {
	renders := d.addQueue("renders", 1, 3)
	d.configure()
	for i := range 11 {
		d.addRunner(runnerOptions{id: fmt.Sprintf("i-%02d", i), cpu: 32000, memoryMB: 128000, labels: []string{"a", "r1-1"}})
	}
	target := d.addRunner(runnerOptions{id: "i-11", cpu: 32000, memoryMB: 128000, labels: []string{"b", "r1-2"}})
	d.startNodes(0.16, 0.16, 0.16)
	time.Sleep(2 * time.Second)
	j := &job{id: randomID(), queue: renders, Text: "die path", Steps: []*step{{Count: 1, CPU: 1000, MemoryMB: 500, EstimateMS: 8000, Requires: "b", work: 8 * time.Second}}}
	var hit atomic.Bool
	if trouble {
		target.orderFault = func() (bool, time.Duration) { return !hit.Swap(true), 12 * time.Second }
	}
	sent := time.Now()
	d.client.submit(j)
	until := func(at time.Duration) { time.Sleep(time.Until(sent.Add(at))) }
	until(loss)
	d.addRunner(runnerOptions{id: "i-12", cpu: 32000, memoryMB: 128000, labels: []string{"b", "r1-2"}})
	if trouble {
		target.stop("lost for good")
		for _, at := range []time.Duration{firstKill, secondKill} {
			until(at)
			if c := d.coordinator(); c != nil {
				c.kill()
				time.Sleep(restart)
				c.start()
			}
		}
	}
	var idle time.Duration // since certainEnd
	for at := certainEnd; at < playEnd && !d.isDone(j); at += 100 * time.Millisecond {
		until(at)
		if d.countRunning(j) == 0 && !d.isDone(j) {
			idle += 100 * time.Millisecond
		}
	}
	d.note("job %s had nothing running for %v after every late run had ended", j.id, idle)
	if idle > 20*time.Second {
		d.broken("LOST", "job %s had nothing running for %v from %v after its start on, and a runner for it is idle", j.id, idle, certainEnd)
	}
	d.finish("LOST")
}

func (d *deployment) countRunning(j *job) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for name, t := range d.tasks {
		if strings.HasPrefix(name, j.id) {
			n += len(t.running)
		}
	}
	return n
}

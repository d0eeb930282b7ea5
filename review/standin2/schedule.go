//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Figures of the case.
const (
	ordinaryWork   = 300 * time.Millisecond
	ordinaryCPU    = 2000
	scheduleCount  = 4000   // tasks of an occurrence
	scheduleTimes  = 10_000 // occurrences: a week of them
	schedulePeriod = time.Minute
	trafficTime    = 40 * time.Second
	finishTime     = 14 * time.Second // finish_s
	idleTime       = 3 * time.Second  // for which a job may have nothing running
)

// playSchedule hands in ordinary jobs for trafficTime, and after 10 s one scheduled job that can
// never be done. With the disruption the times of its occurrences have all passed; without it,
// its first time is a minute ahead.
func playSchedule(ctx context.Context, rec *record, trouble bool) (string, error) {
	plan := func(string, int) taskPlan { return taskPlan{work: ordinaryWork} }
	d, err := deploy(ctx, rec, 12, 32000, 3, memoryMB, plan)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return "", err
	}
	c := newClients(d)
	var accepted []string
	first := time.Now().Add(-scheduleTimes * schedulePeriod)
	if !trouble {
		first = time.Now().Add(schedulePeriod)
	}
	began := time.Now()
	handedIn := false
	for n := 0; time.Since(began) < trafficTime; n++ {
		id := fmt.Sprintf("%016x", 0xabc0000+n)
		if c.submit(id, ordinaryJob()) {
			accepted = append(accepted, id)
		}
		if !handedIn && time.Since(began) > 10*time.Second {
			handedIn = true
			if !c.submit("00000000000feed0", map[string]any{"spec": "scheduled", "repeats": scheduleTimes, "first-ms": first.UnixMilli(), "interval-ms": schedulePeriod.Milliseconds(),
				"steps": []any{map[string]any{"count": scheduleCount, "cpu": 500, "mem-mb": 256, "estimate-ms": 300, "requires": "no-such-label"}}}) {
				return "", errors.New("the scheduled job was not accepted")
			}
		}
		if err := sleep(ctx, 250*time.Millisecond); err != nil {
			return "", err
		}
	}
	rec.write("end of the traffic, %d jobs accepted", len(accepted))
	if err := sleep(ctx, finishTime); err != nil {
		return "", err
	}
	broken := d.findIdleJob(ctx, c, accepted)
	d.recordEnds()
	return broken, nil
}

// findIdleJob asks for the accepted jobs and returns a description of those that are not completed
// and have nothing running for idleTime, while all runners together are less than half in use.
func (d *deployment) findIdleJob(ctx context.Context, c *clients, accepted []string) string {
	var open []string
	for _, id := range accepted {
		if s := c.state(id); s != "completed" {
			open = append(open, id+" "+s)
		}
	}
	if len(open) == 0 {
		return ""
	}
	for began := time.Now(); time.Since(began) < idleTime; {
		if d.countRuns() > 0 {
			d.rec.write("%d jobs are open, some tasks run", len(open))
			return ""
		}
		if sleep(ctx, 20*time.Millisecond) != nil {
			return ""
		}
	}
	return fmt.Sprintf("LOST: %d of %d accepted jobs are not completed and had nothing running for %v while no runner had any work, the first is %s", len(open), len(accepted), idleTime, open[0])
}

// countRuns returns the number of runs in progress.
func (d *deployment) countRuns() int {
	n := 0
	for _, r := range d.runners {
		r.mu.Lock()
		n += len(r.running)
		r.mu.Unlock()
	}
	return n
}

// recordEnds writes how the processes of the instances have ended.
func (d *deployment) recordEnds() {
	for _, inst := range d.instances {
		inst.mu.Lock()
		d.rec.write("%s: %d ends because of memory, %d other ends by itself, peak %d MB", inst.name, inst.memEnds, inst.ends-inst.memEnds, inst.peakMB)
		inst.mu.Unlock()
	}
}

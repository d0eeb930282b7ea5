//go:build review

package main

import "time"

// playEnds lets a fleet work through a backlog of short tasks while the store is down for
// a few seconds. More than 500 runs end on each runner meanwhile.
func playEnds(rec *record, trouble bool) int {
	const (
		jobCount, tasksPerJob = 40, 200
		taskTime              = 700 * time.Millisecond
		outage                = 4500 * time.Millisecond
		runners               = 4
	)
	d, err := startDeployment(rec, 3, runners, 32000, 64000, 3, func(string, string) work { return work{takes: taskTime} })
	defer d.stop()
	if err != nil {
		rec.say("not run: %v", err)
		return notRun
	}
	job := map[string]any{"spec": "short", "steps": []any{map[string]any{"count": tasksPerJob, "cpu": 250, "mem-mb": 64, "estimate-ms": taskTime.Milliseconds()}}}
	for n := range jobCount {
		if !d.submit(jobID(n), job) {
			rec.say("not run: a job was not accepted")
			return notRun
		}
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		rec.say("the store is down for %v", outage)
		d.store.down.Store(true)
	}
	time.Sleep(outage)
	if trouble {
		rec.say("the store is back")
		d.store.down.Store(false)
	}
	completed := 0
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until) && completed < jobCount; time.Sleep(time.Second) {
		completed = 0
		for n := range jobCount {
			if d.state(jobID(n)) == "completed" {
				completed++
			}
		}
	}
	time.Sleep(time.Second) // the last ends are taken note of
	for _, r := range d.runners {
		r.mu.Lock()
		rec.say("%s: %d runs, at most %d ends were not taken note of at a time, %d lapses", r.id, len(r.all), r.mostUnnoted, len(r.lapses))
		r.mu.Unlock()
	}
	rec.say("%d of %d jobs are shown as completed", completed, jobCount)
	found := d.startsAfterDone()
	for _, line := range found[:min(len(found), 10)] {
		rec.say("TWICE: %s", line)
	}
	rec.say("TWICE: %d starts after a run had ended done", len(found))
	if len(found) > 0 {
		return ruleBroken
	}
	if completed < jobCount {
		return notRun
	}
	return ruleHeld
}

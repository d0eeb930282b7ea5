//go:build review

package main

import (
	"strings"
	"time"
)

// playKind keeps a fleet busy with tasks that require a kind of runner. With trouble, one
// runner is cut off from the store, crashes behind the cut and starts again under its id, as
// a smaller runner of another kind.
func playKind(rec *record, trouble bool) int {
	const (
		jobCount, tasksPerJob = 30, 40
		cpu                   = 1000
		taskTime              = 900 * time.Millisecond
		cut                   = 4 * time.Second
		fleet                 = 5
	)
	d, err := startDeployment(rec, 3, fleet, 32000, 64000, 3, func(string, string) work { return work{takes: taskTime, cpu: cpu, requires: "a"} })
	defer d.stop()
	if err != nil {
		rec.say("not run: %v", err)
		return notRun
	}
	job := map[string]any{"spec": "short", "steps": []any{map[string]any{"count": tasksPerJob, "cpu": cpu, "mem-mb": 64, "estimate-ms": taskTime.Milliseconds(), "requires": "a"}}}
	for n := range jobCount {
		if !d.submit(jobID(n), job) {
			rec.say("not run: a job was not accepted")
			return notRun
		}
	}
	time.Sleep(time.Second)
	victim := d.runners[0]
	if trouble {
		victim.mu.Lock()
		victim.isCutOff = true
		victim.mu.Unlock()
		rec.say("%s is cut off from the store for %v, not from the instances", victim.id, cut)
		time.Sleep(500 * time.Millisecond)
		victim.crash("b", 16000)
		time.Sleep(cut - 500*time.Millisecond)
		victim.mu.Lock()
		victim.isCutOff = false
		victim.mu.Unlock()
		d.register(victim)
		rec.say("%s reaches the store again and has written its entry", victim.id)
	} else {
		time.Sleep(cut)
	}
	completed := 0
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until) && completed < jobCount; time.Sleep(time.Second) {
		completed = 0
		for n := range jobCount {
			if d.state(jobID(n)) == "completed" {
				completed++
			}
		}
	}
	rec.say("%d of %d jobs are shown as completed", completed, jobCount)
	violations, limit := 0, 0
	for _, r := range d.runners {
		r.mu.Lock()
		violations += len(r.violations)
		for _, v := range r.violations {
			if strings.HasPrefix(v, "LIMIT") {
				limit++
			}
		}
		for _, v := range r.violations[:min(len(r.violations), 5)] {
			rec.say("%s", v)
		}
		r.mu.Unlock()
	}
	rec.say("%d starts broke ROUTE, %d LIMIT", violations-limit, limit)
	if violations > 0 {
		return ruleBroken
	}
	if completed < jobCount {
		return notRun
	}
	return ruleHeld
}

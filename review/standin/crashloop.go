//go:build review

package main

import (
	"strings"
	"time"
)

// playCrashLoop lets small jobs come beside 20 standing jobs. With trouble, the tasks of one of
// the standing jobs fail soon after each start. Then it asks for the states of the small jobs.
func playCrashLoop(rec *record, trouble bool) int {
	const (
		watched       = 85 * time.Second
		standingTasks = 48
		soundStanding = 19 // further standing jobs, whose tasks last
		pause         = 500 * time.Millisecond
		finish        = 14 * time.Second // finish_s
		ack           = 4 * time.Second  // ack-ms
	)
	isStanding := func(task string) bool { return strings.HasPrefix(task, jobID(999)) }
	soundID := func(n int) string { return jobID(900_000 + n) }
	isSoundStanding := func(task string) bool {
		return len(task) > 16 && task[:16] >= soundID(0) && task[:16] < soundID(soundStanding)
	}
	d, err := startDeployment(rec, 3, 24, 32000, 64000, 3, func(task, _ string) work {
		switch {
		case isSoundStanding(task):
			return work{}
		case !isStanding(task):
			return work{takes: time.Second}
		case trouble:
			return work{failsAfter: 20 * time.Millisecond}
		}
		return work{}
	})
	defer d.stop()
	if err != nil {
		rec.say("not run: %v", err)
		return notRun
	}
	small := map[string]any{"spec": "small", "steps": []any{
		map[string]any{"count": 3, "cpu": 1000, "mem-mb": 64, "estimate-ms": 1000},
		map[string]any{"count": 3, "cpu": 1000, "mem-mb": 64, "estimate-ms": 1000, "after": []int{0}},
	}}
	standing := map[string]any{"spec": "standing", "steps": []any{map[string]any{"count": standingTasks, "cpu": 1000, "mem-mb": 64, "long-running": true, "spread": 2}}}
	if !d.submit(jobID(999), standing) {
		rec.say("not run: the standing job was not accepted")
		return notRun
	}
	sound := map[string]any{"spec": "standing", "steps": []any{map[string]any{"count": 2, "cpu": 500, "mem-mb": 64, "long-running": true}}}
	for n := range soundStanding {
		if !d.submit(soundID(n), sound) {
			rec.say("not run: a standing job was not accepted")
			return notRun
		}
	}
	count := 0
	for until := time.Now().Add(watched); time.Now().Before(until); count++ {
		if !d.submit(jobID(count), small) {
			rec.say("not run: a job was not accepted")
			return notRun
		}
		time.Sleep(pause)
	}
	rec.say("the traffic has ended")
	time.Sleep(finish)
	notCompleted := 0
	for n := range count {
		if d.state(jobID(n)) != "completed" {
			notCompleted++
		}
	}
	ends, unnoted, failures, undone := 0, 0, 0, 0
	for task, runs := range d.allRuns() {
		isDone := false
		for _, t := range runs {
			isDone = isDone || t.how == "done"
			if t.how == "failed" {
				failures++
			}
			if !t.listedAt.IsZero() && time.Since(t.listedAt) > ack {
				ends++
				if t.notedAt.IsZero() {
					unnoted++
				}
			}
		}
		if !isStanding(task) && !isSoundStanding(task) && !isDone {
			undone++
		}
	}
	rec.say("%d runs of the standing job have failed", failures)
	rec.say("%d of %d small jobs are not shown as completed %v after the traffic; %d of their tasks have not ended done", notCompleted, count, finish, undone)
	rec.say("%d of %d ends that runners have listed for longer than %v are not taken note of", unnoted, ends, ack)
	rec.say("the store refused %d transactions because of a row of more than %d bytes", d.store.tooLarge.Load(), rowBytes)
	if unnoted*5 > ends {
		return ruleBroken
	}
	return ruleHeld
}

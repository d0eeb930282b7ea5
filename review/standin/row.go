//go:build review

package main

import (
	"strings"
	"time"
)

// playRow lets small jobs come for some seconds. With trouble, one wide job with
// checkpoints comes among them. Then it asks for the states of the small jobs.
func playRow(rec *record, trouble bool) int {
	const (
		before, after = 20, 40 // small jobs before and after the wide one
		pause         = 250 * time.Millisecond
		wideTasks     = 3000
		finish        = 14 * time.Second // finish_s
		ack           = 4 * time.Second  // ack-ms
	)
	isWide := func(task string) bool { return strings.HasPrefix(task, jobID(999)) }
	d, err := startDeployment(rec, 3, 24, 32000, 64000, 3, func(task, _ string) work {
		if isWide(task) {
			return work{takes: 5 * time.Second, checkpoints: true}
		}
		return work{takes: time.Second}
	})
	defer d.stop()
	if err != nil {
		rec.say("not run: %v", err)
		return notRun
	}
	small := map[string]any{"spec": "small", "steps": []any{
		map[string]any{"count": 6, "cpu": 1000, "mem-mb": 64, "estimate-ms": 1000},
		map[string]any{"count": 6, "cpu": 1000, "mem-mb": 64, "estimate-ms": 1000, "after": []int{0}},
	}}
	wide := map[string]any{"spec": "wide", "steps": []any{map[string]any{"count": wideTasks, "cpu": 250, "mem-mb": 64, "estimate-ms": 5000, "checkpoint": true}}}
	for n := range before + after {
		if n == before && trouble {
			rec.say("a job of %d tasks comes", wideTasks)
			if !d.submit(jobID(999), wide) {
				rec.say("the wide job was not accepted")
			}
		}
		if !d.submit(jobID(n), small) {
			rec.say("not run: a job was not accepted")
			return notRun
		}
		time.Sleep(pause)
	}
	rec.say("the traffic has ended")
	time.Sleep(finish)
	notCompleted := 0
	for n := range before + after {
		if d.state(jobID(n)) != "completed" {
			notCompleted++
		}
	}
	now := time.Now()
	ends, unnoted, undone := 0, 0, 0
	doneTasks := map[string]bool{}
	for task, runs := range d.allRuns() {
		for _, t := range runs {
			if t.how == "done" {
				doneTasks[task] = true
			}
			if !t.listedAt.IsZero() && now.Sub(t.listedAt) > ack {
				ends++
				if t.notedAt.IsZero() {
					unnoted++
				}
			}
		}
		if !isWide(task) && !doneTasks[task] {
			undone++
		}
	}
	rec.say("%d of %d small jobs are not shown as completed %v after the traffic; %d of their tasks have not ended done", notCompleted, before+after, finish, undone)
	rec.say("%d of %d ends that runners have listed for longer than %v are not taken note of", unnoted, ends, ack)
	rec.say("the store refused %d transactions because of a row of more than %d bytes", d.store.tooLarge.Load(), rowBytes)
	rec.say("%d starts after a run had ended done (rule TWICE)", len(d.startsAfterDone()))
	if unnoted*5 > ends {
		return ruleBroken
	}
	return ruleHeld
}

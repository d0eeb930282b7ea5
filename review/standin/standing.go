//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// playStanding lets proofs come at a steady rate and, at the end of the traffic, a job whose
// tasks last. With trouble, the proofs come at 2.6 times that rate in the last 4 s.
func playStanding(rec *record, trouble bool) int {
	const (
		fleet, runnerCPU  = 4, 32000
		perSecond         = 6.0 // proofs that come in a second
		before            = 6 * time.Second
		burstX            = 2.6
		burstFor          = 4 * time.Second
		tasks, taskCPU    = 6, 2300
		standingTasks     = 6
		standingCPU       = 8000
		taskTime          = time.Second
		finish            = 14 * time.Second // finish_s
		allowed           = 3 * time.Second  // without a run although there is room
		watched           = 60 * time.Second // at most, after the end of the traffic
		standing, ordinal = 999, 1000
	)
	standingID := jobID(standing)
	isStanding := func(task string) bool { return len(task) > 16 && task[:16] == standingID }
	d, err := startDeployment(rec, 3, fleet, runnerCPU, 64000, 3, func(task, _ string) work {
		if isStanding(task) {
			return work{cpu: standingCPU}
		}
		return work{takes: taskTime, cpu: taskCPU}
	})
	defer d.stop()
	if err != nil {
		rec.say("not run: %v", err)
		return notRun
	}
	proof := map[string]any{"spec": "proof", "steps": []any{map[string]any{"count": tasks, "cpu": taskCPU, "mem-mb": 64, "estimate-ms": taskTime.Milliseconds()}}}
	watch := map[string]any{"spec": "watch", "steps": []any{map[string]any{"count": standingTasks, "cpu": standingCPU, "mem-mb": 64, "long-running": true}}}
	var wg sync.WaitGroup
	var refused atomic.Int64
	sent := 0
	send := func(rate float64, length time.Duration) {
		for began, n := time.Now(), 0; time.Since(began) < length; n++ {
			wg.Add(1)
			go func(id string) {
				defer wg.Done()
				if !d.submit(id, proof) {
					refused.Add(1)
				}
			}(jobID(ordinal + sent))
			sent++
			time.Sleep(time.Until(began.Add(time.Duration(float64(n+1) / rate * float64(time.Second)))))
		}
	}
	send(perSecond, before)
	rate := perSecond
	if trouble {
		rate = perSecond * burstX
		rec.say("a burst: %.1f times the traffic for %v", burstX, burstFor)
	}
	send(rate, burstFor)
	wg.Wait()
	if refused.Load() > 0 {
		rec.say("not run: a job was not accepted")
		return notRun
	}
	rec.say("%d proofs are accepted", sent)
	if !d.submit(standingID, watch) {
		rec.say("not run: the standing job was not accepted")
		return notRun
	}
	trafficEnd := time.Now()
	rec.say("the standing job is accepted; the traffic has ended")
	var idleSince time.Time // since when the standing job could run and did not, later than finish
	var longest, startedAfter time.Duration
	var idleFrom time.Duration
	for time.Since(trafficEnd) < watched && startedAfter == 0 {
		time.Sleep(20 * time.Millisecond)
		used, places, isRunning := int64(0), int64(0), false
		for _, r := range d.runners {
			r.mu.Lock()
			var here int64
			for task := range r.running {
				here += r.plan(task, "").cpu
				isRunning = isRunning || isStanding(task)
			}
			r.mu.Unlock()
			used += here
			places += (runnerCPU - here) / standingCPU
		}
		now := time.Since(trafficEnd)
		switch {
		case isRunning:
			startedAfter = now
		case places < 2*standingTasks || 2*used >= fleet*runnerCPU:
			idleSince = time.Time{}
		default:
			if idleFrom == 0 && used == 0 {
				idleFrom = now
			}
			if now > finish && idleSince.IsZero() {
				idleSince = time.Now()
			}
			if !idleSince.IsZero() {
				longest = max(longest, time.Since(idleSince))
			}
		}
	}
	rec.say("all runners were idle from %v after the end of the traffic; the standing job's first task started after %v (0 s: not at all)", idleFrom.Round(time.Millisecond), startedAfter.Round(time.Millisecond))
	rec.say("state of the standing job: %s", d.state(standingID))
	rec.say("LOST: later than %v after the traffic it had nothing running for %v although there was room for it twice over and under half of the capacity was in use (%v allowed)", finish, fmt.Sprint(longest.Round(time.Millisecond)), allowed)
	if longest > allowed {
		return ruleBroken
	}
	return ruleHeld
}

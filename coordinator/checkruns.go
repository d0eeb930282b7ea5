package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/interference"
)

// Limits of CheckRuns.
const (
	// stallTimeout is the least time without progress after which a run whose pace is
	// minStallPace or more counts as stalled.
	stallTimeout = 2500 * time.Millisecond
	// minStallPace is the least pace at which missing progress shows that a run is
	// stalled.
	minStallPace = 50 // percent
	// stallAvoidTime is how long no new tasks are started on a runner with a stalled
	// run.
	stallAvoidTime = 3 * time.Second
	// A best-effort task that has run at throttledPace or less for throttledTime is
	// moved to another runner if it can resume there at minMovePace or more. One call
	// of CheckRuns moves at most maxMovesPerRound tasks for this reason.
	throttledPace    = 15 // percent
	throttledTime    = 900 * time.Millisecond
	minMovePace      = 70 // percent
	maxMovesPerRound = 3
	// nearlyDonePercent is the progress from which moving a throttled task is not
	// worthwhile.
	nearlyDonePercent = 85
	// A run of a task that is not long-running is moved unless it is expected to end at least
	// evictionMargin before its runner may stop or its machine goes down.
	evictionMargin = 500 * time.Millisecond
	// longRunningEvictionMargin is how long before a draining runner may stop all of its
	// remaining long-running tasks are stopped. It is longer than evictionMargin because
	// they are stopped together, because the registry reports a drain late, and because
	// a task that ends with its runner is unavailable until its lease has expired.
	longRunningEvictionMargin = 2 * time.Second
)

// CheckRuns stops runs so that their tasks continue on other runners: runs of throttled
// best-effort tasks, stalled runs, and runs that would not end before their draining runner
// stops or its machine goes down. It also removes runners that are not registered, have
// no runs and on which leases can't be extended, and records which long-running tasks are
// unavailable.
func (c *Core) CheckRuns(now time.Duration) {
	c.unregisterMissingRunners(now)
	c.removeGoneRunners()
	c.updateUnavailability(now)
	c.moveThrottledRuns(now)
	for _, r := range c.runners {
		if !r.hasReported || r.cannotExtendLeases {
			continue
		}
		for run := range r.runs {
			if run.state != stateRunning {
				continue
			}
			switch {
			case r.Draining && c.mustEvictBeforeStop(run, now):
				c.moveRun(run, now, "runner is draining")
			case r.cordon != nil && c.mustEvictBeforeMaintenance(run, now):
				c.moveRun(run, now, "machine goes down for maintenance")
			case c.isStalled(run, now):
				r.health.stalledRuns++
				r.health.avoidUntil = max(r.health.avoidUntil, now+stallAvoidTime)
				c.moveRun(run, now, "no progress")
			}
		}
	}
}

// removeGoneRunners removes runners that are not registered, have no runs and on which
// leases can't be extended. One whose last report was incomplete stays until its leases have
// expired: until then it may still list results of runs that this coordinator does not know.
func (c *Core) removeGoneRunners() {
	for id, r := range c.runners {
		if !r.registered && r.cannotExtendLeases && !r.results.isIncomplete && len(r.runs) == 0 {
			r.releaseReservations()
			delete(c.runners, id)
			c.runnersByID = nil
		}
	}
}

// moveThrottledRuns moves best-effort tasks that are throttled in favour of serving tasks
// to runners on which they can run faster.
func (c *Core) moveThrottledRuns(now time.Duration) {
	moves := 0
	canMove := map[interference.Kind]bool{}
	for _, r := range c.runners {
		if !r.isUsable() {
			continue
		}
		for run := range r.runs {
			if !run.isThrottled(now) || !c.mayStop(run, now) {
				continue
			}
			hasFaster, checked := canMove[run.kind]
			if !checked {
				hasFaster = c.hasFasterRunner(run, now)
				canMove[run.kind] = hasFaster
			}
			if !hasFaster {
				continue
			}
			canMove[run.kind] = false // at most one move for each image in a round
			c.moveRun(run, now, "slowed for serving tasks")
			if moves++; moves == maxMovesPerRound {
				return
			}
		}
	}
}

// isThrottled reports whether the run is a best-effort run that has been throttled for
// throttledTime and can be moved without losing much work.
func (run *taskRun) isThrottled(now time.Duration) bool {
	return run.step.BestEffort && run.step.Checkpoints && !run.step.Gang && run.state == stateRunning &&
		run.pace >= 0 && run.pace <= throttledPace && now-run.throttledSince > throttledTime && run.percent < nearlyDonePercent
}

// hasFasterRunner reports whether another runner has the free processors that the run's
// task asks for and could run it at minMovePace or more.
func (c *Core) hasFasterRunner(run *taskRun, now time.Duration) bool {
	if run.openStep == nil {
		return false
	}
	for _, r := range c.runners {
		if r == run.runner || !c.isEligible(run.openStep, r, now) || c.hasTaskOverTarget(r, now) {
			continue
		}
		if expected := c.forecastTask(r, run.step, run.kind, run.precedence); expected.freeMilli >= run.step.Resources.CPUMilli && expected.pace >= minMovePace {
			return true
		}
	}
	return false
}

// canStartElsewhere reports whether a run's task could be started on another runner now.
// The run's own runner is not considered because it is draining or cordoned.
func (c *Core) canStartElsewhere(run *taskRun, now time.Duration) bool {
	return run.openStep == nil || c.pickRunner(run.openStep, now, nil, 0) != nil
}

// moveRun stops a run so that its task is started on another runner.
func (c *Core) moveRun(run *taskRun, now time.Duration, cause string) {
	c.counters("runs_moved", 1)
	c.log.WithFields(logrus.Fields{"task": run.task, "run": run.number, "runner": run.runner.ID, "percent": run.percent, "cause": cause}).Info("run moved")
	c.evictRun(run, now)
}

// isStalled reports whether a run has made no progress for stallTimeout and for half of
// its estimated time. Long-running tasks, members of gangs and runs that are slowed
// below minStallPace never count as stalled.
func (c *Core) isStalled(run *taskRun, now time.Duration) bool {
	if run.step.LongRunning || run.step.Gang || run.pace < minStallPace || run.progressedAt == 0 {
		return false
	}
	return now-max(run.progressedAt, run.startedAt) > max(stallTimeout, run.job.taskEstimates[run.task.Step]/2)
}

// mustEvictBeforeStop reports whether a run has to be moved from its draining runner now. A
// long-running task is moved when its disruption budget allows it and another runner
// has free capacity for it, or when no more than longRunningEvictionMargin is left. Any
// other task is moved if it would not end in time before the runner stops.
func (c *Core) mustEvictBeforeStop(run *taskRun, now time.Duration) bool {
	timeToLeave := run.runner.earliestStop - now
	if run.step.LongRunning {
		return timeToLeave <= longRunningEvictionMargin || c.mayStop(run, now) && c.canStartElsewhere(run, now)
	}
	return run.timeLeft(now) > timeToLeave-evictionMargin
}

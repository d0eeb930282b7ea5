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
	// maxStallDoublings bounds how often the time is doubled that a task may take without
	// progress. A run reports whole percents, so a task of eight hours gets through.
	maxStallDoublings = 7
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
// best-effort tasks, stalled runs, and runs that should leave their draining or cordoned runner.
// It also removes runners that are not registered, have no runs and on which leases can't be
// extended, and records which long-running tasks are unavailable.
func (c *Core) CheckRuns(now time.Duration) {
	c.unregisterMissingRunners(now)
	c.removeGoneRunners()
	c.updateUnavailability(now)
	c.releaseStaleReservations(now)
	c.moveLeavingRuns(now)
	c.moveStalledRuns(now)
	c.moveThrottledRuns(now)
}

// moveLeavingRuns moves the runs that should leave their runners, in one decision.
func (c *Core) moveLeavingRuns(now time.Duration) {
	evacuations := c.collectEvacuationDepartures(now)
	remaining := c.moveDepartures(append(c.collectDepartures(now), evacuations...), now)
	c.recordEvacuationMoves(evacuations, remaining, now)
}

// moveStalledRuns stops the stalled runs, and avoids their runners for a while.
func (c *Core) moveStalledRuns(now time.Duration) {
	for _, r := range c.runners {
		if !r.hasReported || r.cannotExtendLeases {
			continue
		}
		for run := range r.runs {
			if run.state == stateRunning && c.isStalled(run, now) {
				c.moveStalledRun(run, now)
			}
		}
	}
}

// moveStalledRun stops a stalled run. Its runner is avoided if no run of the task has stalled before;
// else the task may just take far longer than estimated.
func (c *Core) moveStalledRun(run *taskRun, now time.Duration) {
	if run.earlierStalls() == 0 {
		run.runner.health.recordStall(now)
	}
	run.job.stalls[run.task] = run.earlierStalls() + 1
	c.moveRun(run, now, "no progress")
}

// earlierStalls returns how many earlier runs of the task have stalled, as far as is known. Each
// earlier run of an adopted one may have.
func (run *taskRun) earlierStalls() int {
	if run.adoptedAt > 0 {
		return max(run.job.stalls[run.task], run.number-1)
	}
	return run.job.stalls[run.task]
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
	isChecked := map[interference.Kind]bool{}
	for _, r := range c.runners {
		if !r.isUsable() {
			continue
		}
		for run := range r.runs {
			if !run.isThrottled(now) || !c.mayStop(run, now) {
				continue
			}
			if isChecked[run.kind] {
				continue
			}
			isChecked[run.kind] = true // at most one move for each image in a round
			target := c.fasterRunner(run, now)
			if target == nil {
				continue
			}
			c.moveRun(run, now, "slowed for serving tasks")
			c.reserveForMove(run, target, now)
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

// fasterRunner returns another runner that has the free processors that the run's task asks for
// and could run it at minMovePace or more, or nil. It counts nothing that is reserved for tasks
// which were stopped before, and passes over runners to which a task of the same image moves
// already, since the pace there is that of one more task.
func (c *Core) fasterRunner(run *taskRun, now time.Duration) *runner {
	s := run.openStep
	if s == nil {
		return nil
	}
	for _, r := range c.sortedRunners() {
		if r == run.runner || !c.isEligible(s, r, now) || !r.hasUnreservedCapacityFor(s) || r.hasReservationOfImage(run.kind) || c.hasTaskOverTarget(r, now) {
			continue
		}
		expected := c.forecastTask(r, run.step, run.kind, run.precedence)
		if expected.freeMilli-r.reservedBestEffortMilli(nil) >= run.step.Resources.CPUMilli && expected.pace >= minMovePace {
			return r
		}
	}
	return nil
}

// moveRun stops a run so that its task is started on another runner.
func (c *Core) moveRun(run *taskRun, now time.Duration, cause string) {
	c.counters("runs_moved", 1)
	c.log.WithFields(logrus.Fields{"task": run.task, "run": run.number, "runner": run.runner.ID, "percent": run.percent, "cause": cause}).Info("run moved")
	c.evictRun(run, now)
}

// isStalled reports whether a run has made no progress for stallTimeout and for half of
// its estimated time, both doubled for each earlier run of the task that has stalled: otherwise a
// task that takes far longer than estimated would be begun anew for ever. Long-running tasks,
// members of gangs and runs that are slowed below minStallPace never count as stalled.
func (c *Core) isStalled(run *taskRun, now time.Duration) bool {
	if run.step.LongRunning || run.step.Gang || run.pace < minStallPace || run.progressedAt == 0 {
		return false
	}
	timeout := max(stallTimeout, run.job.taskEstimates[run.task.Step]/2) << min(run.earlierStalls(), maxStallDoublings)
	return now-max(run.progressedAt, run.startedAt) > timeout
}

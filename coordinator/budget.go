package coordinator

import (
	"time"

	"bergamotstile/jobs"
)

// countedGraceShare is the part of Limits.UnavailableGrace after which an unavailable task
// counts against its step's disruption budget. The remaining part covers the delay until the
// coordinator sees that a task is unavailable: a poll of a silent runner has to time out
// first.
const countedGraceShare = 0.5

// unavailability records since when a task of a long-running step has been unavailable.
type unavailability struct {
	since time.Duration
	// stoppedByCoordinator is set if a coordinator stopped the task's run, or may have.
	stoppedByCoordinator bool
}

// hasDisruptionBudget reports whether the step has a disruption budget.
func hasDisruptionBudget(step *jobs.Step) bool { return step.LongRunning && step.MaxUnavailable > 0 }

// updateUnavailability updates which tasks of steps with a disruption budget are unavailable.
func (c *Core) updateUnavailability(now time.Duration) {
	for _, j := range c.jobs {
		for _, s := range j.openSteps {
			if hasDisruptionBudget(s.step) {
				s.updateUnavailability(now)
			}
		}
	}
}

func (s *openStep) updateUnavailability(now time.Duration) {
	// When this coordinator inherits a job, its predecessor may have stopped the unavailable
	// tasks.
	inherited := s.unavailable == nil && s.job.inherited
	if s.unavailable == nil {
		s.unavailable = map[int]unavailability{}
	}
	for index := range s.step.Count {
		if s.isAvailable(index) {
			delete(s.unavailable, index)
		} else if _, known := s.unavailable[index]; !known {
			s.unavailable[index] = unavailability{since: now, stoppedByCoordinator: inherited}
		}
	}
}

// isAvailable reports whether a task of a long-running step has a run that has started up,
// is not being stopped, and is on a runner on which leases can be extended.
func (s *openStep) isAvailable(index int) bool {
	for _, run := range s.job.runs[s.taskID(index)] {
		if run.state == stateRunning && run.percent >= fullPace && !run.runner.cannotExtendLeases {
			return true
		}
	}
	return false
}

// countOthersUnavailable returns the number of tasks that use up the disruption budget of a run's
// step, without the run's own.
func (c *Core) countOthersUnavailable(run *taskRun, now time.Duration) int {
	countedAfter := time.Duration(countedGraceShare * float64(c.limits.UnavailableGrace))
	n := 0
	for index, u := range run.openStep.unavailable {
		if index != run.task.Index && (u.stoppedByCoordinator || now-u.since >= countedAfter) {
			n++
		}
	}
	return n
}

// mayStop reports whether the disruption budget of a run's step allows the run to be
// stopped. That the last report does not show the task as available makes no difference: it may
// have started up since.
func (c *Core) mayStop(run *taskRun, now time.Duration) bool { return c.mayStopBeside(run, 0, now) }

// mayStopBeside reports whether the disruption budget allows the run to be stopped in addition to
// a number of planned stops of other tasks of the step.
func (c *Core) mayStopBeside(run *taskRun, planned int, now time.Duration) bool {
	if !hasDisruptionBudget(run.step) || run.openStep == nil {
		return true
	}
	return c.countOthersUnavailable(run, now)+planned < run.step.MaxUnavailable
}

// evictRun stops a run so that its task continues elsewhere, and counts the task against
// its step's disruption budget.
func (c *Core) evictRun(run *taskRun, now time.Duration) {
	if s := run.openStep; s != nil && hasDisruptionBudget(run.step) {
		if s.unavailable == nil {
			s.unavailable = map[int]unavailability{}
		}
		s.unavailable[run.task.Index] = unavailability{since: now, stoppedByCoordinator: true}
	}
	c.stopRun(run, now)
}

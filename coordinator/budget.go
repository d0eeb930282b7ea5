package coordinator

import (
	"time"

	"bergamotstile/jobs"
)

// countedNoticeShare is the part of the notice time after which an unavailable task counts
// against its step's disruption budget. The remaining part covers the delay until the
// coordinator sees that a task is unavailable: calls to a silent runner have to time out
// first.
const countedNoticeShare = 0.5

// unavailability records since when a task of a long-running step has been unavailable.
type unavailability struct {
	since time.Duration
	// stoppedByCoordinator is set if a coordinator stopped the task's run, or may have.
	stoppedByCoordinator bool
}

// hasDisruptionBudget reports whether the step has a disruption budget.
func hasDisruptionBudget(s *jobs.Step) bool { return s.LongRunning && s.MaxUnavailable > 0 }

// updateUnavailability updates which tasks of steps with a disruption budget are unavailable.
func (c *Core) updateUnavailability(now time.Duration) {
	for _, j := range c.jobs {
		for _, w := range j.openSteps {
			if hasDisruptionBudget(w.step) {
				w.updateUnavailability(now)
			}
		}
	}
}

func (w *openStep) updateUnavailability(now time.Duration) {
	// When this coordinator takes on a job, its predecessor may have stopped the
	// unavailable tasks.
	inherited := w.unavailable == nil && w.job.inherited
	if w.unavailable == nil {
		w.unavailable = map[int]unavailability{}
	}
	for index := range w.step.Count {
		if w.isAvailable(index) {
			delete(w.unavailable, index)
		} else if _, known := w.unavailable[index]; !known {
			w.unavailable[index] = unavailability{since: now, stoppedByCoordinator: inherited}
		}
	}
}

// isAvailable reports whether a task of a long-running step has a run that has started up,
// is not being stopped, and is on a runner that answers.
func (w *openStep) isAvailable(index int) bool {
	for _, x := range w.job.runs[w.taskID(index)] {
		if x.phase == running && x.percent >= fullPace && !x.runner.suspect {
			return true
		}
	}
	return false
}

// countUnavailable returns the number of tasks that use up the disruption budget of a step.
func (c *Core) countUnavailable(w *openStep, now time.Duration) int {
	countedAfter := time.Duration(countedNoticeShare * float64(c.limits.UnavailableGrace))
	n := 0
	for _, u := range w.unavailable {
		if u.stoppedByCoordinator || now-u.since >= countedAfter {
			n++
		}
	}
	return n
}

// mayStop reports whether the disruption budget of a run's step allows the run to be
// stopped. The stop of an unavailable task is always allowed, as it makes no more tasks
// unavailable.
func (c *Core) mayStop(x *taskRun, now time.Duration) bool {
	w := x.openStep
	if !hasDisruptionBudget(x.step) || w == nil || !w.isAvailable(x.task.Index) {
		return true
	}
	return c.countUnavailable(w, now) < x.step.MaxUnavailable
}

// evictRun stops a run so that its task continues elsewhere, and counts the task against
// its step's disruption budget.
func (c *Core) evictRun(x *taskRun, now time.Duration) {
	if w := x.openStep; w != nil && hasDisruptionBudget(x.step) {
		if w.unavailable == nil {
			w.unavailable = map[int]unavailability{}
		}
		w.unavailable[x.task.Index] = unavailability{since: now, stoppedByCoordinator: true}
	}
	c.stopRun(x, now)
}

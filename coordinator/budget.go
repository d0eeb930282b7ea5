package coordinator

import (
	"time"

	"bergamotstile/jobs"
)

// noticeShare is the part of the notice time after which a task that is not at
// work counts against its step's disruption budget. The rest covers how much
// later than it began an absence is seen: calls to a silent runner have to time
// out first.
const noticeShare = 0.5

// absence is since when a task of a long-running step has not been at work.
type absence struct {
	since time.Duration
	// ordered is set if a stop of a coordinator ended its run, or may have.
	ordered bool
}

// budgeted reports whether the step has a disruption budget.
func budgeted(s *jobs.Step) bool { return s.LongRunning && s.MaxUnavailable > 0 }

// noteAbsences follows which tasks of steps with a disruption budget are at
// work.
func (c *Core) noteAbsences(now time.Duration) {
	for _, j := range c.jobs {
		for _, w := range j.openSteps {
			if budgeted(w.step) {
				w.noteAbsences(now)
			}
		}
	}
}

func (w *openStep) noteAbsences(now time.Duration) {
	// A predecessor may have stopped what is not at work when a job is taken on.
	inherited := w.unavailable == nil && w.job.inherited
	if w.unavailable == nil {
		w.unavailable = map[int]absence{}
	}
	for index := range w.step.Count {
		if w.atWork(index) {
			delete(w.unavailable, index)
		} else if _, known := w.unavailable[index]; !known {
			w.unavailable[index] = absence{since: now, ordered: inherited}
		}
	}
}

// atWork reports whether a run of a long-running task has started up on a
// runner that answers, and is not being stopped.
func (w *openStep) atWork(index int) bool {
	for _, x := range w.job.runs[w.taskID(index)] {
		if x.phase == running && x.percent >= fullPace && !x.runner.suspect {
			return true
		}
	}
	return false
}

// away counts the tasks of a step that use up its disruption budget.
func (c *Core) away(w *openStep, now time.Duration) int {
	notice := time.Duration(noticeShare * float64(c.limits.UnavailableGrace))
	n := 0
	for _, a := range w.unavailable {
		if a.ordered || now-a.since >= notice {
			n++
		}
	}
	return n
}

// mayStop reports whether the disruption budget of a run's step allows to stop
// it. A task that is not at work can't be taken away.
func (c *Core) mayStop(x *taskRun, now time.Duration) bool {
	w := x.openStep
	if !budgeted(x.step) || w == nil || !w.atWork(x.task.Index) {
		return true
	}
	return c.away(w, now) < x.step.MaxUnavailable
}

// displace stops a run so that its task goes on elsewhere, and counts the task
// against its step's disruption budget.
func (c *Core) displace(x *taskRun, now time.Duration) {
	if w := x.openStep; w != nil && budgeted(x.step) {
		if w.unavailable == nil {
			w.unavailable = map[int]absence{}
		}
		w.unavailable[x.task.Index] = absence{since: now, ordered: true}
	}
	c.stopRun(x, now)
}

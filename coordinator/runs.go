package coordinator

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
)

// findRun returns the run of a task with the given run number, or nil if the runner has
// none.
func (r *runner) findRun(task jobs.TaskID, number int) *taskRun {
	for run := range r.runs {
		if run.number == number && run.task == task {
			return run
		}
	}
	return nil
}

// adoptRun adds an unknown run that the runner lists. If the run's task must not run
// there, adoptRun orders the run to stop, blocks its job and returns nil.
func (c *Core) adoptRun(r *runner, status RunStatus, now time.Duration) *taskRun {
	j := c.jobs[status.Task.Job]
	if j == nil || j.State.IsTerminal() || j.findTask(status.Task) == nil || j.Task(status.Task).Done || c.hasConflictingRun(j, status.Task) {
		r.blockedJobs = append(r.blockedJobs, status.Task.Job)
		c.log.WithFields(logrus.Fields{"task": status.Task, "run": status.Run, "runner": r.ID}).Warn("stopping unexpected run")
		c.orders = append(c.orders, Order{Kind: Stop, Runner: r.ID, Address: r.Address, Task: status.Task, Run: status.Run, Settled: new(atomic.Bool)})
		return nil
	}
	run := &taskRun{job: j, task: status.Task, number: status.Run, runner: r, step: &j.Spec.Steps[status.Task.Step], kind: c.interference.model.Kind(j.Spec.Steps[status.Task.Step].Image), state: stateRunning,
		lastOrderSettled: new(atomic.Bool), startedAt: now, adoptedAt: now, confirmedAt: now, pace: unknownPace}
	c.attachRun(run)
	c.markStarted(j)
	run.recordStatus(status, now)
	task := j.Task(status.Task)
	task.LastRun = max(task.LastRun, status.Run)
	c.log.WithFields(logrus.Fields{"task": status.Task, "run": status.Run, "runner": r.ID}).Info("run adopted")
	return run
}

// hasConflictingRun reports whether the task has another run, unless its step permits
// several runs of a task at the same time.
func (c *Core) hasConflictingRun(j *job, id jobs.TaskID) bool {
	return len(j.runs[id]) > 0 && !j.Spec.Steps[id.Step].Speculative
}

// attachRun adds a new run to its runner, its task and its open step.
func (c *Core) attachRun(run *taskRun) {
	run.runner.addRun(run)
	j := run.job
	j.runs[run.task] = append(j.runs[run.task], run)
	c.speculation.recordRun(run)
	run.openStep = j.openSteps[[2]int{run.task.Occurrence, run.task.Step}]
	if s := run.openStep; s != nil {
		s.removePending(run.task.Index)
		s.runsByRunner[run.runner]++
	}
}

// markStarted records that a task of the job has started. It is called only when an
// answer or a report of a runner proves that: an order to start may not reach the
// runner, or the runner may refuse it.
func (c *Core) markStarted(j *job) {
	if j.started || j.State.IsTerminal() {
		return
	}
	j.started = true
	j.State = jobs.Running
	c.markUnstored(j, false)
	c.log.WithField("job", j.ID).Info("job started")
}

// detachRun removes a run from its runner, its task and its open step, and frees the
// capacity that it held.
func (c *Core) detachRun(run *taskRun) {
	run.lastOrderSettled.Store(true)
	run.runner.removeRun(run)
	c.recordChange(run.runner)
	j := run.job
	others := slices.DeleteFunc(j.runs[run.task], func(other *taskRun) bool { return other == run })
	if len(others) == 0 {
		delete(j.runs, run.task)
	} else {
		j.runs[run.task] = others
	}
	if run.openStep != nil {
		run.openStep.runsByRunner[run.runner]--
	}
}

// removeLostRun removes a run that no longer exists although its runner has reported no
// result of it, and makes its task pending again.
func (c *Core) removeLostRun(run *taskRun, now time.Duration, cause string) {
	c.detachRun(run)
	c.recordCopyEnd(run, "lost", false)
	c.counters("runs_lost", 1)
	c.log.WithFields(logrus.Fields{"task": run.task, "run": run.number, "runner": run.runner.ID, "cause": cause}).Warn("run lost")
	c.requeue(run.job, run.task)
}

// removeUnlistedRuns removes the runs that the report would list if they still existed.
// A run is kept if the last order for it was confirmed after the poll for the report
// was sent, because the report may be older than the order, or if its start is not
// confirmed, because the runner may still carry the start out. Nothing is removed while the
// runner is not fenced: it may still carry out earlier attempts of confirmed starts. Nor is
// anything removed because of an incomplete report: the next ones may list the run's result.
func (c *Core) removeUnlistedRuns(r *runner, listed map[*taskRun]struct{}, report Report, now time.Duration) {
	if report.Unfenced || report.Incomplete {
		return
	}
	for run := range r.runs {
		if _, ok := listed[run]; ok {
			continue
		}
		if run.state != stateStarting && run.confirmedAt > 0 && run.confirmedAt < report.Sent {
			c.removeLostRun(run, now, "not listed by its runner")
		}
	}
}

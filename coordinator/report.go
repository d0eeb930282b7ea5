package coordinator

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
)

// unknownJobWait is how long the result of a run of an unknown job waits for the job to be
// accepted. After that the result is applied without a job.
const unknownJobWait = 3 * time.Second

// ApplyReport updates the state from a runner's report: it applies the results, updates or
// adopts the runs listed, removes the runs that are missing, and sets the paces of the
// runner's best-effort tasks.
func (c *Core) ApplyReport(report Report, now time.Duration) {
	c.now = now
	r := c.runners[report.Runner]
	if r == nil {
		r = newRunner()
		r.ID = report.Runner
		c.runners[report.Runner] = r
		c.runnersByID = nil
	}
	if report.Incarnation == r.incarnationEndedByMaintenance && r.incarnationEndedByMaintenance != 0 {
		return // the process that sent this report ended when its machine went down for maintenance
	}
	c.updateIncarnation(r, report)
	c.markAnswered(report.Runner)
	r.results.record(report)
	if report.Incomplete {
		c.counters("reports_incomplete", 1)
	} else {
		c.resolveRunner(report.Runner)
		delete(c.expiredTasks, report.Runner)
	}
	r.hasReported, r.cannotExtendLeases, r.isUnfenced = true, report.CannotExtendLeases, report.Unfenced
	if !report.Unfenced && !report.Incomplete {
		c.releaseDelayedStarts(r)
	}
	r.blockedJobs = nil
	listed := make(map[*taskRun]struct{}, len(report.Running))
	for i, result := range report.Ended {
		if result.Number <= r.lastAppliedResult {
			continue
		}
		if c.mustAwaitJob(r, result, now) {
			r.blockJobsOf(report.Ended[i:])
			r.addRunsOf(report.Ended[i:], listed)
			break
		}
		c.applyResult(r, result, now)
		r.lastAppliedResult, c.hasNewResults = result.Number, true
	}
	for _, status := range report.Running {
		if run := c.updateRun(r, status, report, now); run != nil {
			listed[run] = struct{}{}
		}
	}
	c.removeUnlistedRuns(r, listed, report, now)
	c.updatePaces(r, now)
	c.recordChange(r)
}

// mustAwaitJob reports whether a result has to wait because its job is not known yet. After
// a takeover a run may end before the feed of jobs has delivered its job. If the result were
// acknowledged before that, the task would run again. The wait is bounded by unknownJobWait for
// all results of a job together: a runner may list hundreds of them, and takes no task meanwhile.
func (c *Core) mustAwaitJob(r *runner, result RunResult, now time.Duration) bool {
	if _, finished := c.finishedJobs[result.Task.Job]; finished || c.jobs[result.Task.Job] != nil {
		r.unknownJobSince = 0
		return false
	}
	if _, absent := c.absentJobs[result.Task.Job]; !absent {
		if r.unknownJobSince == 0 {
			r.unknownJobSince = now
		}
		if now-r.unknownJobSince < unknownJobWait {
			return true
		}
		c.absentJobs[result.Task.Job] = struct{}{}
	}
	r.unknownJobSince = 0
	c.counters("ends_unknown", 1)
	c.log.WithFields(logrus.Fields{"task": result.Task, "run": result.Run, "runner": r.ID, "how": result.Kind}).Warn("run of an unknown job ended")
	return false
}

// blockJobsOf prevents tasks from being started for the jobs of results that have not been
// applied yet.
func (r *runner) blockJobsOf(results []RunResult) {
	for _, result := range results {
		r.blockedJobs = append(r.blockedJobs, result.Task.Job)
	}
}

// addRunsOf adds the runs of results that have not been applied yet to the listed ones.
func (r *runner) addRunsOf(results []RunResult, listed map[*taskRun]struct{}) {
	for _, result := range results {
		if run := r.findRun(result.Task, result.Run); run != nil {
			listed[run] = struct{}{}
		}
	}
}

// updateIncarnation records the runner's incarnation. If the runner has restarted, it
// resets what was recorded about its previous process.
func (c *Core) updateIncarnation(r *runner, report Report) {
	if r.incarnation == report.Incarnation {
		return
	}
	if r.incarnation != 0 {
		c.log.WithFields(logrus.Fields{"runner": r.ID, "runs": len(r.runs)}).Warn("runner restarted")
		r.health = health{}
		clear(r.bestEffortPaces)
	}
	r.incarnation = report.Incarnation
	r.lastAppliedResult, r.results = 0, resultList{}
}

// updateRun updates a run that the runner lists, or adopts it if it is unknown. It
// returns nil if the run should not exist and is being stopped.
func (c *Core) updateRun(r *runner, status RunStatus, report Report, now time.Duration) *taskRun {
	run := r.findRun(status.Task, status.Run)
	if run == nil {
		return c.adoptRun(r, status, now)
	}
	c.markStarted(run.job)
	run.endHiddenFromPredecessor = run.endHiddenFromPredecessor || run.mayHideEnd() && report.Sent-run.adoptedAt >= hiddenEndTime
	if run.state == stateStarting {
		run.state = stateRunning
		run.confirmedAt = report.Sent
		run.lastOrderSettled.Store(true)
	}
	c.updateTaskTimes(run, status, now)
	run.recordStatus(status, now)
	return run
}

// recordStatus records the progress, the checkpoint and the load that the runner
// reports for the run.
func (run *taskRun) recordStatus(status RunStatus, now time.Duration) {
	if status.Percent != run.percent || run.progressedAt == 0 {
		run.percent, run.progressedAt = status.Percent, now
	}
	run.recordProgressBase(status.Percent, now)
	if status.Checkpoint != run.checkpoint {
		run.checkpoint, run.checkpointPercent = status.Checkpoint, status.Percent
	}
	run.load = status.Load
	if task := run.job.Task(run.task); task != nil && run.isFurthest(run.checkpointPercent) {
		task.RecordCheckpoint(status.Checkpoint)
	}
}

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

// applyResult applies the result of a run that has ended.
func (c *Core) applyResult(r *runner, result RunResult, now time.Duration) {
	c.counters("runs_"+result.Kind.String(), 1)
	j := c.jobs[result.Task.Job]
	run := r.findRun(result.Task, result.Run)
	if run != nil {
		c.detachRun(run)
		j = run.job
		c.updateHealth(run, result.Kind, now)
		c.recordRunEnd(run, result.Kind, now)
	}
	c.log.WithFields(logrus.Fields{"task": result.Task, "run": result.Run, "runner": r.ID, "how": result.Kind}).Info("run ended")
	if j == nil || j.State.IsTerminal() || j.findTask(result.Task) == nil {
		return
	}
	c.markStarted(j)
	task := j.Task(result.Task)
	task.LastRun = max(task.LastRun, result.Run)
	if (run == nil || run.isFurthest(run.percent)) && !task.RecordCheckpoint(result.Checkpoint) {
		c.counters("checkpoints_too_long", 1)
	}
	switch result.Kind {
	case EndedDone:
		c.applyDone(j, result, run, now)
	case EndedFailed:
		c.applyFailure(j, result, now)
	default:
		c.markUnstored(j, false)
	}
	if run != nil && run.endHiddenFromPredecessor {
		run.openStep.recordHiddenEnd(result.Task.Index)
	}
	c.requeue(j, result.Task)
}

// applyDone marks a task as done, stops its other runs and opens the steps that become
// ready. The run is nil if it was unknown.
func (c *Core) applyDone(j *job, result RunResult, run *taskRun, now time.Duration) {
	step := &j.Spec.Steps[result.Task.Step]
	if run == nil && len(j.runs[result.Task]) > 0 && !step.Speculative {
		// The run was recorded as lost and its task was started again. The result of the newer
		// run counts.
		return
	}
	if step.LongRunning {
		c.markUnstored(j, false)
		return
	}
	if task := j.Task(result.Task); task != nil && !task.Done {
		j.remainingCPUTimeMS -= j.taskCPUTimeMS(result.Task.Step)
	}
	finished := j.MarkDone(result.Task)
	c.markUnstored(j, false)
	for _, other := range slices.Clone(j.runs[result.Task]) {
		c.stopRun(other, now)
	}
	if s := j.openSteps[[2]int{result.Task.Occurrence, result.Task.Step}]; s != nil {
		s.removePending(result.Task.Index)
		if finished {
			s.pending = nil
		}
	}
	if j.Current[result.Task.Occurrence] == nil {
		j.closeOccurrence(result.Task.Occurrence)
	}
	if j.State == jobs.Completed {
		c.finishJob(j, jobs.Completed, now)
		return
	}
	if occurrence := j.Current[result.Task.Occurrence]; finished && occurrence != nil && j.hasOpened(result.Task.Occurrence) {
		c.openReadySteps(j, occurrence, run != nil && run.endHiddenFromPredecessor)
	}
}

// applyFailure records a failed run. It fails the job if the task has used up the
// attempts of its queue. Tasks of long-running steps are always started again.
func (c *Core) applyFailure(j *job, result RunResult, now time.Duration) {
	if !j.MarkFailed(result.Task, result.Run) {
		return
	}
	c.markUnstored(j, false)
	if j.Spec.Steps[result.Task.Step].LongRunning {
		return
	}
	if j.isDoneByCopy(result.Task) {
		return
	}
	if j.queue.MaxAttempts > 0 && j.Failures(result.Task) >= j.queue.MaxAttempts {
		c.finishJob(j, jobs.Failed, now)
	}
}

package coordinator

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
)

// unknownJobWait is how long the result of a run of an unknown job waits for the job to be
// accepted. After that the result is applied without a job.
const unknownJobWait = 3 * time.Second

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

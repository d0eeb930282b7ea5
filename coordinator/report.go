package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"
)

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

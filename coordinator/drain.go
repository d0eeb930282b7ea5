package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/maintenance"
)

// SetCordons sets which runners are cordoned: they get no new tasks because their machine is to
// go down, or may be down, for maintenance. cordons holds the cordons by runner ID.
// awaitingMaintenance holds the IDs of the runners whose machine is to go down later and that
// are not cordoned yet. Cordoned does not mean draining: a runner is draining when its registry
// entry says that the runner itself is going to stop.
func (c *Core) SetCordons(cordons map[string]maintenance.Cordon, awaitingMaintenance map[string]struct{}) {
	for id, r := range c.runners {
		_, r.awaitsMaintenance = awaitingMaintenance[id]
		cordon, cordoned := cordons[id]
		if cordoned != (r.cordon != nil) {
			c.recordChange(r)
			c.logCordonChange(r, cordoned)
		}
		r.cordon = nil
		if cordoned {
			r.cordon = &cordon
		}
	}
}

// logCordonChange logs that a runner has been cordoned or that its cordon has ended.
func (c *Core) logCordonChange(r *runner, cordoned bool) {
	entry := c.log.WithFields(logrus.Fields{"runner": r.ID, "runs": len(r.runs)})
	if !cordoned {
		entry.Info("cordon for maintenance ended")
		return
	}
	c.counters("cordons", 1)
	entry.Info("runner cordoned for maintenance")
}

// collectDepartures returns the runs that should leave draining and cordoned runners.
func (c *Core) collectDepartures(now time.Duration) []departure {
	var departures []departure
	for _, r := range c.runners {
		if !r.Draining && r.cordon == nil || !r.hasReported || r.cannotExtendLeases {
			continue
		}
		for run := range r.runs {
			if run.state != stateRunning {
				continue
			}
			if d, mustLeave := run.departure(now); mustLeave {
				departures = append(departures, d)
			}
		}
	}
	return departures
}

// departure returns whether, and by when, a run should leave its draining or cordoned runner.
//
// A long-running task leaves a draining runner longRunningEvictionMargin before it may stop at the
// latest. It leaves a cordoned one within its disruption budget, also without free capacity
// elsewhere if the cordon is urgent; maintenance waits for it otherwise. Any other task leaves at
// once, so that little work is lost, unless it will end in time.
func (run *taskRun) departure(now time.Duration) (d departure, mustLeave bool) {
	r := run.runner
	d = departure{run: run, deadline: noDeadline, cause: "runner is draining"}
	end := noDeadline // of the runner
	if r.Draining {
		end = r.earliestStop
		d.deadline = end - longRunningEvictionMargin
	} else {
		d.cause, d.oneAtATime = "machine goes down for maintenance", true
	}
	if r.cordon != nil {
		end = min(end, r.cordon.Until)
		d.mayStopWithoutCapacity = r.cordon.Urgent
	}
	if run.step.LongRunning {
		return d, true
	}
	d.deadline = now
	return d, run.timeLeft(now) > end-evictionMargin-now
}

// RunnerLoad returns the load of a runner, by which maintenance is planned. The load is not
// known while the runner has not answered this coordinator or no longer answers: another
// runner may already be on its machine, which the machine list does not show yet. Nor is it
// known while leases on the runner can't be extended, the runner has blocked jobs or its last
// report was incomplete, since the results that it has yet to list would be lost. The load
// of a runner that the core does not have is known to be zero unless the runner is unresolved or
// tasks are held for it.
func (c *Core) RunnerLoad(id string) maintenance.Load {
	r := c.runners[id]
	if r == nil {
		_, unresolved := c.unresolved[id]
		return maintenance.Load{Known: !unresolved && !c.heldTasks.hasRunner(id)}
	}
	load := maintenance.Load{Known: r.hasReported && !r.isUnfenced && !r.cannotExtendLeases && !r.results.isIncomplete && len(r.blockedJobs) == 0, Runs: len(r.runs), CPUMilli: r.held.CPUMilli}
	for run := range r.runs {
		if !run.step.LongRunning {
			continue
		}
		load.LongRunning++
		if run.step.MaxUnavailable > 0 && run.state != stateStopping {
			load.Budgeted++
		}
	}
	return load
}

// MarkRunnerEndedByMaintenance records that a runner's process and all of its runs ended because
// its machine went down for maintenance. The tasks become pending again. Later reports of that
// process are ignored.
func (c *Core) MarkRunnerEndedByMaintenance(id string, now time.Duration) {
	c.resolveRunner(id)
	c.heldTasks.releaseRunner(id)
	delete(c.expiredTasks, id)
	r := c.runners[id]
	if r == nil {
		return
	}
	r.incarnationEndedByMaintenance, r.cannotExtendLeases = r.incarnation, true
	r.results.isIncomplete = false
	for run := range r.runs {
		c.removeLostRun(run, now, "machine went down for maintenance")
	}
	r.forgetUnexpectedRuns()
}

package coordinator

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/interference"
	"bergamotstile/jobs"
	"bergamotstile/maintenance"
	"bergamotstile/structs"
)

// runner is the coordinator's state of a process that runs tasks.
type runner struct {
	RunnerInfo
	// registered is set while the registry has an entry for the runner, and for up to
	// reregisterTime after the entry has disappeared.
	registered bool
	// unregisteredSince is when the entry was first found missing. It is zero while
	// the entry exists and once the runner is no longer registered.
	unregisteredSince time.Duration
	// hasReported is set once the runner has sent a report to this coordinator.
	hasReported       bool
	incarnation       int64
	isUnfenced        bool // as in the last report
	lastAppliedResult int  // number of the newest result that has been applied
	results           resultList
	plannedStarts     int // starts that are chosen for a gang and not ordered yet
	// cannotExtendLeases is set when a poll of the runner fails, when the runner answers while
	// the coordinator can extend no lease on it, and when maintenance has ended the runner. The
	// next report that finds that leases can be extended clears it.
	cannotExtendLeases bool
	// cordon is set while the runner gets no new tasks because its machine is to go down, or
	// may be down, for maintenance. awaitsMaintenance is set while the maintenance of its
	// machine is requested and the runner is not cordoned yet.
	cordon            *maintenance.Cordon
	awaitsMaintenance bool
	// incarnationEndedByMaintenance is the last incarnation that ended because the machine went
	// down for maintenance; zero if there was none.
	incarnationEndedByMaintenance int64
	// earliestStop is the earliest time at which a runner that is draining, as its registry entry
	// says, may stop. It is zero for a runner that has not been draining.
	earliestStop time.Duration
	runs         map[*taskRun]struct{}
	held         structs.Resources // capacity that the runs hold
	// plainCPUMilli, servingCPUMilli and bestEffortCPUMilli are the sums of what the plain,
	// serving and best-effort tasks ask for, in thousandths of a processor. A plain task is
	// neither a serving nor a best-effort task.
	plainCPUMilli, servingCPUMilli, bestEffortCPUMilli int64
	plainLongRunningCPUMilli                           int64 // the part of plainCPUMilli that long-running tasks ask for
	servingImages                                      map[interference.Kind]*servingImage
	// bestEffortCPUMilliByImage sums what the best-effort tasks of each image ask for,
	// in thousandths of a processor. bestEffortPaces holds the pace of each image.
	bestEffortCPUMilliByImage map[interference.Kind]int64
	bestEffortPaces           map[interference.Kind]*imagePace
	bestEffortRuns            []*taskRun        // sorted by precedence
	servingPressures          []servingPressure // cached by Core.servingPressuresOn; nil if it has to be computed
	usableShare               float64           // cached by Core.usableShare; unknownUsableShare if it has to be computed
	// overTargetSince is since when one of the serving tasks has been over its latency
	// target, the earliest such time if there are several; zero if none is.
	overTargetSince time.Duration
	health          health
	reservations    []reservation
	releases        releaseCache
	// unusableSince is since when no new tasks may be started on the runner, as of the last
	// scheduling round; zero if they may.
	unusableSince time.Duration
	lastChange    uint64 // number of the runner's last entry in the changeLog
	// blockedJobs holds jobs for which no task may be started, and while there are any no
	// task may be started on this runner. They are the jobs of the unexpected runs in the
	// last report, which are being stopped and hold an unknown part of the capacity, and the
	// jobs of the results in the report that can't be applied before their job is known.
	blockedJobs []jobs.ID
	// evacuated is set while the runner's failure domain is evacuated, see
	// Core.SetEvacuatedDomains.
	evacuated    bool
	domainReturn domainReturn
	// unknownJobSince is since when the next result to be applied has waited because its job
	// is unknown; zero if none waits.
	unknownJobSince time.Duration
}

// newRunner returns a runner without an entry in the registry and without runs.
func newRunner() *runner {
	return &runner{
		usableShare:               unknownUsableShare,
		runs:                      map[*taskRun]struct{}{},
		servingImages:             map[interference.Kind]*servingImage{},
		bestEffortCPUMilliByImage: map[interference.Kind]int64{},
		bestEffortPaces:           map[interference.Kind]*imagePace{},
	}
}

// maxEntryAge is how old a registry entry may be when the coordinator first reads it
// after a takeover: runners write their entry at about every heartbeat.
const maxEntryAge = 1500 * time.Millisecond

// UpdateRunner records a runner's entry in the registry.
func (c *Core) UpdateRunner(info RunnerInfo, now time.Duration) {
	r := c.runners[info.ID]
	remaining := info.Remaining
	if r == nil {
		r = newRunner()
		c.runners[info.ID] = r
		c.runnersByID = nil
		remaining -= maxEntryAge
	}
	if info.Draining && !r.Draining {
		c.log.WithFields(logrus.Fields{"runner": info.ID, "remaining_ms": info.Remaining.Milliseconds()}).Info("runner is draining")
	}
	if info.Draining && !(r.Draining && r.Remaining == info.Remaining) {
		r.earliestStop = now + remaining
	}
	c.recordChange(r)
	r.RunnerInfo = info
	r.registered, r.unregisteredSince = true, 0
	c.updateEvacuated(r, now)
}

// reregisterTime is how long a runner takes to write its registry entry again after
// the entry has expired while the store was unavailable.
const reregisterTime = 2500 * time.Millisecond

// MarkRunnerUnregistered records that the registry has no entry for a runner. The
// runner may still run tasks.
func (c *Core) MarkRunnerUnregistered(id string, now time.Duration) {
	if r := c.runners[id]; r != nil && r.registered && r.unregisteredSince == 0 {
		r.unregisteredSince = now
	}
}

// unregisterMissingRunners marks the runners as not registered whose registry entries
// have been missing for longer than reregisterTime.
func (c *Core) unregisterMissingRunners(now time.Duration) {
	for _, r := range c.runners {
		if r.unregisteredSince > 0 && now-r.unregisteredSince > reregisterTime {
			r.registered, r.unregisteredSince = false, 0
			c.log.WithField("runner", r.ID).Info("runner is no longer registered")
		}
	}
}

// MarkRunnerSilent records that a poll of a runner failed, so that the leases there are not
// extended.
func (c *Core) MarkRunnerSilent(id string) {
	if r := c.runners[id]; r != nil && !r.cannotExtendLeases {
		r.cannotExtendLeases = true
		c.counters("runners_silent", 1)
		c.log.WithFields(logrus.Fields{"runner": id, "runs": len(r.runs)}).Warn("runner does not answer")
	}
}

// ExpireRunnerLeases records that every lease on a runner has expired. None of its runs
// exists any more, except for those that HoldDelayedStarts keeps, so their tasks become pending
// again.
func (c *Core) ExpireRunnerLeases(id string, now time.Duration) {
	c.giveUpRunner(id)
	r := c.runners[id]
	if r == nil {
		return
	}
	c.log.WithFields(logrus.Fields{"runner": id, "runs": len(r.runs)}).Warn("leases on runner expired")
	r.results.isIncomplete = false
	for run := range r.runs {
		if _, held := c.delayedStartRuns[run]; !held {
			c.removeLostRun(run, now, "lease expired")
			c.recordExpiredTask(id, run.task)
		}
	}
	r.forgetUnexpectedRuns()
	c.removeIfGone(r)
}

// removeIfGone removes a runner that is no longer registered and on which nothing can run.
func (c *Core) removeIfGone(r *runner) {
	if r.registered || len(r.runs) > 0 {
		return
	}
	r.releaseReservations()
	delete(c.runners, r.ID)
	delete(c.expiredTasks, r.ID)
	c.runnersByID = nil
}

// forgetUnexpectedRuns ends the block of the jobs whose unexpected runs the runner has listed, once
// it is certain that nothing runs there. The jobs stay blocked while a listed result waits to be
// applied: it may say that one of their tasks is done.
func (r *runner) forgetUnexpectedRuns() {
	if r.unknownJobSince == 0 {
		r.blockedJobs = nil
	}
}

// addRun adds a run to the runner and to the sums of its capacity in use.
func (r *runner) addRun(run *taskRun) {
	r.runs[run] = struct{}{}
	r.held = r.held.Add(run.step.Reserved())
	r.countRequestedCPU(run, 1)
}

// removeRun removes a run from the runner and frees the capacity that it held.
func (r *runner) removeRun(run *taskRun) {
	delete(r.runs, run)
	r.held = r.held.Sub(run.step.Reserved())
	r.countRequestedCPU(run, -1)
}

// countRequestedCPU adds the processors that a run asks for to the sum of its kind of task,
// or subtracts them if sign is -1, and adds the run to the runner's serving images or
// best-effort runs or removes it from them.
func (r *runner) countRequestedCPU(run *taskRun, sign int64) {
	r.servingPressures = nil
	cpu := sign * run.step.Resources.CPUMilli
	switch {
	case run.step.BestEffort:
		r.bestEffortCPUMilli += cpu
		r.bestEffortCPUMilliByImage[run.kind] += cpu
		if r.bestEffortCPUMilliByImage[run.kind] == 0 {
			delete(r.bestEffortCPUMilliByImage, run.kind)
		}
		if sign > 0 {
			position, _ := slices.BinarySearchFunc(r.bestEffortRuns, run, func(a, b *taskRun) int { return a.precedence.compare(b.precedence) })
			r.bestEffortRuns = slices.Insert(r.bestEffortRuns, position, run)
		} else {
			r.bestEffortRuns = slices.DeleteFunc(r.bestEffortRuns, func(other *taskRun) bool { return other == run })
		}
	case run.step.TailLatencyTarget > 0:
		r.servingCPUMilli += cpu
		r.countServingRun(run, int(sign))
	default:
		r.plainCPUMilli += cpu
		if run.step.LongRunning {
			r.plainLongRunningCPUMilli += cpu
		}
	}
}

// servingImage is an image whose serving tasks run on a runner.
type servingImage struct {
	tasks int        // number of runs
	step  *jobs.Step // a step with this image; its latency target stands for all
}

// countServingRun adds delta to the number of serving runs of the run's image.
func (r *runner) countServingRun(run *taskRun, delta int) {
	image := r.servingImages[run.kind]
	if image == nil {
		image = &servingImage{step: run.step}
		r.servingImages[run.kind] = image
	}
	image.tasks += delta
	if image.tasks == 0 {
		delete(r.servingImages, run.kind)
	}
	r.usableShare = unknownUsableShare
}

// isRegisteredProcess reports whether the registry entry describes the process that reports.
// A runner may start again with another service, capacity or labels.
func (r *runner) isRegisteredProcess() bool {
	return r.Incarnation == 0 || r.Incarnation == r.incarnation
}

// isUsable reports whether new tasks may be started on the runner.
func (r *runner) isUsable() bool {
	return r.isInService() && r.isRegisteredProcess() && r.hasReported && !r.isUnfenced && !r.cannotExtendLeases && len(r.blockedJobs) == 0
}

// isInService reports whether the runner is meant to get new tasks: it is registered, does not
// drain, is not cordoned and its failure domain is not evacuated.
func (r *runner) isInService() bool {
	return r.registered && !r.Draining && r.cordon == nil && !r.evacuated
}

package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Parameters of the choice of a runner.
const (
	// expectedServingUsePercent is the part of the processors asked for that a serving
	// task is expected to use.
	expectedServingUsePercent = 55
	// minFreePercent is the part of the processors asked for that must be expected to be
	// free before a best-effort task is started.
	minFreePercent = 70
	// unreliabilityPenalty multiplies the expected time on a runner with recent failures. If
	// another failure of the task would fail its job, it also multiplies the time on a
	// runner without a recent success.
	unreliabilityPenalty = 3.0
	// maintenancePenalty multiplies the expected time of long-running tasks on runners
	// whose machine is about to go down, since they would have to be moved again.
	maintenancePenalty = 2.0
	// addedPressureWeight weighs pressure on serving tasks against time lost.
	addedPressureWeight = 4.0
	// packingWeight makes the fuller one of otherwise equal runners the cheaper one.
	packingWeight = 0.01
	// unknownUsableShare marks a runner whose usable share has to be computed.
	unknownUsableShare = -1
	// maxComparedRunners bounds the number of runners that are compared for one task.
	maxComparedRunners = 64
)

// recordChange records that the capacity which a runner can offer may have changed.
func (c *Core) recordChange(r *runner) {
	c.changes.record(r, len(c.runners))
}

// sortedRunners returns all runners in the order of their IDs.
func (c *Core) sortedRunners() []*runner {
	if len(c.runnersByID) != len(c.runners) {
		c.runnersByID = slices.SortedFunc(maps.Values(c.runners), func(a, b *runner) int { return cmp.Compare(a.ID, b.ID) })
	}
	return c.runnersByID
}

// isEligible reports whether the step's next task may be started on the runner.
func (c *Core) isEligible(s *openStep, r *runner, now time.Duration) bool {
	return c.findObstacle(s, r, now) == noObstacle
}

// findObstacle returns why the step's next task may not be started on the runner.
func (c *Core) findObstacle(s *openStep, r *runner, now time.Duration) obstacle {
	switch {
	case r.Service != s.job.queue.Service:
		return otherService
	case r.evacuated:
		return domainEvacuated
	case !r.isUsable():
		return notUsable
	case r.health.isAvoided(now) && !s.starved: // a starved step has no better place
		return runnerAvoided
	case s.step.RequiredLabel != "" && !slices.Contains(r.Labels, s.step.RequiredLabel):
		return missingLabel
	case s.step.MaxPerRunner > 0 && s.runsByRunner[r] >= s.step.MaxPerRunner:
		return maxPerRunnerReached
	case !r.results.hasRoom(len(r.runs)+r.plannedStarts, c.limits.MaxListedResults):
		return resultListFull
	case !r.hasCapacityFor(s):
		return noFreeCapacity
	case !r.domainReturn.mayStart(now):
		return domainReturning
	case !s.isPermitted(r, now):
		return noTicket
	}
	return noObstacle
}

// hasCapacityFor reports whether the runner has free capacity for one of the step's tasks.
func (r *runner) hasCapacityFor(s *openStep) bool {
	return r.held.Add(r.reservedForOthers(s)).Add(s.step.Reserved()).Fits(r.Capacity)
}

// cost returns the cost of one of the step's tasks on a runner: the expected time there
// relative to the usual one, plus the capacity that best-effort tasks would lose and a small
// part for how empty the runner is. It is negative if the task should wait rather than start
// there.
func (c *Core) cost(s *openStep, r *runner, now time.Duration) float64 {
	factor := 1.0
	if c.isFarFromData(s.step.DataRack, r) {
		factor *= c.limits.RemoteDataFactor
	}
	if s.step.DataRack != r.Rack && c.locality.isWanted(r) {
		factor += wantedRackPenalty
	}
	if r.health.isUnreliable(now) || s.isLastAttempt && !r.health.isProven(now) {
		factor *= unreliabilityPenalty
	}
	if s.step.LongRunning && r.awaitsMaintenance {
		factor *= maintenancePenalty
	}
	if s.step.BestEffort {
		return c.bestEffortCost(s, r, factor, now)
	}
	free := float64(r.Capacity.CPUMilli-r.held.CPUMilli) / float64(1+r.Capacity.CPUMilli)
	return factor + c.lostCapacity(s, r) + packingWeight*free
}

// isFarFromData reports whether a task with data on a rack is slow on the runner.
func (c *Core) isFarFromData(dataRack string, r *runner) bool {
	return dataRack != "" && dataRack != r.Rack && c.limits.RemoteDataFactor > 1
}

// expectedIdleMilli returns the processors, in thousandths, that are expected to be idle
// if all best-effort tasks use what they ask for.
func (r *runner) expectedIdleMilli() int64 {
	return r.Capacity.CPUMilli - r.plainCPUMilli - r.servingCPUMilli*expectedServingUsePercent/100 - r.bestEffortCPUMilli
}

// lostCapacity returns the capacity for best-effort tasks, as a share of the runner, that
// one of the step's tasks would take away. A serving task makes a runner unusable for the
// best-effort images that interfere with it. So a serving task goes where its image
// already runs, else to an empty runner, else beside images with which the same
// best-effort images interfere. A plain task, which is neither serving nor
// best-effort, goes where little is lost.
func (c *Core) lostCapacity(s *openStep, r *runner) float64 {
	free := r.Capacity.CPUMilli - r.plainCPUMilli - r.servingCPUMilli*expectedServingUsePercent/100
	use := s.step.Resources.CPUMilli
	shareBefore := c.usableShare(r)
	shareAfter := shareBefore
	if s.step.TailLatencyTarget > 0 {
		use = use * expectedServingUsePercent / 100
		if r.servingImages[s.kind] == nil {
			shareAfter = c.interference.usableShare(append(slices.Sorted(maps.Keys(r.servingImages)), s.kind))
		}
	}
	lost := float64(max(0, free))*shareBefore - float64(max(0, free-use))*shareAfter
	return lost / float64(1+r.Capacity.CPUMilli)
}

// usableShare returns the share, from 0 to 1, of the free capacity on the runner that
// best-effort tasks can use. It is cached until the runner's serving tasks change.
func (c *Core) usableShare(r *runner) float64 {
	if r.usableShare < 0 {
		r.usableShare = c.interference.usableShare(slices.Sorted(maps.Keys(r.servingImages)))
	}
	return r.usableShare
}

// bestEffortCost returns the cost of a best-effort task on a runner: the time that it would
// take with the idle processors, at a pace that is safe for the serving tasks, plus the
// weighted pressure that it would add, less a quarter of the runner's share that is free.
// It is negative if the task should wait.
func (c *Core) bestEffortCost(s *openStep, r *runner, factor float64, now time.Duration) float64 {
	expected := c.forecastStart(s, r)
	if c.bestEffortObstacle(s, r, expected, now) != noObstacle {
		return -1
	}
	share := min(100, expected.freeMilli*100/max(1, s.step.Resources.CPUMilli))
	pace := max(minPace, expected.pace)
	return factor*100/float64(share)*fullPace/float64(pace) + addedPressureWeight*expected.addedPressure - float64(expected.freeMilli)/float64(1+r.Capacity.CPUMilli)/4
}

// forecastStart predicts what the next task of a best-effort step will get on the runner beside
// the tasks that have reservations there.
func (c *Core) forecastStart(s *openStep, r *runner) forecast {
	expected := c.forecastTask(r, s.step, s.kind, s.precedence)
	expected.freeMilli -= r.reservedBestEffortMilli(s)
	return expected
}

// bestEffortObstacle returns why a best-effort task should wait rather than start on the
// runner.
func (c *Core) bestEffortObstacle(s *openStep, r *runner, expected forecast, now time.Duration) obstacle {
	switch {
	case expected.freeMilli*100/max(1, s.step.Resources.CPUMilli) < minFreePercent:
		return noIdleProcessors
	case s.starved:
		return noObstacle
	case c.hasTaskOverTarget(r, now):
		return tasksOverTarget
	case expected.pace < minStartPace, expected.pace < fullPace && now-s.waitingSince < fullPaceWait:
		return wouldInterfere
	}
	return noObstacle
}

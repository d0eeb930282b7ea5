package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bergamotstile/interference"
	"bergamotstile/structs"
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

// demandKey identifies work for which the same runners have no capacity.
type demandKey struct {
	service           string
	kind              interference.Kind
	bestEffort        bool
	waitedForFullPace bool
	rank              rank
}

// demandKey returns the key of the step's demand. Only best-effort work is also
// distinguished by image and rank, on which the processors that it can get depend.
func (s *openStep) demandKey(now time.Duration) demandKey {
	key := demandKey{service: s.job.queue.Service, bestEffort: s.step.BestEffort, waitedForFullPace: now-s.waitingSince >= fullPaceWait}
	if s.step.BestEffort {
		key.kind, key.rank = s.kind, s.precedence.rank
	}
	return key
}

// fullScanInterval is the time after which all runners are compared again for work that
// found no runner, since some obstacles end by the passing of time, without a change of a
// runner.
const fullScanInterval = 200 * time.Millisecond

// failedSearch records that no runner could take work that asks for at least leastRequested.
type failedSearch struct {
	leastRequested structs.Resources
	lastChange     uint64        // number of the newest change at that time
	fullScanAt     time.Duration // when all runners were last compared
}

// failedSearches holds, for each demand, the last search that found no runner. They make it
// unnecessary to compare all runners again for each of many equal tasks and, in the next
// scheduling rounds, to compare those that have not changed. With hundreds of runners and a
// backlog, these comparisons took most of the coordinator's processor time.
type failedSearches map[demandKey]failedSearch

// scanSince returns the number of the change after which a runner must have changed to be
// compared for the step's next task, or zero if all runners have to be compared.
func (searches failedSearches) scanSince(s *openStep, now time.Duration) uint64 {
	failed, ok := searches[s.demandKey(now)]
	if !ok || !s.hasSharedDemand() || !failed.leastRequested.Fits(s.step.Resources) || now-failed.fullScanAt >= fullScanInterval {
		return 0
	}
	return failed.lastChange
}

// hasSharedDemand reports whether the step finds the same runners full as other work with
// its demand key. Reservations, a label, a limit of tasks per runner or the need for advice
// make a difference.
func (s *openStep) hasSharedDemand() bool {
	return s.reservationCount == 0 && s.step.RequiredLabel == "" && s.step.MaxPerRunner == 0 && !s.job.queue.RequiresTicket
}

// record records that no runner was found among those that changed after since, or among all
// runners if since is zero.
func (searches failedSearches) record(s *openStep, since, lastChange uint64, now time.Duration) {
	if !s.hasSharedDemand() {
		return
	}
	key := s.demandKey(now)
	failed := failedSearch{s.step.Resources, lastChange, now}
	if since > 0 {
		failed.leastRequested, failed.fullScanAt = searches[key].leastRequested, searches[key].fullScanAt
	}
	searches[key] = failed
}

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

// pickRunner returns the runner on which the step's next task is expected to end first, or
// nil if no runner may take it now. At most maxComparedRunners eligible runners are
// compared, beginning each time where the last search stopped. Only runners in rack are
// considered, unless it is nil, and only those that have changed after since, unless it is
// zero.
func (c *Core) pickRunner(s *openStep, now time.Duration, rack *string, since uint64) *runner {
	search := runnerSearch{core: c, step: s, now: now}
	if since > 0 {
		for r := range c.changes.after(since) {
			if (rack == nil || r.Rack == *rack) && !search.consider(r) {
				break
			}
		}
		return search.best
	}
	all := c.sortedRunners()
	for i := range all {
		r := all[(c.searchStart+i)%len(all)]
		if (rack == nil || r.Rack == *rack) && !search.consider(r) {
			c.searchStart = (c.searchStart + i) % len(all)
			break
		}
	}
	return search.best
}

// runnerSearch holds the best of the runners that have been compared for a task.
type runnerSearch struct {
	core     *Core
	step     *openStep
	now      time.Duration
	best     *runner
	bestCost float64
	compared int
}

// consider compares one more runner with the best one. It returns false, without comparing
// the runner, once enough runners have been compared.
func (search *runnerSearch) consider(r *runner) bool {
	if !search.core.isEligible(search.step, r, search.now) {
		return true
	}
	cost := search.core.cost(search.step, r, search.now)
	if cost < 0 {
		return true
	}
	if search.compared++; search.compared > maxComparedRunners {
		return false
	}
	if search.best == nil || cost < search.bestCost || cost == search.bestCost && r.ID < search.best.ID {
		search.best, search.bestCost = r, cost
	}
	return true
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
	case !r.isUsable():
		return notUsable
	case r.health.isAvoided(now):
		return runnerAvoided
	case s.step.RequiredLabel != "" && !slices.Contains(r.Labels, s.step.RequiredLabel):
		return missingLabel
	case s.step.MaxPerRunner > 0 && s.runsByRunner[r] >= s.step.MaxPerRunner:
		return maxPerRunnerReached
	case !r.hasCapacityFor(s):
		return noFreeCapacity
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

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
	// doubtPenalty multiplies the expected time on a runner with recent failures. If
	// another failure of the task would fail its job, it also multiplies the time on a
	// runner without a recent success.
	doubtPenalty = 3.0
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

// demandKey identifies work for which the same runners are full.
type demandKey struct {
	service           string
	kind              interference.Kind
	bestEffort        bool
	waitedForFullPace bool
	rank              rank
}

// demandKey returns the key of the step's demand. Only best-effort work is also
// distinguished by image and rank, which decide about the processors that are left for it.
func (w *openStep) demandKey(now time.Duration) demandKey {
	key := demandKey{service: w.job.queue.Service, bestEffort: w.step.BestEffort, waitedForFullPace: now-w.waitingSince >= fullPaceWait}
	if w.step.BestEffort {
		key.kind, key.rank = w.kind, w.precedence.rank
	}
	return key
}

// fullScanInterval is the time after which all runners are compared again for work that
// found no runner, since some obstacles end with time and without a change of a runner.
const fullScanInterval = 200 * time.Millisecond

// noRunnerMark records that no runner could take work that asks for at least smallestAsk.
type noRunnerMark struct {
	smallestAsk structs.Resources
	lastChange  uint64        // number of the newest change at that time
	fullScanAt  time.Duration // when all runners were last compared
}

// noRunnerMarks holds the marks of work that found no runner. They save comparing all
// runners again for each of many equal tasks and, in the next scheduling rounds, comparing
// those that have not changed. With hundreds of runners and a backlog, these comparisons
// took most of the coordinator's processor time.
type noRunnerMarks map[demandKey]noRunnerMark

// scanSince returns the number of the change after which a runner must have changed to be
// compared for the step's next task, or zero if all runners have to be compared.
func (marks noRunnerMarks) scanSince(w *openStep, now time.Duration) uint64 {
	mark, ok := marks[w.demandKey(now)]
	if !ok || !w.hasSharedDemand() || !mark.smallestAsk.Fits(w.step.Resources) || now-mark.fullScanAt >= fullScanInterval {
		return 0
	}
	return mark.lastChange
}

// hasSharedDemand reports whether the step finds the same runners full as other work with
// its demand key. Reservations, a label, a limit of tasks per runner or the need for advice
// make a difference.
func (w *openStep) hasSharedDemand() bool {
	return w.reservationCount == 0 && w.step.RequiredLabel == "" && w.step.MaxPerRunner == 0 && !w.job.queue.Advised
}

// record notes that no runner was found among those that changed after since, or among
// all runners if since is zero.
func (marks noRunnerMarks) record(w *openStep, since, lastChange uint64, now time.Duration) {
	if !w.hasSharedDemand() {
		return
	}
	key := w.demandKey(now)
	mark := noRunnerMark{w.step.Resources, lastChange, now}
	if since > 0 {
		mark.smallestAsk, mark.fullScanAt = marks[key].smallestAsk, marks[key].fullScanAt
	}
	marks[key] = mark
}

// noteChange records that the capacity which a runner can offer may have changed.
func (c *Core) noteChange(r *runner) {
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
func (c *Core) pickRunner(w *openStep, now time.Duration, rack *string, since uint64) *runner {
	best := choice{core: c, work: w, now: now}
	if since > 0 {
		for r := range c.changes.after(since) {
			if (rack == nil || r.Rack == *rack) && !best.consider(r) {
				break
			}
		}
		return best.runner
	}
	all := c.sortedRunners()
	for i := range all {
		r := all[(c.searchStart+i)%len(all)]
		if (rack == nil || r.Rack == *rack) && !best.consider(r) {
			c.searchStart = (c.searchStart + i) % len(all)
			break
		}
	}
	return best.runner
}

// choice holds the best of the runners that have been compared for a task.
type choice struct {
	core     *Core
	work     *openStep
	now      time.Duration
	runner   *runner
	cost     float64
	compared int
}

// consider compares one more runner with the best one. It returns false, without comparing
// the runner, once enough runners have been compared.
func (c *choice) consider(r *runner) bool {
	if !c.core.eligible(c.work, r, c.now) {
		return true
	}
	cost := c.core.cost(c.work, r, c.now)
	if cost < 0 {
		return true
	}
	if c.compared++; c.compared > maxComparedRunners {
		return false
	}
	if c.runner == nil || cost < c.cost || cost == c.cost && r.ID < c.runner.ID {
		c.runner, c.cost = r, cost
	}
	return true
}

// eligible reports whether the step's next task may be started on the runner.
func (c *Core) eligible(w *openStep, r *runner, now time.Duration) bool {
	return c.findObstacle(w, r, now) == noObstacle
}

// findObstacle returns why the step's next task may not be started on the runner.
func (c *Core) findObstacle(w *openStep, r *runner, now time.Duration) obstacle {
	switch {
	case r.Service != w.job.queue.Service:
		return otherService
	case !r.isUsable():
		return notUsable
	case r.health.isAvoided(now):
		return runnerAvoided
	case w.step.RequiredLabel != "" && !slices.Contains(r.Labels, w.step.RequiredLabel):
		return missingLabel
	case w.step.MaxPerRunner > 0 && w.runsByRunner[r] >= w.step.MaxPerRunner:
		return maxPerRunnerReached
	case !r.fits(w):
		return noFreeCapacity
	case !w.isPermitted(r, now):
		return noTicket
	}
	return noObstacle
}

// fits reports whether the runner has free capacity for one of the step's tasks.
func (r *runner) fits(w *openStep) bool {
	return r.held.Add(r.reservedForOthers(w)).Add(w.step.Reserved()).Fits(r.Capacity)
}

// cost returns the cost of one of the step's tasks on a runner: the expected time there
// relative to the usual one, plus the capacity that best-effort tasks would lose and a small
// part for how empty the runner is. It is negative if the task should wait rather than start
// there.
func (c *Core) cost(w *openStep, r *runner, now time.Duration) float64 {
	factor := 1.0
	if w.step.DataRack != "" && w.step.DataRack != r.Rack && c.limits.RemoteDataFactor > 1 {
		factor *= c.limits.RemoteDataFactor
	}
	if r.health.isDoubtful(now) || w.isLastAttempt && !r.health.isProven(now) {
		factor *= doubtPenalty
	}
	if w.step.LongRunning && r.maintenanceDue {
		factor *= maintenancePenalty
	}
	if w.step.BestEffort {
		return c.bestEffortCost(w, r, factor, now)
	}
	free := float64(r.Capacity.CPUMilli-r.held.CPUMilli) / float64(1+r.Capacity.CPUMilli)
	return factor + c.lostCapacity(w, r) + packingWeight*free
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
// best-effort images interfere. A plain task goes where little is lost.
func (c *Core) lostCapacity(w *openStep, r *runner) float64 {
	free := r.Capacity.CPUMilli - r.plainCPUMilli - r.servingCPUMilli*expectedServingUsePercent/100
	use := w.step.Resources.CPUMilli
	shareBefore := c.usableShare(r)
	shareAfter := shareBefore
	if w.step.TailLatencyTarget > 0 {
		use = use * expectedServingUsePercent / 100
		if r.servingImages[w.kind] == nil {
			shareAfter = c.interference.usableShare(append(slices.Sorted(maps.Keys(r.servingImages)), w.kind))
		}
	}
	lost := float64(max(0, free))*shareBefore - float64(max(0, free-use))*shareAfter
	return lost / float64(1+r.Capacity.CPUMilli)
}

// usableShare returns the share, from 0 to 1, of the free capacity on the runner that
// best-effort tasks can use. It is cached until the runner's serving tasks change.
func (c *Core) usableShare(r *runner) float64 {
	if r.openness < 0 {
		r.openness = c.interference.usableShare(slices.Sorted(maps.Keys(r.servingImages)))
	}
	return r.openness
}

// bestEffortCost returns the cost of a best-effort task on a runner: the time that it would
// take with the idle processors, at a pace that is safe for the serving tasks, plus the
// weighted pressure that it would add, less a quarter of the runner's share that is free.
// It is negative if the task should wait.
func (c *Core) bestEffortCost(w *openStep, r *runner, factor float64, now time.Duration) float64 {
	f := c.forecastTask(r, w.step, w.kind, w.precedence)
	if c.bestEffortObstacle(w, r, f, now) != noObstacle {
		return -1
	}
	share := min(100, f.freeMilli*100/max(1, w.step.Resources.CPUMilli))
	pace := max(minPace, f.pace)
	return factor*100/float64(share)*fullPace/float64(pace) + addedPressureWeight*f.addedPressure - float64(f.freeMilli)/float64(1+r.Capacity.CPUMilli)/4
}

// bestEffortObstacle returns why a best-effort task should wait rather than start on the
// runner.
func (c *Core) bestEffortObstacle(w *openStep, r *runner, f forecast, now time.Duration) obstacle {
	switch {
	case f.freeMilli*100/max(1, w.step.Resources.CPUMilli) < minFreePercent:
		return noIdleProcessors
	case w.starved:
		return noObstacle
	case c.hasTaskOverTarget(r, now):
		return tasksOverTarget
	case f.pace < minStartPace, f.pace < fullPace && now-w.waitingSince < fullPaceWait:
		return wouldInterfere
	}
	return noObstacle
}

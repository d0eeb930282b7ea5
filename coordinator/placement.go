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
	key := demandKey{service: s.job.queue.Service, bestEffort: s.step.BestEffort, waitedForFullPace: s.hasWaitedForFullPace(now)}
	if s.step.BestEffort {
		key.kind, key.rank = s.kind, s.precedence.rank
	}
	return key
}

// fullScanInterval is the time after which all runners are compared again for work that
// found no runner, since some obstacles end by the passing of time, without a change of a
// runner.
const fullScanInterval = 200 * time.Millisecond

const (
	// maxRescans bounds the comparisons of all runners in one round that are made only because
	// fullScanInterval has passed. While hundreds of steps wait, such comparisons would make
	// rounds so long that new jobs and the ends of runs wait for them.
	maxRescans = 16
	// maxFullScanAge is the time after which all runners are compared in any case.
	maxFullScanAge = time.Second
)

// failedSearch records that no runner could take work that asks for at least leastRequested.
type failedSearch struct {
	leastRequested structs.Resources
	lastChange     uint64        // number of the newest change at that time
	fullScanAt     time.Duration // when all runners were last compared
}

// maxFailedSearches bounds the failed searches that are kept for one demand.
const maxFailedSearches = 8

// failedSearches holds, for each demand, the last searches that found no runner. They make it
// unnecessary to compare all runners again for each of many equal tasks and, in the next
// scheduling rounds, to compare those that have not changed. With hundreds of runners and a
// backlog, these comparisons took most of the coordinator's processor time. Several searches are
// kept because tasks of one demand differ in size: a search for a small task also holds for
// larger ones, but not the other way round.
type failedSearches struct {
	byDemand map[demandKey][]failedSearch
	// rescansLeft is how many comparisons of all runners may still be made in this round because
	// fullScanInterval has passed.
	rescansLeft int
}

func newFailedSearches() failedSearches {
	return failedSearches{byDemand: map[demandKey][]failedSearch{}, rescansLeft: maxRescans}
}

// isCurrent reports whether only runners that have changed since the search have to be compared.
// For a starved step, which may start where others may not, a search does not hold longer than
// fullScanInterval.
func (searches *failedSearches) isCurrent(failed *failedSearch, isStarved bool, now time.Duration) bool {
	age := now - failed.fullScanAt
	return age < fullScanInterval || searches.rescansLeft == 0 && !isStarved && age < maxFullScanAge
}

// find returns the newest failed search that also holds for the step's next task, or nil. A
// search for other work also holds for a step that needs a label or has a limit of tasks per
// runner, since the step can use no more runners.
func (searches *failedSearches) find(s *openStep, now time.Duration) *failedSearch {
	if !s.canUseFailedSearches() {
		return nil
	}
	var newest *failedSearch
	kept := searches.byDemand[s.demandKey(now)]
	for i := range kept {
		failed := &kept[i]
		if searches.isCurrent(failed, s.starved, now) && failed.leastRequested.Fits(s.step.Resources) && (newest == nil || failed.lastChange > newest.lastChange) {
			newest = failed
		}
	}
	own := &s.ownFailedSearch
	if own.lastChange > 0 && own.waitedForFullPace == s.hasWaitedForFullPace(now) && own.rank == s.precedence.rank && searches.isCurrent(&own.failedSearch, s.starved, now) &&
		(newest == nil || own.lastChange > newest.lastChange) {
		newest = &own.failedSearch
	}
	return newest
}

// ownFailedSearch is the last search that found no runner for a step which needs a label or has a
// limit of tasks per runner, so that it does not hold for other work.
type ownFailedSearch struct {
	failedSearch
	waitedForFullPace bool
	rank              rank
}

// canUseFailedSearches reports whether the step can use no runner that other work with its demand
// key can't use. Reservations and tickets are exceptions.
func (s *openStep) canUseFailedSearches() bool {
	return s.reservationCount == 0 && !s.job.queue.RequiresTicket
}

// hasWaitedForFullPace reports whether a best-effort task of the step starts also where it can
// run at a reduced pace only.
func (s *openStep) hasWaitedForFullPace(now time.Duration) bool {
	return now-s.waitingSince >= fullPaceWait
}

// scanSince returns the number of the change after which a runner must have changed to be
// compared for the step's next task, or zero if all runners have to be compared.
func (searches *failedSearches) scanSince(s *openStep, now time.Duration) uint64 {
	if failed := searches.find(s, now); failed != nil {
		return failed.lastChange
	}
	if s.ownFailedSearch.lastChange > 0 || s.hasSharedDemand() && len(searches.byDemand[s.demandKey(now)]) > 0 {
		searches.rescansLeft = max(0, searches.rescansLeft-1)
	}
	return 0
}

// hasSharedDemand reports whether the step finds the same runners full as other work with
// its demand key. Reservations, a label, a limit of tasks per runner or the need for advice
// make a difference.
func (s *openStep) hasSharedDemand() bool {
	return s.reservationCount == 0 && s.step.RequiredLabel == "" && s.step.MaxPerRunner == 0 && !s.job.queue.RequiresTicket
}

// record records that no runner was found among those that changed after since, or among all
// runners if since is zero.
func (searches *failedSearches) record(s *openStep, since, lastChange uint64, now time.Duration) {
	if !s.canUseFailedSearches() {
		return
	}
	if !s.hasSharedDemand() {
		fullScanAt := now
		if since > 0 {
			if failed := searches.find(s, now); failed != nil {
				fullScanAt = failed.fullScanAt
			}
		}
		s.ownFailedSearch = ownFailedSearch{failedSearch{s.step.Resources, lastChange, fullScanAt}, s.hasWaitedForFullPace(now), s.precedence.rank}
		return
	}
	if since > 0 {
		if failed := searches.find(s, now); failed != nil {
			failed.lastChange = lastChange
		}
		return
	}
	key := s.demandKey(now)
	kept := slices.DeleteFunc(searches.byDemand[key], func(failed failedSearch) bool {
		return now-failed.fullScanAt >= maxFullScanAge || s.step.Resources.Fits(failed.leastRequested)
	})
	if len(kept) == maxFailedSearches {
		kept = slices.Delete(kept, 0, 1)
	}
	searches.byDemand[key] = append(kept, failedSearch{s.step.Resources, lastChange, now})
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
	return c.searchRunners(s, now, rack, since, 1).best
}

// searchRunners makes the search of pickRunner for a number of tasks of the step. It compares as
// many runners as a search for each of them would.
func (c *Core) searchRunners(s *openStep, now time.Duration, rack *string, since uint64, tasks int) *runnerSearch {
	search := &runnerSearch{core: c, step: s, now: now, maxCompared: tasks * maxComparedRunners, wasStarved: s.starved, isLastAttempt: s.isLastAttempt, isExhaustive: true}
	if since > 0 {
		for r := range c.changes.after(since) {
			if (rack == nil || r.Rack == *rack) && !search.consider(r) {
				search.isExhaustive = false
				break
			}
		}
		return search
	}
	all := c.sortedRunners()
	for i := range all {
		r := all[(c.searchStart+i)%len(all)]
		if (rack == nil || r.Rack == *rack) && !search.consider(r) {
			c.searchStart = (c.searchStart + i) % len(all)
			search.isExhaustive = false
			break
		}
	}
	return search
}

// runnerSearch holds the best of the runners that have been compared for a task.
type runnerSearch struct {
	core     *Core
	step     *openStep
	now      time.Duration
	best     *runner
	bestCost float64
	compared int
	// maxCompared bounds the eligible runners that are compared.
	maxCompared int
	// candidates are the runners that may take the task, with their costs.
	candidates []candidate
	// isExhaustive is set if no other runner may take the task.
	isExhaustive bool
	// wasStarved and isLastAttempt are as they were for the step's task during the search.
	wasStarved, isLastAttempt bool
}

// candidate is a runner that may take a task, with the cost of the task there.
type candidate struct {
	runner *runner
	cost   float64
}

// minReusedCandidates is the least number of candidates of a search that left out runners for
// which it serves another task of the step.
const minReusedCandidates = 16

// servesNextTask reports whether the search also holds for the step's next task, after a task of
// it was started. Costs on the other runners do not depend on that start.
//
// It answers this load: a backlog of wide steps in a fleet of hundreds of runners, in which more
// than a thousand tasks are started in a second. A search of its own for each task made a round
// take 100 ms, and every job waited for that long.
func (search *runnerSearch) servesNextTask() bool {
	return search != nil && !search.wasStarved && search.isLastAttempt == search.step.isLastAttempt &&
		(search.isExhaustive || len(search.candidates) >= minReusedCandidates)
}

// update brings the search up to date after a task was started on a runner.
func (search *runnerSearch) update(started *runner) {
	i := slices.IndexFunc(search.candidates, func(c candidate) bool { return c.runner == started })
	cost := -1.0
	if search.core.isEligible(search.step, started, search.now) {
		cost = search.core.cost(search.step, started, search.now)
	}
	if cost >= 0 {
		search.candidates[i].cost = cost
	} else {
		search.candidates = slices.Delete(search.candidates, i, i+1)
	}
	search.best = nil
	for _, c := range search.candidates {
		search.prefer(c)
	}
}

// prefer makes a candidate the best one if it is better.
func (search *runnerSearch) prefer(c candidate) {
	if search.best == nil || c.cost < search.bestCost || c.cost == search.bestCost && c.runner.ID < search.best.ID {
		search.best, search.bestCost = c.runner, c.cost
	}
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
	if search.compared++; search.compared > search.maxCompared {
		return false
	}
	c := candidate{r, cost}
	search.candidates = append(search.candidates, c)
	search.prefer(c)
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
	case r.evacuated:
		return domainEvacuated
	case !r.isUsable():
		return notUsable
	case r.health.isAvoided(now):
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

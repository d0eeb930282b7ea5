package coordinator

import (
	"slices"
	"time"
)

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
// With hundreds of runners and a thousand starts a second, a search for each task would make a
// round take 100 ms.
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

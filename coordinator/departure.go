package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// noDeadline is the deadline of a departure that can wait for as long as it takes.
const noDeadline = time.Duration(math.MaxInt64)

// departure is a run that should leave its runner.
type departure struct {
	run *taskRun
	// deadline is when the run is stopped at the latest, whatever free capacity or disruption
	// budget there is. Before that, the run is stopped only if its task can start elsewhere.
	deadline time.Duration
	// mayStopWithoutCapacity is set if the run is to be stopped, within the disruption budget, although
	// no other runner has free capacity for its task.
	mayStopWithoutCapacity bool
	// oneAtATime is set if, of a long-running step without a disruption budget, only one task
	// may be unavailable.
	oneAtATime bool
	cause      string // for the log
}

// isDue reports whether the departure's deadline has passed.
func (d departure) isDue(now time.Duration) bool { return d.deadline <= now }

// move is the decision to stop the run of a departure. target has the free capacity that was
// counted on for the run's task; it is nil if the run is stopped without any.
type move struct {
	departure
	target *runner
}

// moveDepartures stops those runs that can continue elsewhere or have to be stopped now, and
// reserves the capacity that their tasks are to get. It returns the departures of the runs that
// stay for now. The runners of the departures must not be eligible for new tasks. All departures
// that are known at one point in time have to be passed in one call, since capacity is counted once
// in a call; a run may have several.
func (c *Core) moveDepartures(departures []departure, now time.Duration) (remaining []departure) {
	departures = mergeDepartures(departures)
	moved := map[*taskRun]bool{}
	for _, m := range c.planDepartures(departures, now) {
		moved[m.run] = true
		c.moveRun(m.run, now, m.cause)
		if m.target != nil {
			c.reserveForMove(m.run, m.target, now)
		}
	}
	return slices.DeleteFunc(departures, func(d departure) bool { return moved[d.run] })
}

// mergeDepartures returns one departure for each run. Of several, it takes the earliest deadline
// and the least strict conditions.
func mergeDepartures(departures []departure) []departure {
	merged := make([]departure, 0, len(departures))
	indexes := make(map[*taskRun]int, len(departures))
	for _, d := range departures {
		i, known := indexes[d.run]
		if !known {
			indexes[d.run] = len(merged)
			merged = append(merged, d)
			continue
		}
		first := &merged[i]
		first.deadline = min(first.deadline, d.deadline)
		first.mayStopWithoutCapacity = first.mayStopWithoutCapacity || d.mayStopWithoutCapacity
		first.oneAtATime = first.oneAtATime && d.oneAtATime
	}
	return merged
}

// planDepartures decides which of the departures are carried out now. It changes no state but the
// runner with which the next search begins.
func (c *Core) planDepartures(departures []departure, now time.Duration) []move {
	if len(departures) == 0 {
		return nil
	}
	p := departurePlan{core: c, now: now, failed: newFailedSearches(), full: map[*openStep]bool{}, stops: map[*openStep]int{}}
	defer p.releaseHolds(0)
	p.placeDisplaced()
	for _, unit := range c.sortedUnits(departures, now) {
		p.planUnit(unit)
	}
	return p.moves
}

// departurePlan is the state of one decision about departures.
//
// It answers this load: a part of a fleet leaves together, such as a rack, a maintenance wave or a
// failure domain, so that tens of runners with several long-running tasks each are to be emptied at
// once while the rest of the fleet is nearly full. If each of these tasks is checked by itself, all
// of them find the same free capacity, all are stopped, and most of them wait for seconds although
// their runners would have let them work on. Departures are therefore planned together on one
// snapshot: free capacity is counted once, for all of them and for the displaced tasks that wait
// already, and what was counted on stays reserved until the stopped tasks have started again, for
// reservationTime at most.
type departurePlan struct {
	core  *Core
	now   time.Duration
	moves []move
	stops map[*openStep]int // number of planned stops
	// holds are the tasks that the plan has placed. Their capacity is held on their runners until
	// the plan is complete.
	holds []hold
	// failed and full say for which work no runner was found in this plan. The plan only takes
	// capacity, so that none is found later either.
	failed failedSearches
	full   map[*openStep]bool
	// trial is the number of holds for the members of a gang that are released if there is no
	// runner for the next one. What a search does not find meanwhile may be found afterwards.
	trial int
}

// hold is capacity that a plan holds on a runner for a task of a step.
type hold struct {
	step   *openStep
	runner *runner
}

// apply adds n times the hold to the capacity in use on its runner; n may be negative.
func (h hold) apply(n int) {
	h.runner.held = h.runner.held.Add(multiplyResources(h.step.step.Reserved(), n))
	h.runner.plannedStarts += n
	h.step.runsByRunner[h.runner] += n
}

// releaseHolds releases all holds but the first kept ones.
func (p *departurePlan) releaseHolds(kept int) {
	for _, h := range p.holds[kept:] {
		h.apply(-1)
	}
	p.holds = p.holds[:kept]
}

// place finds a runner with free capacity for one more task of the step, and holds it. The step's
// own reservations are for tasks that were stopped before.
func (p *departurePlan) place(s *openStep) *runner {
	if p.full[s] {
		return nil
	}
	p.countOwnReservations(s, 1)
	since := p.failed.scanSince(s, p.now)
	r := p.core.pickRunner(s, p.now, nil, since)
	p.countOwnReservations(s, -1)
	if r == nil {
		if p.trial > 0 {
			return nil
		}
		p.full[s] = true
		if s.hasSharedDemand() { // else the search would be recorded in the step, beyond this plan
			p.failed.record(s, since, p.core.changes.last, p.now)
		}
		return nil
	}
	h := hold{s, r}
	h.apply(1)
	p.holds = append(p.holds, h)
	return r
}

// countOwnReservations counts the capacity reserved for the step as in use, or no longer if sign
// is -1. Otherwise the step's next task would find it free.
func (p *departurePlan) countOwnReservations(s *openStep, sign int) {
	if s.reservationCount == 0 {
		return
	}
	for _, r := range p.core.sortedRunners() {
		if n := r.countReservationsOf(s); n > 0 {
			hold{s, r}.apply(sign * n)
		}
	}
}

// placeAll places n tasks of a step. It holds none and returns nil if they don't all fit.
func (p *departurePlan) placeAll(s *openStep, n int) []*runner {
	kept := len(p.holds)
	var targets []*runner
	for i := range n {
		p.trial = i
		r := p.place(s)
		p.trial = 0
		if r == nil {
			p.full[s] = true // for all of its members
			p.releaseHolds(kept)
			return nil
		}
		targets = append(targets, r)
	}
	return targets
}

// placeDisplaced places the long-running tasks of begun jobs that wait. They may have waited for
// longer, and take free capacity before the tasks that would be stopped now.
func (p *departurePlan) placeDisplaced() {
	awaitingStop := p.core.countReservationsAwaitingStop()
	for _, s := range p.core.waitingSteps {
		if !s.step.LongRunning || !s.job.started || s.job.State.IsTerminal() {
			continue
		}
		waiting := max(0, len(p.core.startableTasks(s))-(s.reservationCount-awaitingStop[s]))
		if s.step.Gang {
			p.placeAll(s, waiting)
			continue
		}
		for range waiting {
			if p.place(s) == nil {
				break
			}
		}
	}
}

// sortedUnits returns the departures in the order in which they get free capacity. Those of one
// gang form a unit, as the stop of one member ends them all; each other one is a unit.
func (c *Core) sortedUnits(departures []departure, now time.Duration) [][]departure {
	var units [][]departure
	gangs := map[*openStep]int{} // index in units
	for _, d := range c.sortedDepartures(departures, now) {
		s := d.run.openStep
		if s == nil || !s.step.Gang {
			units = append(units, []departure{d})
		} else if i, known := gangs[s]; known {
			units[i] = append(units[i], d)
		} else {
			gangs[s] = len(units)
			units = append(units, []departure{d})
		}
	}
	return units
}

// departureKey is a departure with what it is ordered by.
type departureKey struct {
	departure
	isDue      bool
	precedence precedence
	task       string
}

// sortedDepartures returns the departures in the order of compare.
func (c *Core) sortedDepartures(departures []departure, now time.Duration) []departure {
	keys := make([]departureKey, len(departures))
	for i, d := range departures {
		keys[i] = departureKey{d, d.isDue(now), c.precedenceOfRun(d.run), d.run.task.String()}
	}
	slices.SortFunc(keys, departureKey.compare)
	sorted := make([]departure, len(keys))
	for i, key := range keys {
		sorted[i] = key.departure
	}
	return sorted
}

// compare orders departures by the priority of their queues. Of one priority, those whose deadline
// has passed come first, as they will need capacity in any case; then long-running tasks, which are
// missed while they wait; then tasks that resume from a checkpoint, which lose least.
func (a departureKey) compare(b departureKey) int {
	order := cmp.Or(
		cmp.Compare(a.run.job.queue.Priority, b.run.job.queue.Priority),
		compareBool(b.isDue, a.isDue),
		compareBool(b.run.step.LongRunning, a.run.step.LongRunning),
		compareBool(b.run.checkpoint != "", a.run.checkpoint != ""))
	if order != 0 {
		return order
	}
	return cmp.Or(a.precedence.compare(b.precedence), cmp.Compare(a.task, b.task), cmp.Compare(a.run.number, b.run.number))
}

// planUnit plans the stop of the unit's runs if they are due, or if the disruption budget allows it
// and there is free capacity for all of them or they need none.
func (p *departurePlan) planUnit(unit []departure) {
	isDue := slices.ContainsFunc(unit, func(d departure) bool { return d.isDue(p.now) })
	if !isDue && !p.isWithinBudget(unit) {
		return
	}
	targets := make([]*runner, len(unit))
	if s := unit[0].run.openStep; s != nil {
		found := p.placeAll(s, len(unit))
		if found == nil && !isDue && !unit[0].mayStopWithoutCapacity {
			return
		}
		copy(targets, found)
	}
	for i, d := range unit {
		p.moves = append(p.moves, move{d, targets[i]})
		p.stops[d.run.openStep]++
	}
}

// isWithinBudget reports whether the runs of a unit may be stopped in addition to the planned stops.
func (p *departurePlan) isWithinBudget(unit []departure) bool {
	for i, d := range unit {
		planned := i
		if d.run.openStep != nil {
			planned += p.stops[d.run.openStep]
		}
		if !p.core.mayStopBeside(d.run, planned, p.now) || d.oneAtATime && !d.run.isOnlyUnavailable(planned) {
			return false
		}
	}
	return true
}

// isOnlyUnavailable reports whether the stop of a long-running task leaves all other tasks of its
// step available, given the number of planned stops. The rule is for steps without a disruption
// budget; those with one follow it.
func (run *taskRun) isOnlyUnavailable(planned int) bool {
	if hasDisruptionBudget(run.step) || run.openStep == nil {
		return true
	}
	if planned > 0 {
		return false
	}
	for index := range run.step.Count {
		if index != run.task.Index && !run.openStep.isAvailable(index) {
			return false
		}
	}
	return true
}

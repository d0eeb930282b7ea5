package coordinator

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/structs"
)

// Bounds of preemption.
const (
	// preemptWait is how long work waits for free capacity before running work is stopped
	// for it.
	preemptWait = 200 * time.Millisecond
	// No run is stopped for work that will fit within freeSoonTime because other runs end by
	// themselves. Where batch tasks are that short, stopping some of them gains urgent work
	// nothing.
	freeSoonTime = 2 * time.Second
	// preemptInterval is the least time between two decisions on preemption, since each one
	// examines all runs of a service.
	preemptInterval = 100 * time.Millisecond
	// maxEvictions bounds the waiting tasks for which capacity is freed in one decision.
	maxEvictions = 16
	// maxLossFactor bounds the work that may be lost for a waiting task, as a multiple of
	// the task's own work. It exceeds 1 because late urgent work costs more than batch work
	// that is done twice.
	maxLossFactor = 4
)

// preemption holds the state of one decision about which runs to stop for waiting work.
type preemption struct {
	core *Core
	now  time.Duration
	// assignedCapacity is the capacity that steps examined earlier in this decision will
	// get without stopping any run.
	assignedCapacity map[*runner]structs.Resources
	// leastImportant is the largest priority number among the runs of each service.
	leastImportant map[string]int
	// victims and endingCapacity are cached, since many steps may wait.
	victims        map[victimsKey][]victim
	endingCapacity map[*runner]structs.Resources
	evictionsLeft  int // number of evictions that this decision may still make
}

// victimsKey identifies the victims on a runner for work of a priority.
type victimsKey struct {
	runner   *runner
	priority int
}

// preempt stops runs of less important queues for the steps that found no runner, in the
// order of the steps' precedence.
func (c *Core) preempt(unplaced []*openStep, now time.Duration) {
	if len(unplaced) == 0 || now < c.nextPreemption {
		return
	}
	c.nextPreemption = now + preemptInterval
	unplaced = slices.DeleteFunc(unplaced, func(s *openStep) bool { return !s.mayPreempt(now) })
	if len(unplaced) == 0 {
		return
	}
	p := preemption{core: c, now: now, assignedCapacity: map[*runner]structs.Resources{}, leastImportant: c.leastImportantPriorities(),
		victims: map[victimsKey][]victim{}, endingCapacity: map[*runner]structs.Resources{}, evictionsLeft: maxEvictions}
	for _, s := range unplaced {
		if p.leastImportant[s.job.queue.Service] > s.job.queue.Priority {
			p.freeCapacityFor(s)
		}
	}
}

// mayPreempt reports whether running work may be stopped for the step. Best-effort tasks
// wait for processors that others leave idle, jobs that are far too late earn nothing any
// more, and long-running tasks would keep the capacity, which later urgent work would
// lack. No run is stopped for a gang either.
func (s *openStep) mayPreempt(now time.Duration) bool {
	return !s.step.LongRunning && !s.step.BestEffort && !s.step.Gang && s.precedence.rank < rankFarTooLate && now-s.waitingSince >= preemptWait
}

// leastImportantPriorities returns the largest priority number among the runs of each
// service.
func (c *Core) leastImportantPriorities() map[string]int {
	least := map[string]int{}
	for _, r := range c.runners {
		for run := range r.runs {
			least[r.Service] = max(least[r.Service], run.job.queue.Priority)
		}
	}
	return least
}

// freeCapacityFor stops runs for those tasks of a step that would not fit soon without that.
func (p *preemption) freeCapacityFor(s *openStep) {
	runners, soon := p.fullRunners(s)
	if soon {
		return
	}
	missing := len(p.core.startableTasks(s)) - p.assignCapacity(s, runners)
	evictions := make([]eviction, len(runners))
	for i, r := range runners {
		evictions[i] = p.planEviction(s, r)
	}
	for missing > 0 && p.evictionsLeft > 0 {
		best := cheapestEviction(evictions)
		if best < 0 || evictions[best].loss > maxLossFactor*s.taskCoreSeconds() {
			return
		}
		p.executeEviction(s, evictions[best])
		for i, e := range evictions {
			// The victims planned on another runner may not be stoppable any more: they may
			// share a job or a disruption budget with those just stopped.
			if i == best || slices.ContainsFunc(e.victims, func(v victim) bool { return !p.isStoppable(v) }) {
				evictions[i] = p.planEviction(s, e.runner)
			}
		}
		missing--
	}
}

// fullRunners returns the runners that lack nothing but free capacity for the step. The
// result soon is set if some runner has the capacity and lacks only a ticket, or is avoided
// for no longer than freeSoonTime.
func (p *preemption) fullRunners(s *openStep) (full []*runner, soon bool) {
	for _, r := range p.core.sortedRunners() {
		switch p.core.findObstacle(s, r, p.now) {
		case noFreeCapacity:
			if s.isPermitted(r, p.now) {
				full = append(full, r)
			}
		case noTicket:
			return nil, true
		case domainReturning:
			if r.hasCapacityFor(s) {
				return nil, true
			}
		case runnerAvoided:
			if r.health.avoidUntil-p.now <= freeSoonTime && r.hasCapacityFor(s) {
				return nil, true
			}
		}
	}
	return full, false
}

// assignCapacity returns the number of the step's tasks that will fit within freeSoonTime,
// at most the number of pending ones. It assigns the capacity to them, so that other steps
// in this decision don't count it again.
func (p *preemption) assignCapacity(s *openStep, runners []*runner) int {
	assigned := 0
	for _, r := range runners {
		free := r.Capacity.Sub(r.held).Add(p.capacityEndingSoon(r)).Sub(r.reservedForOthers(s)).Sub(p.assignedCapacity[r])
		fitting := s.tasksThatFit(r, free)
		fitting = min(fitting, len(s.pending)-assigned)
		for range fitting - r.countReservationsOf(s) {
			p.assignedCapacity[r] = p.assignedCapacity[r].Add(s.step.Reserved())
		}
		assigned += max(0, fitting)
	}
	return assigned
}

// capacityEndingSoon returns the capacity held by runs that are expected to end within
// freeSoonTime.
func (p *preemption) capacityEndingSoon(r *runner) structs.Resources {
	sum, known := p.endingCapacity[r]
	if known {
		return sum
	}
	for run := range r.runs {
		if run.endsWithin(freeSoonTime, p.now) {
			sum = sum.Add(run.step.Reserved())
		}
	}
	p.endingCapacity[r] = sum
	return sum
}

// isStoppable reports whether a victim may still be stopped after other victims were.
func (p *preemption) isStoppable(v victim) bool {
	return v.state == stateRunning && p.core.mayStop(v.taskRun, p.now)
}

// victimsOn returns the runs on a runner that may be stopped for work of a priority.
func (p *preemption) victimsOn(r *runner, priority int) []victim {
	key := victimsKey{r, priority}
	if _, known := p.victims[key]; !known {
		p.victims[key] = p.core.victimsOn(r, priority, p.now)
	}
	p.victims[key] = slices.DeleteFunc(p.victims[key], func(v victim) bool { return !p.isStoppable(v) })
	return p.victims[key]
}

// tasksThatFit returns how many of the step's pending tasks fit into the free capacity of a
// runner.
func (s *openStep) tasksThatFit(r *runner, free structs.Resources) int {
	n := len(s.pending)
	if s.step.MaxPerRunner > 0 {
		n = min(n, s.step.MaxPerRunner-s.runsByRunner[r])
	}
	requested := s.step.Reserved()
	for n > 0 && !multiplyResources(requested, n).Fits(free) {
		n--
	}
	return max(0, n)
}

func multiplyResources(resources structs.Resources, n int) structs.Resources {
	return structs.Resources{CPUMilli: resources.CPUMilli * int64(n), MemoryMB: resources.MemoryMB * int64(n), Accelerators: resources.Accelerators * int64(n)}
}

// planEviction returns the runs to stop on a runner so that one more task of the step fits.
// The eviction has no victims if that is not possible.
func (p *preemption) planEviction(s *openStep, r *runner) eviction {
	if s.step.MaxPerRunner > 0 && s.runsByRunner[r]+r.countReservationsOf(s) >= s.step.MaxPerRunner {
		return eviction{runner: r}
	}
	victims := p.victimsOn(r, s.job.queue.Priority)
	if len(victims) == 0 {
		return eviction{runner: r}
	}
	needed := r.held.Sub(p.capacityEndingSoon(r)).Add(p.assignedCapacity[r]).Add(s.step.Reserved())
	for _, other := range r.reservations {
		needed = needed.Add(other.step.step.Reserved())
	}
	return selectVictims(r, victims, needed.Sub(r.Capacity))
}

// cheapestEviction returns the index of the eviction with the least loss, or -1 if no
// eviction has victims.
func cheapestEviction(evictions []eviction) int {
	best := -1
	for i, e := range evictions {
		if len(e.victims) > 0 && (best < 0 || e.loss < evictions[best].loss) {
			best = i
		}
	}
	return best
}

// taskCoreSeconds returns the estimated work of one of the step's tasks in core-seconds.
func (s *openStep) taskCoreSeconds() float64 {
	return coreSeconds(s.step.Resources, s.job.taskEstimates[s.index])
}

// executeEviction stops the victims and reserves their capacity for the step.
func (p *preemption) executeEviction(s *openStep, e eviction) {
	c := p.core
	for _, v := range e.victims {
		v.job.preemptions[v.task]++
		c.counters("runs_preempted", 1)
		c.log.WithFields(logrus.Fields{"task": v.task, "run": v.number, "runner": v.runner.ID, "percent": v.percent,
			"saved": v.checkpointPercent, "for": s.job.ID, "step": s.index}).Info("run preempted")
		c.evictRun(v.taskRun, p.now)
	}
	delete(p.endingCapacity, e.runner)
	c.reserveCapacity(s, e.runner, p.now)
	p.evictionsLeft--
}

package coordinator

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/structs"
)

// Bounds of preemption.
const (
	// preemptWait is how long work waits for room before running work is stopped
	// for it.
	preemptWait = 200 * time.Millisecond
	// soonTime is how long room that running work will free is waited for. Where
	// batch tasks are that short, stopping some gains urgent work nothing.
	soonTime = 2 * time.Second
	// preemptEvery spaces the decisions: each looks at all runs of a service.
	preemptEvery = 100 * time.Millisecond
	// maxEvictions bounds the tasks that room is made for in one decision.
	maxEvictions = 16
	// maxLossShare bounds what may be lost for a task, in times of its own
	// work: late urgent work costs more than batch work done twice.
	maxLossShare = 4
)

// preemption is the state of a decision which running work is stopped for work
// that waits.
type preemption struct {
	core *Core
	now  time.Duration
	// promised is room that work which was looked at earlier will get without
	// any stop.
	promised map[*runner]structs.Resources
	// least is the largest priority number among the runs of each service.
	least map[string]int
	// victims and ending are worked out once: many steps may wait.
	victims map[victimsKey][]victim
	ending  map[*runner]structs.Resources
	left    int // evictions
}

type victimsKey struct {
	runner   *runner
	priority int
}

// preempt stops running work of less important queues for steps that found no
// room, in the order in which they are served.
func (c *Core) preempt(blocked []*work, now time.Duration) {
	if len(blocked) == 0 || now < c.nextPreemption {
		return
	}
	c.nextPreemption = now + preemptEvery
	blocked = slices.DeleteFunc(blocked, func(w *work) bool { return !w.mayPreempt(now) })
	if len(blocked) == 0 {
		return
	}
	p := preemption{core: c, now: now, promised: map[*runner]structs.Resources{}, least: c.leastPriorities(),
		victims: map[victimsKey][]victim{}, ending: map[*runner]structs.Resources{}, left: maxEvictions}
	for _, w := range blocked {
		if p.least[w.job.queue.Service] > w.job.queue.Priority {
			p.makeRoom(w)
		}
	}
}

// mayPreempt reports whether running work may be stopped for the step. Filling
// tasks wait for what others leave, late results of worthless ones earn nothing,
// and long-running tasks would hold what they get: urgent work that ends would
// lack it next.
func (w *work) mayPreempt(now time.Duration) bool {
	return !w.step.LongRunning && !w.step.BestEffort && !w.step.Gang && w.precedence.rank < worthless && now-w.since >= preemptWait
}

// leastPriorities returns the largest priority number among the runs of each
// service.
func (c *Core) leastPriorities() map[string]int {
	least := map[string]int{}
	for _, r := range c.runners {
		for x := range r.runs {
			least[r.Service] = max(least[r.Service], x.job.queue.Priority)
		}
	}
	return least
}

// makeRoom stops running work for the tasks of a step that will not fit soon.
func (p *preemption) makeRoom(w *work) {
	runners, soon := p.fullRunners(w)
	if soon {
		return
	}
	missing := len(p.core.startable(w)) - p.promise(w, runners)
	evictions := make([]eviction, len(runners))
	for i, r := range runners {
		evictions[i] = p.evictionFor(w, r)
	}
	for missing > 0 && p.left > 0 {
		best := cheapest(evictions)
		if best < 0 || evictions[best].loss > maxLossShare*w.taskWork() {
			return
		}
		p.carryOut(w, evictions[best])
		for i, e := range evictions {
			// Runners that share a job or a disruption budget with the victims may
			// have lost theirs.
			if i == best || slices.ContainsFunc(e.victims, func(v victim) bool { return !p.stoppable(v) }) {
				evictions[i] = p.evictionFor(w, e.runner)
			}
		}
		missing--
	}
}

// fullRunners returns the runners that lack nothing but room for the step, or
// reports that one has room and waits only for advice or for the end of the pause
// after a refusal.
func (p *preemption) fullRunners(w *work) (full []*runner, soon bool) {
	for _, r := range p.core.candidates() {
		switch p.core.obstacle(w, r, p.now) {
		case noRoom:
			if w.permitted(r, p.now) {
				full = append(full, r)
			}
		case noTicket:
			return nil, true
		case avoided:
			if r.health.avoidUntil-p.now <= soonTime && r.fits(w) {
				return nil, true
			}
		}
	}
	return full, false
}

// promise counts the step's tasks that will fit within soonTime, at most as many
// as wait, and keeps others in this decision from counting the same room.
func (p *preemption) promise(w *work, runners []*runner) int {
	count := 0
	for _, r := range runners {
		free := r.Capacity.Sub(r.held).Add(p.endingOn(r)).Sub(r.claimedFrom(w)).Sub(p.promised[r])
		places := w.places(r, free)
		places = min(places, len(w.pending)-count)
		for range places - r.claimsOf(w) {
			p.promised[r] = p.promised[r].Add(w.step.Reserved())
		}
		count += max(0, places)
	}
	return count
}

// endingOn is what runs hold that are expected to end within soonTime.
func (p *preemption) endingOn(r *runner) structs.Resources {
	sum, known := p.ending[r]
	if known {
		return sum
	}
	for x := range r.runs {
		if x.endsWithin(soonTime, p.now) {
			sum = sum.Add(x.step.Reserved())
		}
	}
	p.ending[r] = sum
	return sum
}

// stoppable reports whether a victim may still be stopped after others were.
func (p *preemption) stoppable(v victim) bool {
	return v.phase == running && p.core.mayStop(v.run, p.now)
}

// victimsOn returns the victims on a runner for work of a priority.
func (p *preemption) victimsOn(r *runner, priority int) []victim {
	key := victimsKey{r, priority}
	if _, known := p.victims[key]; !known {
		p.victims[key] = p.core.victimsOn(r, priority, p.now)
	}
	p.victims[key] = slices.DeleteFunc(p.victims[key], func(v victim) bool { return !p.stoppable(v) })
	return p.victims[key]
}

// places is how many of the step's tasks fit into free room of a runner.
func (w *work) places(r *runner, free structs.Resources) int {
	n := len(w.pending)
	if w.step.MaxPerRunner > 0 {
		n = min(n, w.step.MaxPerRunner-w.onRunner[r])
	}
	ask := w.step.Reserved()
	for n > 0 && !times(ask, n).Fits(free) {
		n--
	}
	return max(0, n)
}

func times(r structs.Resources, n int) structs.Resources {
	return structs.Resources{CPUMilli: r.CPUMilli * int64(n), MemoryMB: r.MemoryMB * int64(n), Accelerators: r.Accelerators * int64(n)}
}

// evictionFor returns what to stop on a runner for one more task of the step.
func (p *preemption) evictionFor(w *work, r *runner) eviction {
	if w.step.MaxPerRunner > 0 && w.onRunner[r]+r.claimsOf(w) >= w.step.MaxPerRunner {
		return eviction{runner: r}
	}
	victims := p.victimsOn(r, w.job.queue.Priority)
	if len(victims) == 0 {
		return eviction{runner: r}
	}
	need := r.held.Sub(p.endingOn(r)).Add(p.promised[r]).Add(w.step.Reserved())
	for _, k := range r.claims {
		need = need.Add(k.work.step.Reserved())
	}
	return evict(r, victims, need.Sub(r.Capacity))
}

// cheapest returns the index of the eviction that loses least, or -1.
func cheapest(evictions []eviction) int {
	best := -1
	for i, e := range evictions {
		if len(e.victims) > 0 && (best < 0 || e.loss < evictions[best].loss) {
			best = i
		}
	}
	return best
}

// taskWork is the work of one of the step's tasks in core-seconds.
func (w *work) taskWork() float64 {
	return coreSeconds(w.step.Resources, w.job.estimates[w.index])
}

// carryOut stops the victims and keeps their room for the step.
func (p *preemption) carryOut(w *work, e eviction) {
	c := p.core
	for _, x := range e.victims {
		x.job.preemptions[x.task]++
		c.counters("runs_preempted", 1)
		c.log.WithFields(logrus.Fields{"task": x.task, "run": x.number, "runner": x.runner.ID, "percent": x.percent,
			"saved": x.savedPercent, "for": w.job.ID, "step": w.index}).Info("run is preempted")
		c.displace(x.run, p.now)
	}
	delete(p.ending, e.runner)
	c.claimRoom(w, e.runner, p.now)
	p.left--
}

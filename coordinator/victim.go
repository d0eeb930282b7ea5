package coordinator

import (
	"cmp"
	"slices"
	"time"

	"bergamotstile/structs"
)

const (
	// acceleratorProcessors is how many processors an accelerator counts for.
	acceleratorProcessors = 8
	// resumeTime is what every stopped task loses, for the stop, the report of
	// its end and its restart.
	resumeTime = 500 * time.Millisecond
	// lastingLoss is what the stop of a long-running task counts for: it earns
	// nothing until another task makes room.
	lastingLoss = 10 * time.Second
	// maxPreemptions is how often a task is stopped for more important work. It
	// bounds the delay of a job, whose tasks run side by side.
	maxPreemptions = 2
)

// coreSeconds is the worth of holding resources for a time.
func coreSeconds(r structs.Resources, span time.Duration) float64 {
	cores := float64(r.CPUMilli)/1000 + float64(r.Accelerators*acceleratorProcessors)
	return cores * span.Seconds()
}

// loss estimates the core-seconds of work that a stop of the run costs.
func (x *run) loss() float64 {
	unsaved := x.percent
	switch {
	case x.step.LongRunning:
		return coreSeconds(x.step.Resources, lastingLoss)
	case x.step.Checkpoints:
		unsaved -= x.savedPercent
	}
	done := x.job.estimates[x.task.Step] * time.Duration(unsaved) / fullPace
	return coreSeconds(x.step.Resources, done+resumeTime)
}

// preemptible reports whether a run may be stopped for work of a priority.
// Members of gangs are not stopped, since that would end the whole gang.
func (c *Core) preemptible(x *run, priority int, now time.Duration) bool {
	return x.phase == running && x.work != nil && x.job.queue.Priority > priority && !x.step.Gang &&
		x.job.preemptions[x.task] < maxPreemptions && !x.endsWithin(soonTime, now) && c.mayStop(x, now)
}

// endsWithin reports whether a run is expected to free its room within a time.
func (x *run) endsWithin(span, now time.Duration) bool {
	if x.phase == stopping {
		return true
	}
	if x.step.LongRunning {
		return false
	}
	left := x.timeLeft(now)
	overdue := x.percent == 0 && left < 0 // nothing is known of its end
	return left <= span && !overdue
}

// timeLeft estimates how long a run goes on.
func (x *run) timeLeft(now time.Duration) time.Duration {
	spent := now - x.began
	if x.percent > 0 {
		return spent * time.Duration(fullPace-x.percent) / time.Duration(x.percent)
	}
	return x.job.estimates[x.task.Step] - spent
}

// victim is a run that may be stopped, and the core-seconds that this costs.
type victim struct {
	*run
	loss float64
}

// victimsOn returns the runs on a runner that may be stopped for work of a
// priority, those that lose least first.
func (c *Core) victimsOn(r *runner, priority int, now time.Duration) []victim {
	var out []victim
	for x := range r.runs {
		if c.preemptible(x, priority, now) {
			out = append(out, victim{x, x.loss()})
		}
	}
	slices.SortFunc(out, victim.compare)
	return out
}

// compare orders victims by what they lose, long-running ones last and filling
// ones first among equals.
func (v victim) compare(o victim) int {
	order := cmp.Or(compareBool(v.step.LongRunning, o.step.LongRunning), cmp.Compare(v.loss, o.loss), compareBool(o.step.BestEffort, v.step.BestEffort))
	if order != 0 {
		return order
	}
	return cmp.Compare(v.task.String(), o.task.String())
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// eviction is the least costly way to free room on a runner.
type eviction struct {
	runner  *runner
	victims []victim
	loss    float64 // core-seconds
}

// evict chooses from the victims on a runner those whose stop frees the room that
// lacks, no more of them than needed. There are none if it can't be freed.
func evict(r *runner, victims []victim, lacking structs.Resources) eviction {
	e := eviction{runner: r}
	var freed structs.Resources
	for _, v := range victims {
		if lacking.Fits(freed) {
			break
		}
		if v.relieves(lacking.Sub(freed)) && !e.hasLasting(v) {
			e.victims = append(e.victims, v)
			freed = freed.Add(v.step.Reserved())
		}
	}
	if !lacking.Fits(freed) {
		return eviction{runner: r}
	}
	e.prune(lacking, freed)
	for _, v := range e.victims {
		e.loss += v.loss
	}
	return e
}

// relieves reports whether the run holds some of what lacks.
func (x *run) relieves(lacking structs.Resources) bool {
	held := x.step.Reserved()
	return lacking.CPUMilli > 0 && held.CPUMilli > 0 || lacking.MemoryMB > 0 && held.MemoryMB > 0 ||
		lacking.Accelerators > 0 && held.Accelerators > 0
}

// hasLasting reports whether a long-running task of the victim's step is chosen
// already: the disruption budget is checked for one at a time.
func (e *eviction) hasLasting(v victim) bool {
	return v.step.LongRunning && slices.ContainsFunc(e.victims, func(o victim) bool { return o.work == v.work })
}

// prune spares the victims that are not needed, the most costly ones first.
func (e *eviction) prune(lacking, freed structs.Resources) {
	for i := len(e.victims) - 1; i >= 0; i-- {
		if rest := freed.Sub(e.victims[i].step.Reserved()); lacking.Fits(rest) {
			freed = rest
			e.victims = slices.Delete(e.victims, i, i+1)
		}
	}
}

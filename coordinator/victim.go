package coordinator

import (
	"cmp"
	"slices"
	"time"

	"bergamotstile/structs"
)

const (
	// processorsPerAccelerator is the number of processors that an accelerator counts for.
	processorsPerAccelerator = 8
	// restartTime is the time that every stopped task loses for the stop, the report of its
	// end and its restart.
	restartTime = 500 * time.Millisecond
	// longRunningLossTime is the run time that counts as lost when a long-running task is
	// stopped: its work is missing until capacity for it is free again.
	longRunningLossTime = 10 * time.Second
	// maxPreemptions is how often a task may be stopped for more important work. It bounds
	// the delay of the task's job, since the tasks of a job run side by side.
	maxPreemptions = 2
)

// coreSeconds returns the cost of holding resources for a time, in core-seconds.
func coreSeconds(r structs.Resources, span time.Duration) float64 {
	cores := float64(r.CPUMilli)/1000 + float64(r.Accelerators*processorsPerAccelerator)
	return cores * span.Seconds()
}

// stopLoss estimates the work, in core-seconds, that is lost if the run is stopped.
func (x *taskRun) stopLoss() float64 {
	unsaved := x.percent
	switch {
	case x.step.LongRunning:
		return coreSeconds(x.step.Resources, longRunningLossTime)
	case x.step.Checkpoints:
		unsaved -= x.checkpointPercent
	}
	lostTime := x.job.taskEstimates[x.task.Step] * time.Duration(unsaved) / fullPace
	return coreSeconds(x.step.Resources, lostTime+restartTime)
}

// isPreemptible reports whether a run may be stopped for work of a priority. Members of
// gangs are not stopped, since that would end the whole gang.
func (c *Core) isPreemptible(x *taskRun, priority int, now time.Duration) bool {
	return x.phase == running && x.openStep != nil && x.job.queue.Priority > priority && !x.step.Gang &&
		x.job.preemptions[x.task] < maxPreemptions && !x.endsWithin(freeSoonTime, now) && c.mayStop(x, now)
}

// endsWithin reports whether a run is expected to free its capacity within the given span.
func (x *taskRun) endsWithin(span, now time.Duration) bool {
	if x.phase == stopping {
		return true
	}
	if x.step.LongRunning {
		return false
	}
	left := x.timeLeft(now)
	overdue := x.percent == 0 && left < 0 // no progress is reported and the estimate has passed
	return left <= span && !overdue
}

// timeLeft estimates how long a run will go on.
func (x *taskRun) timeLeft(now time.Duration) time.Duration {
	spent := now - x.startedAt
	if x.percent > 0 {
		return spent * time.Duration(fullPace-x.percent) / time.Duration(x.percent)
	}
	return x.job.taskEstimates[x.task.Step] - spent
}

// victim is a run that may be stopped, with the loss in core-seconds that this causes.
type victim struct {
	*taskRun
	loss float64
}

// victimsOn returns the runs on a runner that may be stopped for work of a priority, those
// with the least loss first.
func (c *Core) victimsOn(r *runner, priority int, now time.Duration) []victim {
	var victims []victim
	for x := range r.runs {
		if c.isPreemptible(x, priority, now) {
			victims = append(victims, victim{x, x.stopLoss()})
		}
	}
	slices.SortFunc(victims, victim.compare)
	return victims
}

// compare orders victims by loss, but long-running ones after all others. Among equals,
// best-effort tasks come first.
func (v victim) compare(other victim) int {
	order := cmp.Or(compareBool(v.step.LongRunning, other.step.LongRunning), cmp.Compare(v.loss, other.loss), compareBool(other.step.BestEffort, v.step.BestEffort))
	if order != 0 {
		return order
	}
	return cmp.Compare(v.task.String(), other.task.String())
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

// eviction is a choice of runs on a runner whose stop frees the capacity for one task.
type eviction struct {
	runner  *runner
	victims []victim
	loss    float64 // core-seconds
}

// selectVictims chooses from the victims on a runner those whose stop frees the missing
// capacity, no more of them than needed. The eviction has no victims if the capacity can't
// be freed.
func selectVictims(r *runner, victims []victim, missing structs.Resources) eviction {
	e := eviction{runner: r}
	var freed structs.Resources
	for _, v := range victims {
		if missing.Fits(freed) {
			break
		}
		if v.holdsAnyOf(missing.Sub(freed)) && !e.hasLongRunningOfStep(v) {
			e.victims = append(e.victims, v)
			freed = freed.Add(v.step.Reserved())
		}
	}
	if !missing.Fits(freed) {
		return eviction{runner: r}
	}
	e.dropUnneededVictims(missing, freed)
	for _, v := range e.victims {
		e.loss += v.loss
	}
	return e
}

// holdsAnyOf reports whether the run holds some of the missing resources.
func (x *taskRun) holdsAnyOf(missing structs.Resources) bool {
	held := x.step.Reserved()
	return missing.CPUMilli > 0 && held.CPUMilli > 0 || missing.MemoryMB > 0 && held.MemoryMB > 0 ||
		missing.Accelerators > 0 && held.Accelerators > 0
}

// hasLongRunningOfStep reports whether a long-running task of the victim's step has already
// been chosen. Only one may be, since the disruption budget is checked for one stop at a time.
func (e *eviction) hasLongRunningOfStep(v victim) bool {
	return v.step.LongRunning && slices.ContainsFunc(e.victims, func(other victim) bool { return other.openStep == v.openStep })
}

// dropUnneededVictims removes the victims that are not needed, beginning with the greatest loss.
func (e *eviction) dropUnneededVictims(missing, freed structs.Resources) {
	for i := len(e.victims) - 1; i >= 0; i-- {
		if remaining := freed.Sub(e.victims[i].step.Reserved()); missing.Fits(remaining) {
			freed = remaining
			e.victims = slices.Delete(e.victims, i, i+1)
		}
	}
}

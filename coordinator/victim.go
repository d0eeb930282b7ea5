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
	// result and its restart.
	restartTime = 500 * time.Millisecond
	// longRunningLossTime is the run time that counts as lost when a long-running task is
	// stopped: its work is missing until capacity for it is free again.
	longRunningLossTime = 10 * time.Second
	// maxPreemptions is how often a task may be stopped for more important work. It bounds
	// the delay of the task's job, since the tasks of a job run side by side.
	maxPreemptions = 2
)

// coreSeconds returns the cost of holding resources for a time, in core-seconds.
func coreSeconds(resources structs.Resources, duration time.Duration) float64 {
	cores := float64(resources.CPUMilli)/1000 + float64(resources.Accelerators*processorsPerAccelerator)
	return cores * duration.Seconds()
}

// stopLoss estimates the work, in core-seconds, that is lost if the run is stopped.
func (run *taskRun) stopLoss() float64 {
	unsaved := run.percent
	switch {
	case run.step.LongRunning:
		return coreSeconds(run.step.Resources, longRunningLossTime)
	case run.step.Checkpoints:
		unsaved -= run.checkpointPercent
	}
	lostTime := run.job.taskEstimates[run.task.Step] * time.Duration(unsaved) / fullPace
	return coreSeconds(run.step.Resources, lostTime+restartTime)
}

// isPreemptible reports whether a run may be stopped for work of a priority. Members of
// gangs are not stopped, since that would end the whole gang.
func (c *Core) isPreemptible(run *taskRun, priority int, now time.Duration) bool {
	return run.state == stateRunning && run.openStep != nil && run.job.queue.Priority > priority && !run.step.Gang &&
		run.job.preemptions[run.task] < maxPreemptions && !run.endsWithin(freeSoonTime, now) && c.mayStop(run, now)
}

// endsWithin reports whether a run is expected to free its capacity within the given
// duration.
func (run *taskRun) endsWithin(duration, now time.Duration) bool {
	if run.state == stateStopping {
		return true
	}
	if run.step.LongRunning {
		return false
	}
	left := run.timeLeft(now)
	overdue := run.percent == 0 && left < 0 // no progress is reported and the estimate has passed
	return left <= duration && !overdue
}

// timeLeft estimates how long a run will go on. The start of an adopted run is not known, so its
// progress can't be related to the time spent.
func (run *taskRun) timeLeft(now time.Duration) time.Duration {
	spent := now - run.startedAt
	if run.percent > 0 && run.adoptedAt > 0 {
		return run.job.taskEstimates[run.task.Step] * time.Duration(fullPace-run.percent) / fullPace
	}
	if run.percent > 0 {
		return spent * time.Duration(fullPace-run.percent) / time.Duration(run.percent)
	}
	return run.job.taskEstimates[run.task.Step] - spent
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
	for run := range r.runs {
		if c.isPreemptible(run, priority, now) {
			victims = append(victims, victim{run, run.stopLoss()})
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
	e.removeUnneededVictims(missing, freed)
	for _, v := range e.victims {
		e.loss += v.loss
	}
	return e
}

// holdsAnyOf reports whether the run holds some of the missing resources.
func (run *taskRun) holdsAnyOf(missing structs.Resources) bool {
	held := run.step.Reserved()
	return missing.CPUMilli > 0 && held.CPUMilli > 0 || missing.MemoryMB > 0 && held.MemoryMB > 0 ||
		missing.Accelerators > 0 && held.Accelerators > 0
}

// hasLongRunningOfStep reports whether a long-running task of the victim's step has already
// been chosen. Only one may be, since the disruption budget is checked for one stop at a time.
func (e *eviction) hasLongRunningOfStep(v victim) bool {
	return v.step.LongRunning && slices.ContainsFunc(e.victims, func(other victim) bool { return other.openStep == v.openStep })
}

// removeUnneededVictims removes the victims that are not needed, beginning with the greatest
// loss.
func (e *eviction) removeUnneededVictims(missing, freed structs.Resources) {
	for i := len(e.victims) - 1; i >= 0; i-- {
		if remaining := freed.Sub(e.victims[i].step.Reserved()); missing.Fits(remaining) {
			freed = remaining
			e.victims = slices.Delete(e.victims, i, i+1)
		}
	}
}

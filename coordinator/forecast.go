package coordinator

import (
	"time"

	"bergamotstile/interference"
	"bergamotstile/jobs"
)

// Assumptions about the future of serving tasks and the best-effort tasks beside them.
const (
	// ownLoadRise is how much the degradation by a serving task's own load may rise while
	// a new best-effort task runs beside it. It comes on top of degradationHeadroom.
	ownLoadRise = 0.2
	// minExpectedUsePercent is the least part of the processors asked for that a slowed
	// task is expected to use, since its pace may rise again.
	minExpectedUsePercent = 30
)

// servingPressure is the pressure of best-effort tasks on the serving tasks of one image on
// a runner.
type servingPressure struct {
	kind    interference.Kind
	tasks   int
	limit   float64 // largest pressure at which the tasks stay below their target
	current float64 // pressure of all best-effort tasks at their present paces
}

// servingPressuresOn returns the pressures on the serving images of a runner. The result
// is cached until the runner's tasks change or the runner reports.
func (c *Core) servingPressuresOn(r *runner) []servingPressure {
	if r.servingPressures != nil || len(r.servingImages) == 0 {
		return r.servingPressures
	}
	for kind, image := range r.servingImages {
		p := servingPressure{kind: kind, tasks: image.tasks}
		ownLoad := min(maxOwnLoadDegradation, r.ownLoadDegradationOf(kind)+ownLoadRise)
		p.limit = max(alwaysAllowedPressure, c.interference.degradation(image.step, targetMS(image.step))-degradationHeadroom-ownLoad)
		for other := range r.bestEffortCPUMilliByImage {
			p.current += c.pressureOf(r, kind, other) * float64(r.paceOf(other)) / fullPace
		}
		r.servingPressures = append(r.servingPressures, p)
	}
	return r.servingPressures
}

// ownLoadDegradationOf returns the largest degradation by their own load among the serving
// tasks of an image on the runner, or zero if none has been estimated.
func (r *runner) ownLoadDegradationOf(kind interference.Kind) float64 {
	largest := -maxOwnLoadDegradation
	known := false
	for run := range r.runs {
		if run.kind == kind && run.ownLoad.isKnown {
			largest, known = max(largest, run.ownLoad.level), true
		}
	}
	if !known {
		return 0
	}
	return largest
}

// forecast is what a new best-effort task can expect on a runner.
type forecast struct {
	pace      int   // percent
	freeMilli int64 // idle processors, in thousandths
	// addedPressure is the pressure that the task would add at full pace, summed over
	// the serving tasks.
	addedPressure float64
}

// forecastTask predicts what a new task of a best-effort step will get on the runner.
// Tasks of later classes are not counted, since they are slowed in favour of the new one.
func (c *Core) forecastTask(r *runner, step *jobs.Step, kind interference.Kind, taskPrecedence precedence) forecast {
	requestedMilli := max(1, step.Resources.CPUMilli)
	var competingUse, sameImageRequestedMilli int64
	for _, run := range r.bestEffortRuns {
		if !taskPrecedence.paceClass().isBefore(run.precedence.paceClass()) {
			competingUse += run.expectedUseMilli()
			if run.kind == kind {
				sameImageRequestedMilli += run.step.Resources.CPUMilli
			}
		}
	}
	expected := forecast{freeMilli: r.expectedIdleMilli() + r.bestEffortCPUMilli - competingUse}
	use, addedPressure := c.safeUseMilli(r, kind, requestedMilli)
	expected.addedPressure = addedPressure
	expected.pace = min(fullPace, int(max(0, use-sameImageRequestedMilli)*fullPace/requestedMilli))
	return expected
}

// expectedUseMilli returns the processors, in thousandths, that a best-effort task is
// expected to use at its pace. Slowed tasks leave processors free for others.
func (run *taskRun) expectedUseMilli() int64 {
	if run.pace < 0 {
		return run.step.Resources.CPUMilli
	}
	return run.step.Resources.CPUMilli * int64(max(minExpectedUsePercent, run.pace)) / fullPace
}

// safeUseMilli returns how much all tasks of a best-effort image, together with a new one
// that asks for requestedMilli, may use on the runner, in thousandths of a processor,
// without exceeding the pressure limit of any serving image. It also returns the pressure
// that the new task would add at full pace, summed over the serving tasks.
func (c *Core) safeUseMilli(r *runner, kind interference.Kind, requestedMilli int64) (use int64, addedPressure float64) {
	cpu := float64(max(1, r.Capacity.CPUMilli))
	sameImageRequestedMilli := r.bestEffortCPUMilliByImage[kind]
	share := float64(sameImageRequestedMilli+requestedMilli) / cpu
	if pace := r.paceOf(kind); sameImageRequestedMilli > 0 && pace < fullPace {
		share = float64(sameImageRequestedMilli) / cpu * float64(pace) / fullPace
	}
	for _, p := range c.servingPressuresOn(r) {
		pressurePerShare := c.interference.pairPressure(p.kind, kind)
		if pressurePerShare <= 0 {
			continue
		}
		otherImages := p.current - float64(sameImageRequestedMilli)/cpu*pressurePerShare*float64(r.paceOf(kind))/fullPace
		share = min(share, max(0, p.limit-otherImages)/pressurePerShare)
		addedPressure += float64(requestedMilli) / cpu * pressurePerShare * float64(p.tasks)
	}
	return int64(share * cpu), addedPressure
}

// limitPaceForStart lowers the pace of an image to a safe one before another task of it
// is started.
func (c *Core) limitPaceForStart(r *runner, s *openStep, now time.Duration) {
	requestedMilli := s.step.Resources.CPUMilli
	use, _ := c.safeUseMilli(r, s.kind, requestedMilli)
	if pace := int(use * fullPace / max(1, r.bestEffortCPUMilliByImage[s.kind]+requestedMilli)); pace < r.paceOf(s.kind) {
		*r.imagePaceOf(s.kind) = imagePace{pace: max(minPace, pace), changedAt: now}
	}
}

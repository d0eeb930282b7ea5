package coordinator

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/interference"
)

// Parameters by which the paces of best-effort tasks are controlled.
const (
	fullPace = 100 // percent
	minPace  = 1
	// unknownPace is the pace of a run that was adopted from a predecessor and to which
	// this coordinator has not ordered a pace yet.
	unknownPace = -1
	// degradationHeadroom is kept between the allowed degradation and the degradation at
	// the tail target, for changes of the serving task's own load before the next report.
	degradationHeadroom = 0.17
	// alwaysAllowedPressure is the pressure that best-effort tasks may always cause.
	alwaysAllowedPressure = 0.06
	// minorPressureShare is the share of the total pressure on a serving task up to which
	// an image is not slowed for that task.
	minorPressureShare = 0.15
	// A change of pace by at most minPaceChange percentage points is not worth an order,
	// nor is one by at most minPaceChangeShare of the pace at which a run proceeds. Such
	// small changes are made only to full pace and to the lowest paces.
	minPaceChange      = 5
	minPaceChangeShare = 0.15
	// A pace is raised by at most maxPaceRaise plus half of itself in each paceRaiseInterval.
	maxPaceRaise      = 50 // percent
	paceRaiseInterval = 150 * time.Millisecond
	// A serving task counts as over its target once its tail exceeds overTargetFrom times
	// the target, and until its tail is below overTargetUntil times the target.
	overTargetFrom  = 0.95
	overTargetUntil = 0.7
	// fullPaceWait is how long a best-effort task waits for a runner on which it can run
	// at full pace. After that, minStartPace is enough.
	fullPaceWait = 500 * time.Millisecond
	minStartPace = 50 // percent
	// The platform limits the time for which best-effort tasks may keep a serving task
	// over its target. After slowAllShare of this time, all images beside the task are
	// slowed, whatever the model predicts; after stopAllShare they are set to minPace. The
	// remaining time covers the age of reports and the time that orders take.
	slowAllShare = 0.25
	stopAllShare = 0.4
	// defaultMaxTimeOverTarget is that limit if the platform sets none.
	defaultMaxTimeOverTarget = 4 * time.Second
	// slowAllPaceShare is the largest share of full pace that the slowed images keep.
	slowAllPaceShare = 0.2
	// usualServingUsePercent is the part of the processors asked for that a serving task
	// uses most of the time. Best-effort tasks share the processors that serving tasks
	// then leave free, in the order of their precedence.
	usualServingUsePercent = 40
)

// imagePace is the pace of all best-effort tasks of one image on a runner together.
type imagePace struct {
	pace      int // percent
	changedAt time.Duration
}

// updatePaces updates the interference model from the runner's last report and sets the
// paces of its best-effort tasks.
func (c *Core) updatePaces(r *runner, now time.Duration) {
	neighbours := c.interference.bestEffortUseOn(r)
	r.overTargetSince = 0
	paces := make(map[interference.Kind]float64, len(r.bestEffortCPUMilliByImage))
	for kind := range r.bestEffortCPUMilliByImage {
		paces[kind] = 1
	}
	for run := range r.runs {
		if run.step.TailLatencyTarget <= 0 || run.state != stateRunning || run.load <= 0 || run.percent < fullPace {
			continue
		}
		c.interference.learnFromTail(run, neighbours, now)
		run.updateOverTarget(now)
		if run.overTargetSince > 0 && (r.overTargetSince == 0 || run.overTargetSince < r.overTargetSince) {
			r.overTargetSince = run.overTargetSince
		}
		if len(paces) > 0 {
			c.limitPacesForTask(r, run, paces)
			run.slowAllImages(paces, c.limits, now)
		}
	}
	for kind := range r.bestEffortPaces {
		if r.bestEffortCPUMilliByImage[kind] == 0 {
			delete(r.bestEffortPaces, kind)
		}
	}
	for kind, pace := range paces {
		r.imagePaceOf(kind).adjust(int(pace*fullPace), now)
	}
	r.servingPressures = nil
	for _, run := range r.bestEffortRuns {
		run.precedence = c.precedenceOfRun(run)
	}
	slices.SortFunc(r.bestEffortRuns, func(a, b *taskRun) int { return a.precedence.compare(b.precedence) })
	c.allocatePaces(r)
}

// adjust lowers the image's pace at once but raises it step by step, since a single
// report is imprecise. It ignores changes that are too small to be worth an order.
func (p *imagePace) adjust(pace int, now time.Duration) {
	pace = min(fullPace, max(minPace, pace))
	if pace > p.pace {
		if now-p.changedAt < paceRaiseInterval {
			return
		}
		pace = min(pace, p.pace+maxPaceRaise+p.pace/2)
	}
	isSmall := pace >= p.pace-minPaceChange && pace <= p.pace+minPaceChange
	if pace == p.pace || isSmall && pace != fullPace && pace >= minPaceChange {
		return
	}
	p.pace, p.changedAt = pace, now
}

// limitPacesForTask lowers the paces, given as shares of full pace, so that a serving
// task stays below its target in spite of the degradation by its own load. It slows
// only the images that cause more than a minor share of the pressure on the task.
func (c *Core) limitPacesForTask(r *runner, run *taskRun, paces map[interference.Kind]float64) {
	allowedPressure := max(alwaysAllowedPressure, c.interference.degradation(run.step, targetMS(run.step))-degradationHeadroom-run.ownLoad.worstAhead())
	var totalPressure, majorPressure float64
	for kind := range paces {
		totalPressure += c.pressureOf(r, run.kind, kind)
	}
	if totalPressure <= allowedPressure {
		return
	}
	for kind := range paces {
		if pressure := c.pressureOf(r, run.kind, kind); pressure > minorPressureShare*totalPressure {
			majorPressure += pressure
		}
	}
	reducedPace := max(0, 1-(totalPressure-allowedPressure)/max(majorPressure, 1e-9))
	for kind := range paces {
		if c.pressureOf(r, run.kind, kind) > minorPressureShare*totalPressure {
			paces[kind] = min(paces[kind], reducedPace)
		}
	}
}

// pressureOf returns the pressure that the tasks of a best-effort image on the runner
// cause on a serving image at full pace.
func (c *Core) pressureOf(r *runner, serving, bestEffort interference.Kind) float64 {
	share := float64(r.bestEffortCPUMilliByImage[bestEffort]) / float64(max(1, r.Capacity.CPUMilli))
	return share * c.interference.pairPressure(serving, bestEffort)
}

// updateOverTarget records since when a serving task has been over its target.
func (run *taskRun) updateOverTarget(now time.Duration) {
	tail, target := float64(run.load), targetMS(run.step)
	if tail < overTargetUntil*target {
		run.overTargetSince = 0
	} else if run.overTargetSince == 0 && tail > overTargetFrom*target {
		run.overTargetSince = now
	}
}

// slowAllImages slows every image beside a serving task that has been over its target
// for a large part of the time allowed.
func (run *taskRun) slowAllImages(paces map[interference.Kind]float64, limits Limits, now time.Duration) {
	if run.overTargetSince == 0 || now-run.overTargetSince < limits.maxTimeOverTargetShare(slowAllShare) {
		return
	}
	maxPace := slowAllPaceShare
	if now-run.overTargetSince >= limits.maxTimeOverTargetShare(stopAllShare) {
		maxPace = 0
	}
	for kind := range paces {
		paces[kind] = min(paces[kind], maxPace)
	}
}

// hasTaskOverTarget reports whether a serving task of the runner has been over its
// target for so long that no best-effort task may be started beside it.
func (c *Core) hasTaskOverTarget(r *runner, now time.Duration) bool {
	return r.overTargetSince > 0 && now-r.overTargetSince >= c.limits.maxTimeOverTargetShare(slowAllShare)
}

// maxTimeOverTargetShare returns the given share of the time for which best-effort tasks may
// keep a serving task over its target.
func (l Limits) maxTimeOverTargetShare(share float64) time.Duration {
	allowed := l.MaxTimeOverTarget
	if allowed <= 0 {
		allowed = defaultMaxTimeOverTarget
	}
	return time.Duration(share * float64(allowed))
}

// imagePaceOf returns the pace of an image on the runner, which the caller may change. If
// the image has none yet, imagePaceOf sets it to full pace.
func (r *runner) imagePaceOf(kind interference.Kind) *imagePace {
	p := r.bestEffortPaces[kind]
	if p == nil {
		p = &imagePace{pace: fullPace}
		r.bestEffortPaces[kind] = p
	}
	return p
}

// paceOf returns the pace, in percent, of all best-effort tasks of an image on the
// runner together.
func (r *runner) paceOf(kind interference.Kind) int {
	if p := r.bestEffortPaces[kind]; p != nil {
		return p.pace
	}
	return fullPace
}

// allocatePaces divides the processors that plain tasks (neither serving nor best-effort)
// and serving tasks usually leave free among the runner's best-effort tasks, within the
// pace of each image. Tasks of more important queues come first. Among the tasks of one
// priority, those of starved jobs and of jobs that can still be on time come before those
// of late jobs: if all tasks were slowed alike, late jobs would make other jobs late.
func (c *Core) allocatePaces(r *runner) {
	freeMilli := r.Capacity.CPUMilli - r.plainCPUMilli - r.servingCPUMilli*usualServingUsePercent/100
	allowedMilli := make(map[interference.Kind]int64, len(r.bestEffortCPUMilliByImage))
	for kind, requestedMilli := range r.bestEffortCPUMilliByImage {
		if pace := r.paceOf(kind); pace > minPace {
			allowedMilli[kind] = requestedMilli * int64(pace) / fullPace
		}
	}
	for remaining := r.bestEffortRuns; len(remaining) > 0; {
		sameClass := remaining
		for i, run := range remaining {
			if run.precedence.paceClass() != remaining[0].precedence.paceClass() {
				sameClass = remaining[:i]
				break
			}
		}
		remaining = remaining[len(sameClass):]
		freeMilli -= c.allocateToClass(sameClass, allowedMilli, freeMilli)
	}
}

// allocateToClass divides the free processors among the tasks of one class, in
// proportion to what they ask for and within what their images are allowed. It orders
// the resulting paces for the tasks that run. It returns how much the tasks of the class
// may use together, in thousandths of a processor, and subtracts the share of each image
// from allowedMilli.
func (c *Core) allocateToClass(sameClass []*taskRun, allowedMilli map[interference.Kind]int64, freeMilli int64) (usedMilli int64) {
	requestedByImage := make(map[interference.Kind]int64, len(allowedMilli))
	for _, run := range sameClass {
		requestedByImage[run.kind] += run.step.Resources.CPUMilli
	}
	freeMilli = max(0, freeMilli)
	var wanted int64
	for kind, requestedMilli := range requestedByImage {
		wanted += min(requestedMilli, allowedMilli[kind])
	}
	paces := make(map[interference.Kind]int, len(requestedByImage))
	for kind, requestedMilli := range requestedByImage {
		use := min(requestedMilli, allowedMilli[kind])
		if wanted > freeMilli {
			use = use * freeMilli / wanted
		}
		allowedMilli[kind] -= use
		usedMilli += use
		paces[kind] = max(minPace, int(use*fullPace/max(1, requestedMilli)))
	}
	for _, run := range sameClass {
		if pace := paces[run.kind]; run.state == stateRunning && run.needsPaceOrder(pace) {
			c.orderPace(run, pace)
		}
	}
	return usedMilli
}

// needsPaceOrder reports whether a change of pace is large enough for an order, since
// each order is a call to the runner.
func (run *taskRun) needsPaceOrder(pace int) bool {
	minChange := max(minPaceChange, int(minPaceChangeShare*float64(run.pace)))
	switch {
	case pace == run.pace:
		return false
	case run.pace == unknownPace, pace == fullPace, pace == minPace:
		return true
	}
	return pace > run.pace+minChange || pace < run.pace-minChange
}

// orderPace orders the runner to let a run proceed at the given pace in percent.
func (c *Core) orderPace(run *taskRun, percent int) {
	c.counters("paces", 1)
	if (percent > throttledPace) != (run.pace > throttledPace || run.pace == unknownPace) {
		c.log.WithFields(logrus.Fields{"task": run.task, "run": run.number, "runner": run.runner.ID, "pace": percent, "before": run.pace}).Info("pace ordered")
	}
	if run.pace > throttledPace || percent > throttledPace {
		run.throttledSince = c.now
	}
	run.pace = percent
	run.lastOrderSettled.Store(true)
	run.lastOrderSettled = new(atomic.Bool)
	c.orders = append(c.orders, Order{Kind: Pace, Runner: run.runner.ID, Address: run.runner.Address, Task: run.task, Run: run.number, Percent: percent, Settled: run.lastOrderSettled})
}

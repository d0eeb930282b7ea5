package coordinator

import (
	"math"
	"slices"
	"time"
)

// Parameters of the measured run times.
const (
	// maxRatios is the number of newest ratios that a sample keeps.
	maxRatios = 256
	// minRatios is the number of ratios from which a sample is used.
	minRatios = 8
	// maxSiblingTimes is the number of newest run times that are kept of a step.
	maxSiblingTimes = 32
	// minSiblingTimes is the number of measured run times of a step from which their median
	// counts as the usual time of its tasks. Below that the corrected estimate does.
	minSiblingTimes = 3
	// slownessPrior is the number of runs that the assumption counts as that a runner is as
	// fast as others. minSlownessWeight is the least weight of a new run: a runner may become
	// slow or fast again.
	slownessPrior     = 2
	minSlownessWeight = 0.1
	// maxSlownessRatio bounds the ratio by which one run changes the slowness of its runner. A
	// straggler says more about itself than about its runner.
	maxSlownessRatio = 3.0
)

// ratioSample holds the newest ratios of measured to usual run times.
type ratioSample struct {
	ratios []float64 // in the order of arrival, as a ring once there are maxRatios
	next   int       // index of the oldest ratio in a full ring
	sorted []float64 // nil if it has to be computed
}

// add adds a ratio. The oldest one is dropped if there are more than maxRatios.
func (s *ratioSample) add(ratio float64) {
	s.sorted = nil
	if len(s.ratios) < maxRatios {
		s.ratios = append(s.ratios, ratio)
		return
	}
	s.ratios[s.next] = ratio
	s.next = (s.next + 1) % maxRatios
}

// sortedRatios returns the ratios in ascending order. The caller must not change them.
func (s *ratioSample) sortedRatios() []float64 {
	if s.sorted == nil {
		s.sorted = slices.Sorted(slices.Values(s.ratios))
	}
	return s.sorted
}

// runTimeRatios holds samples of the ratios of measured run times to the corrected estimates
// of the callers, and to the medians of tasks of the same step. The second spread less.
type runTimeRatios struct{ toEstimate, toSiblings ratioSample }

// sample returns the sample for a usual time that is the median of siblings, or else a
// corrected estimate.
func (r *runTimeRatios) sample(fromSiblings bool) *ratioSample {
	if fromSiblings {
		return &r.toSiblings
	}
	return &r.toEstimate
}

// runTimes is the distribution of the run times of finite plain tasks. Nothing of it is stored: a
// successor learns it anew from the first runs that end.
type runTimes struct {
	queues map[string]*runTimeRatios // by name of the queue
	all    runTimeRatios             // of all queues, used for those with few measurements
}

// ofQueue returns the ratios of a queue.
func (t *runTimes) ofQueue(name string) *runTimeRatios {
	if t.queues == nil {
		t.queues = map[string]*runTimeRatios{}
	}
	ratios := t.queues[name]
	if ratios == nil {
		ratios = &runTimeRatios{}
		t.queues[name] = ratios
	}
	return ratios
}

// sortedRatios returns the ratios to be expected in a queue, in ascending order, or nil if too
// few have been measured. While there are too few ratios to medians of siblings, those to
// estimates stand in for them.
func (t *runTimes) sortedRatios(queue string, fromSiblings bool) []float64 {
	ofQueue := t.ofQueue(queue)
	samples := [...]*ratioSample{&ofQueue.toSiblings, &t.all.toSiblings, &ofQueue.toEstimate, &t.all.toEstimate}
	first := 0
	if !fromSiblings {
		first = 2
	}
	for _, sample := range samples[first:] {
		if len(sample.ratios) >= minRatios {
			return sample.sortedRatios()
		}
	}
	return nil
}

// add records a ratio of a queue.
func (t *runTimes) add(queue string, fromSiblings bool, ratio float64) {
	t.ofQueue(queue).sample(fromSiblings).add(ratio)
	t.all.sample(fromSiblings).add(ratio)
}

// siblingTimes holds the newest measured run times of the tasks of a step, as on a usual runner.
type siblingTimes struct {
	newest []time.Duration
	median time.Duration
}

// add adds a run time. The oldest one is dropped if there are more than maxSiblingTimes.
func (t *siblingTimes) add(runTime time.Duration) {
	if len(t.newest) == maxSiblingTimes {
		t.newest = slices.Delete(t.newest, 0, 1)
	}
	t.newest = append(t.newest, runTime)
	sorted := slices.Sorted(slices.Values(t.newest))
	t.median = sorted[len(sorted)/2]
}

// slowness estimates by which factor tasks take longer on a runner than on others. The zero
// value stands for a runner of which nothing is known.
type slowness struct {
	logFactor float64
	runs      int
}

func (s *slowness) factor() float64 { return math.Exp(s.logFactor) }

// add records the ratio of a measured run time to the usual one.
func (s *slowness) add(ratio float64) {
	s.runs++
	weight := max(minSlownessWeight, 1/float64(slownessPrior+s.runs))
	s.logFactor += weight * (math.Log(min(max(ratio, 1/maxSlownessRatio), maxSlownessRatio)) - s.logFactor)
}

// hasMeasuredRunTime reports whether the run times of the step's tasks are measured: best-effort
// tasks run at a pace, and gangs at that of their slowest member.
func (s *openStep) hasMeasuredRunTime() bool {
	return !s.step.LongRunning && !s.step.BestEffort && !s.step.Gang
}

// usualRunTime returns the usual run time of a task of the step on a usual runner, and whether
// it is the median of tasks of the step. Job.taskEstimates are no substitute: they follow the
// progress of running tasks, and so those of a straggler.
func (c *Core) usualRunTime(s *openStep) (usual time.Duration, fromSiblings bool) {
	if len(s.siblingTimes.newest) >= minSiblingTimes {
		return s.siblingTimes.median, true
	}
	return c.durationEstimatorOf(s.job).Estimate(s.step.Estimate), false
}

// recordRunTime records the run time of a run that has ended: the measured one of a run that
// is done, and the projected one of a run whose task another run has done before. Without the
// latter, stragglers would be missing in the distribution since they are stopped.
func (c *Core) recordRunTime(run *taskRun, kind ResultKind, isTaskDone bool, now time.Duration) {
	s := run.openStep
	if s == nil || !s.hasMeasuredRunTime() || run.adoptedAt > 0 || run.isResumed || kind != EndedDone && !isTaskDone {
		return
	}
	runTime := now - run.startedAt
	if kind != EndedDone {
		remaining, known := run.projectRemaining(now)
		if !known {
			return
		}
		runTime += remaining
	}
	usual, fromSiblings := c.usualRunTime(s)
	if usual <= 0 || runTime <= 0 {
		return
	}
	onUsualRack := float64(runTime) / c.farFactor(s.step.DataRack, run.runner)
	onUsualRunner := onUsualRack / run.runner.health.slowness.factor()
	c.speculation.runTimes.add(s.job.Queue.Name, fromSiblings, onUsualRunner/float64(usual))
	run.runner.health.slowness.add(onUsualRack / float64(usual))
	s.siblingTimes.add(time.Duration(onUsualRunner))
}

// Bounds of the projection of a run's end from its progress.
const (
	// minProjectedPercent is the progress, in percent, that a projection needs.
	minProjectedPercent = 5
	// A run whose progress has not changed for quietTime plus quietIntervals of its usual
	// intervals between changes is expected to go on for at least as long as that has lasted.
	quietTime      = 500 * time.Millisecond
	quietIntervals = 3
)

// progressBase is from where the progress of a run is measured.
type progressBase struct {
	percent int
	at      time.Duration // zero if it has not been set
}

// recordProgressBase sets the base at the first report of a run that may not have begun with
// progress 0 when it was attached.
func (run *taskRun) recordProgressBase(percent int, now time.Duration) {
	if run.base.at == 0 {
		run.base = progressBase{percent, now}
	}
}

// fullTime returns how long the whole task takes at the rate at which the run has made
// progress, or zero if that is not known yet.
func (run *taskRun) fullTime() time.Duration {
	moved := run.percent - run.base.percent
	if run.base.at == 0 || moved < minProjectedPercent || run.progressedAt <= run.base.at {
		return 0
	}
	return (run.progressedAt - run.base.at) * fullPace / time.Duration(moved)
}

// projectRemaining returns how long the run is expected to go on according to its progress,
// and whether that is known.
func (run *taskRun) projectRemaining(now time.Duration) (remaining time.Duration, known bool) {
	fullTime := run.fullTime()
	if fullTime == 0 {
		return 0, false
	}
	left := fullTime * time.Duration(fullPace-run.percent) / fullPace
	quiet := now - run.progressedAt
	if quiet > quietTime+quietIntervals*fullTime/fullPace {
		return left + quiet, true
	}
	return max(0, left-quiet), true
}

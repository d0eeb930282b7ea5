package coordinator

import (
	"math"
	"time"

	"bergamotstile/durations"
)

const (
	// minMeasuredPercent is the progress, in percent, that a measurement needs.
	minMeasuredPercent = 20
	// minEstimateChange is the relative change of a step's measured run time above which its
	// job's estimates are updated.
	minEstimateChange = 0.1
)

// workMeter measures the work of a run: the processor time that it has used, and the
// progress that it has made meanwhile.
type workMeter struct {
	firstPercent        int           // progress at the first reading
	lastReadAt          time.Duration // time of the last reading; zero before the first one
	usedMilliCPUSeconds float64       // processor time since the first reading, in thousandths of a processor-second
	countedTime         time.Duration // run time that has been added to the step's taskTimes
}

// taskTimes sums the measured run times of a step's tasks.
type taskTimes struct {
	sum   time.Duration
	tasks int
}

func (t taskTimes) mean() time.Duration {
	if t.tasks == 0 {
		return 0
	}
	return t.sum / time.Duration(t.tasks)
}

// addReading adds a reading of the run's progress and load. It returns the time that the
// whole task would take if it used all that it asks for, or zero while there has been too
// little progress. The load and requestedMilli are in thousandths of a processor.
func (m *workMeter) addReading(percent, load int, requestedMilli int64, now time.Duration) time.Duration {
	if m.lastReadAt == 0 {
		m.firstPercent, m.lastReadAt = percent, now
		return 0
	}
	m.usedMilliCPUSeconds += float64(load) * (now - m.lastReadAt).Seconds()
	m.lastReadAt = now
	if percent-m.firstPercent < minMeasuredPercent || m.usedMilliCPUSeconds <= 0 {
		return 0
	}
	seconds := m.usedMilliCPUSeconds / float64(max(1, requestedMilli)) * fullPace / float64(percent-m.firstPercent)
	return time.Duration(seconds * float64(time.Second))
}

// updateTaskTimes updates the measured run time of a step from the progress of one of its
// runs.
func (c *Core) updateTaskTimes(run *taskRun, status RunStatus, now time.Duration) {
	if run.step.LongRunning || run.step.Gang || run.openStep == nil {
		return
	}
	taskTime := run.workMeter.addReading(status.Percent, status.Load, run.step.Resources.CPUMilli, now)
	if taskTime <= 0 {
		return
	}
	// Estimates are those of near places: the caller states them so, and the next task may get one.
	taskTime = time.Duration(float64(taskTime) / c.farFactor(run.step.DataRack, run.runner))
	times := &run.openStep.taskTimes
	if run.workMeter.countedTime == 0 {
		times.tasks++
		if times.tasks == 1 {
			c.durationEstimatorOf(run.job).Observe(run.step.Estimate, taskTime)
		}
	}
	times.sum += taskTime - run.workMeter.countedTime
	run.workMeter.countedTime = taskTime
	previous := run.job.measuredTaskTimes[run.task.Step]
	if math.Abs(float64(times.mean()-previous)) > minEstimateChange*float64(previous) {
		run.job.measuredTaskTimes[run.task.Step] = times.mean()
		c.updateEstimates(run.job)
	}
}

// farFactor returns the factor by which a task with data on a rack takes longer on a runner.
func (c *Core) farFactor(dataRack string, r *runner) float64 {
	if c.isFarFromData(dataRack, r) {
		return c.limits.RemoteDataFactor
	}
	return 1
}

// durationEstimatorOf returns the estimator that corrects the stated run times of the job's
// queue.
func (c *Core) durationEstimatorOf(j *job) *durations.Estimator {
	estimator := c.durationEstimators[j.Queue.Name]
	if estimator == nil {
		estimator = durations.New()
		c.durationEstimators[j.Queue.Name] = estimator
	}
	return estimator
}

// updateEstimates estimates how long a job's tasks take, when the job should be completed,
// and how much processor time its unfinished tasks need. Measured times are preferred to
// those that the client stated.
func (c *Core) updateEstimates(j *job) {
	j.taskEstimates = make([]time.Duration, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		j.taskEstimates[i] = j.measuredTaskTimes[i]
		if j.taskEstimates[i] == 0 {
			j.taskEstimates[i] = c.durationEstimatorOf(j).Estimate(j.Spec.Steps[i].Estimate)
		}
	}
	var chain time.Duration
	for i := range j.taskEstimates {
		if len(j.Spec.Steps[i].After) == 0 {
			chain = max(chain, j.longestChainFrom(i))
		}
	}
	j.allowedTime = j.queue.TargetLatency + time.Duration(j.queue.Stretch*float64(chain))
	j.objective = j.AcceptedAt + j.allowedTime
	j.remainingCPUTimeMS = j.estimateRemainingCPUTimeMS()
	for key, s := range j.openSteps {
		s.chainTime = j.longestChainFrom(key[1])
	}
}

// taskCPUTimeMS returns the estimated processor time, in milliseconds, of one task of a
// step.
func (j *job) taskCPUTimeMS(step int) int64 {
	return j.Spec.Steps[step].Resources.CPUMilli * j.taskEstimates[step].Milliseconds() / 1000
}

// estimateRemainingCPUTimeMS returns the estimated processor time, in milliseconds, of the
// tasks that are not done.
func (j *job) estimateRemainingCPUTimeMS() int64 {
	var sum int64
	for i := range j.Spec.Steps {
		tasks := j.Spec.Steps[i].Count
		for _, occurrence := range j.Current {
			tasks = min(tasks, occurrence.Steps[i].UnfinishedTasks)
		}
		sum += int64(tasks) * j.taskCPUTimeMS(i)
	}
	return sum
}

// longestChainFrom returns the estimated run time of the longest chain of steps that begins
// with the given step.
func (j *job) longestChainFrom(first int) time.Duration {
	ends := make([]time.Duration, len(j.taskEstimates))
	ends[first] = j.taskEstimates[first]
	longest := ends[first]
	for i := first + 1; i < len(ends); i++ {
		for _, earlier := range j.Spec.Steps[i].After {
			if ends[earlier] > 0 {
				ends[i] = max(ends[i], ends[earlier]+j.taskEstimates[i])
			}
		}
		longest = max(longest, ends[i])
	}
	return longest
}

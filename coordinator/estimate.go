package coordinator

import (
	"math"
	"time"

	"bergamotstile/durations"
)

const (
	// gaugeSpan is the progress that a measurement needs, in percent.
	gaugeSpan = 20
	// estimateStep is the least relative change of a step's measured time for
	// which its job is estimated anew.
	estimateStep = 0.1
)

// workMeter measures the work of a run: the processor time that it has used, and
// the progress in which.
type workMeter struct {
	from    int           // percent at the first reading
	at      time.Duration // of the last reading; zero before the first
	used    float64       // thousandths of a processor, times seconds
	counted time.Duration // time that was added to the step's
}

// taskTimes sums the measured times of a step's tasks.
type taskTimes struct {
	sum   time.Duration
	tasks int
}

func (g taskTimes) mean() time.Duration {
	if g.tasks == 0 {
		return 0
	}
	return g.sum / time.Duration(g.tasks)
}

// read adds a reading and returns the time that the whole task takes with all
// it asks for, or zero while too little of it has been seen.
func (g *workMeter) read(percent, load int, ask int64, now time.Duration) time.Duration {
	if g.at == 0 {
		g.from, g.at = percent, now
		return 0
	}
	g.used += float64(load) * (now - g.at).Seconds()
	g.at = now
	if percent-g.from < gaugeSpan || g.used <= 0 {
		return 0
	}
	seconds := g.used / float64(max(1, ask)) * fullPace / float64(percent-g.from)
	return time.Duration(seconds * float64(time.Second))
}

// measureRun learns from a run's progress how long the tasks of its step take.
func (c *Core) measureRun(x *run, s RunStatus, now time.Duration) {
	if x.step.LongRunning || x.step.Gang || x.work == nil {
		return
	}
	takes := x.workMeter.read(s.Percent, s.Load, x.step.Resources.CPUMilli, now)
	if takes <= 0 {
		return
	}
	g := &x.work.taskTimes
	if x.workMeter.counted == 0 {
		g.tasks++
		if g.tasks == 1 {
			c.durationsOf(x.job).Observe(x.step.Estimate, takes)
		}
	}
	g.sum += takes - x.workMeter.counted
	x.workMeter.counted = takes
	before := x.job.measured[x.task.Step]
	if math.Abs(float64(g.mean()-before)) > estimateStep*float64(before) {
		x.job.measured[x.task.Step] = g.mean()
		c.reestimate(x.job)
	}
}

func (c *Core) durationsOf(j *job) *durations.Estimator {
	e := c.durations[j.Queue.Name]
	if e == nil {
		e = durations.New()
		c.durations[j.Queue.Name] = e
	}
	return e
}

// reestimate works out how long a job should take and what is left of it.
// Measured times go before those that the client stated.
func (c *Core) reestimate(j *job) {
	j.estimates = make([]time.Duration, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		j.estimates[i] = j.measured[i]
		if j.estimates[i] == 0 {
			j.estimates[i] = c.durationsOf(j).Expect(j.Spec.Steps[i].Estimate)
		}
	}
	var chain time.Duration
	for i := range j.estimates {
		if len(j.Spec.Steps[i].After) == 0 {
			chain = max(chain, j.chainFrom(i))
		}
	}
	j.allowed = j.queue.TargetLatency + time.Duration(j.queue.Stretch*float64(chain))
	j.objective = j.AcceptedAt + j.allowed
	j.left = j.workLeft()
	for key, w := range j.work {
		w.chainLeft = j.chainFrom(key[1])
	}
}

// workOf is the estimated work of one task of a step, in milliseconds of a
// processor.
func (j *job) workOf(step int) int64 {
	return j.Spec.Steps[step].Resources.CPUMilli * j.estimates[step].Milliseconds() / 1000
}

// workLeft is the estimated work of the tasks that are not done.
func (j *job) workLeft() int64 {
	var sum int64
	for i := range j.Spec.Steps {
		tasks := j.Spec.Steps[i].Count
		for _, o := range j.Current {
			tasks = min(tasks, o.Steps[i].UnfinishedTasks)
		}
		sum += int64(tasks) * j.workOf(i)
	}
	return sum
}

// chainFrom is the estimated run time of the longest chain of steps that begins
// with a step.
func (j *job) chainFrom(first int) time.Duration {
	ends := make([]time.Duration, len(j.estimates))
	ends[first] = j.estimates[first]
	longest := ends[first]
	for i := first + 1; i < len(ends); i++ {
		for _, before := range j.Spec.Steps[i].After {
			if ends[before] > 0 {
				ends[i] = max(ends[i], ends[before]+j.estimates[i])
			}
		}
		longest = max(longest, ends[i])
	}
	return longest
}

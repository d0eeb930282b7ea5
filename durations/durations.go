// Package durations corrects the run times that callers state for their tasks,
// from the measured run times of tasks of the same queue.
//
// The model assumes that true run times are distributed lognormally within a
// queue, and that a stated time is the true time multiplied by a lognormal error.
// The expected true time is the average of the corrected stated time and the mean
// time of the queue, in logarithms. Each of the two is weighted with the variance
// of the other, so the one with the smaller variance counts more.
package durations

import (
	"math"
	"time"
)

const (
	// maxSamples limits the count of measurements from which the weight of a new
	// one follows. Beyond this count, older measurements lose weight
	// exponentially.
	maxSamples = 200
	// priorSamples is the number of measurements that the initial assumptions
	// count as. They are that stated times are correct on average, and that the
	// logarithm of their error has the standard deviation priorErrorDeviation.
	priorSamples        = 6
	priorErrorDeviation = 0.3
	// priorTimeDeviation is the initially assumed standard deviation of the
	// logarithms of the true times within a queue.
	priorTimeDeviation = 0.6
	// minTime is the shortest time that the model distinguishes. It treats shorter
	// times as equal to minTime.
	minTime = time.Millisecond
)

// runningMoments holds a running mean and variance of weighted values.
type runningMoments struct{ mean, variance float64 }

func (m *runningMoments) add(x, weight float64) {
	delta := x - m.mean
	m.mean += weight * delta
	m.variance = (1 - weight) * (m.variance + weight*delta*delta)
}

// Estimator corrects the stated times of one queue. It is not safe for
// concurrent use.
type Estimator struct {
	samples   float64
	logTimes  runningMoments // of the logarithms of measured times
	logErrors runningMoments // of log(stated / measured)
}

// New returns an estimator without measurements. It returns stated times
// unchanged.
func New() *Estimator {
	return &Estimator{
		logTimes:  runningMoments{variance: priorTimeDeviation * priorTimeDeviation},
		logErrors: runningMoments{variance: priorErrorDeviation * priorErrorDeviation},
	}
}

// Observe records the measured time of a task and the time that its caller had
// stated. It ignores times that are not positive.
func (e *Estimator) Observe(stated, measured time.Duration) {
	if stated <= 0 || measured <= 0 {
		return
	}
	logTime := logMillis(measured)
	if e.samples == 0 {
		e.logTimes.mean = logTime
	}
	e.samples = min(maxSamples, e.samples+1)
	weight := 1 / (priorSamples + e.samples)
	e.logTimes.add(logTime, weight)
	e.logErrors.add(logMillis(stated)-logTime, weight)
}

// Estimate returns the expected time of a task for which the caller states a
// time. It returns the stated time if there is no measurement or the stated time
// is not positive.
func (e *Estimator) Estimate(stated time.Duration) time.Duration {
	if e.samples == 0 || stated <= 0 {
		return stated
	}
	corrected := logMillis(stated) - e.logErrors.mean
	totalVariance := e.logTimes.variance + e.logErrors.variance
	if totalVariance <= 0 {
		return stated
	}
	expected := (e.logErrors.variance*e.logTimes.mean + e.logTimes.variance*corrected) / totalVariance
	return time.Duration(math.Exp(expected) * float64(time.Millisecond))
}

func logMillis(d time.Duration) float64 {
	return math.Log(float64(max(d, minTime)) / float64(time.Millisecond))
}

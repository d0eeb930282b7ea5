// Package durations corrects the run times that callers state for their tasks by
// what tasks of the same queue have taken.
//
// Stated and measured times are taken as lognormal: a stated time is the true one
// times an error. The expected true time lies between the stated time and the
// usual time of the queue, nearer to the one that scatters less.
package durations

import (
	"math"
	"time"
)

const (
	// memory is the number of measurements that count; older ones fade.
	memory = 200
	// trusted is the number of measurements that the assumptions before the first
	// one count for: stated times are right, give or take assumedError.
	trusted      = 6
	assumedError = 0.3
	// assumedSpread is the assumed spread of true times within a queue.
	assumedSpread = 0.6
	// shortest bounds times from below.
	shortest = time.Millisecond
)

// moments are a running mean and variance.
type moments struct{ mean, variance float64 }

func (m *moments) add(x, weight float64) {
	delta := x - m.mean
	m.mean += weight * delta
	m.variance = (1 - weight) * (m.variance + weight*delta*delta)
}

// Estimator corrects the stated times of one queue. It is not safe for
// concurrent use.
type Estimator struct {
	samples float64
	usual   moments // of the logarithms of measured times
	errors  moments // of log(stated / measured)
}

// New returns an estimator that believes stated times.
func New() *Estimator {
	return &Estimator{
		usual:  moments{variance: assumedSpread * assumedSpread},
		errors: moments{variance: assumedError * assumedError},
	}
}

// Observe records how long a task took whose caller had stated a time.
func (e *Estimator) Observe(stated, measured time.Duration) {
	if stated <= 0 || measured <= 0 {
		return
	}
	x := logOf(measured)
	if e.samples == 0 {
		e.usual.mean = x
	}
	e.samples = min(memory, e.samples+1)
	weight := 1 / (trusted + e.samples)
	e.usual.add(x, weight)
	e.errors.add(logOf(stated)-x, weight)
}

// Expect returns the expected time of a task whose caller states one.
func (e *Estimator) Expect(stated time.Duration) time.Duration {
	if e.samples == 0 || stated <= 0 {
		return stated
	}
	claimed := logOf(stated) - e.errors.mean
	total := e.usual.variance + e.errors.variance
	if total <= 0 {
		return stated
	}
	expected := (e.errors.variance*e.usual.mean + e.usual.variance*claimed) / total
	return time.Duration(math.Exp(expected) * float64(time.Millisecond))
}

func logOf(d time.Duration) float64 {
	return math.Log(float64(max(d, shortest)) / float64(time.Millisecond))
}

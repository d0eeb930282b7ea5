package durations

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// meanError returns the mean of |log(expected / true)| over tasks whose stated
// times have a lognormal error. timeDeviation and errorDeviation are the standard
// deviations of the logarithms of the true times and of the errors, and bias is
// the mean of the logarithms of the errors. If observe is set, the estimator
// observes each task after its estimate.
func meanError(e *Estimator, timeDeviation, errorDeviation, bias float64, observe bool) float64 {
	random := rand.New(rand.NewPCG(7, 7))
	var sum float64
	const tasks = 400
	for range tasks {
		actual := 2200 * math.Exp(timeDeviation*random.NormFloat64())
		stated := actual * math.Exp(bias+errorDeviation*random.NormFloat64())
		statedTime, actualTime := time.Duration(stated*1e6), time.Duration(actual*1e6)
		sum += math.Abs(math.Log(float64(e.Estimate(statedTime)) / float64(actualTime)))
		if observe {
			e.Observe(statedTime, actualTime)
		}
	}
	return sum / tasks
}

// Guards against reliance on inaccurate stated times. At one site, stated times
// are too long or too short by a factor of 2.5. Jobs were therefore treated as
// late from the start, or as small although they were large.
func TestEstimatorCorrectsUnreliableStatedTimes(t *testing.T) {
	before, after := meanError(New(), 0.5, 0.9, 0, false), meanError(New(), 0.5, 0.9, 0, true)
	if after > 0.65*before {
		t.Errorf("mean error %.2f, that of the stated times %.2f", after, before)
	}
}

// Guards against worse estimates from accurate stated times in a queue whose tasks
// differ widely, and against a common bias of stated times that stays in the
// estimates.
func TestEstimatorKeepsAccurateStatedTimes(t *testing.T) {
	if got := meanError(New(), 1, 0.1, 0, true); got > 0.12 {
		t.Errorf("mean error %.2f with stated times that have an error of 0.1", got)
	}
	if got := meanError(New(), 0.5, 0.2, 0.4, true); got > 0.25 {
		t.Errorf("mean error %.2f with a common bias of 0.4", got)
	}
}

// Guards against estimates that differ from the stated time before the first
// measurement, and against use of invalid measurements.
func TestStatedTimeIsUsedWithoutMeasurements(t *testing.T) {
	if got := New().Estimate(3 * time.Second); got != 3*time.Second {
		t.Errorf("expected %v", got)
	}
	e := New()
	e.Observe(0, time.Second)
	e.Observe(time.Second, -1)
	if got := e.Estimate(3 * time.Second); got != 3*time.Second {
		t.Errorf("expected %v after invalid measurements", got)
	}
}

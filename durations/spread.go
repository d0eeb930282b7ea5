package durations

import "math"

// Spread returns the relative standard deviation of the true time around Estimate: that of the
// logarithm of the true time, given the stated time.
func (e *Estimator) Spread() float64 {
	total := e.logTimes.variance + e.logErrors.variance
	if total <= 0 {
		return 0
	}
	return math.Sqrt(e.logTimes.variance * e.logErrors.variance / total)
}

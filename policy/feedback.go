package policy

import (
	"math"
	"time"
)

const (
	// targetFraction is the mean measured excess slowdown that the feedback
	// aims at, as a fraction of the placement limit.
	targetFraction = 0.7
	// excessAveragingTime is the time over which the measured excess slowdown
	// is averaged.
	excessAveragingTime = 5 * time.Minute
	// scaleIncrease and scaleDecrease are the changes of the limit scale in one
	// learning step. There is at most one step per second. The limit falls
	// faster than it rises.
	scaleIncrease = 0.001
	scaleDecrease = 0.003
	scaleMin      = 0.7
	scaleMax      = 2.0
)

// feedback adjusts the placement limit to the slowdown that is measured at the
// services. Predictions include a margin for uncertainty. A fixed limit would
// therefore waste throughput where predictions are too high and let latency
// rise where they are too low.
type feedback struct {
	meanExcess float64
	limitScale float64
}

// addWindow adds the measured excess slowdown of one window to the mean.
// serviceCount is the number of workers that run beside a service. The weight
// of a window is divided by it, because a window arrives for each of them.
func (f *feedback) addWindow(excess float64, serviceCount int) {
	step := float64(learnInterval) / float64(excessAveragingTime) / float64(max(serviceCount, 1))
	f.meanExcess += step * (excess - f.meanExcess)
}

// adjust changes the scale by one step towards the target. It is called once
// for each learning step in which latency windows have arrived.
func (f *feedback) adjust(limit float64) {
	if f.meanExcess < targetFraction*limit {
		f.limitScale = math.Min(scaleMax, f.limitScale+scaleIncrease)
		return
	}
	f.limitScale = math.Max(scaleMin, f.limitScale-scaleDecrease)
}

// placementLimit returns the placement limit that applies now.
func (p *Policy) placementLimit() float64 {
	if !p.isEnabled(MechanismFeedback) {
		return p.thresholds.placementLimit
	}
	return p.thresholds.placementLimit * p.feedback.limitScale
}

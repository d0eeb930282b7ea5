package policy

import (
	"math"
	"time"
)

const (
	// targetPart is the mean measured excess aimed at, as a part of the limit
	// of placement.
	targetPart = 0.7
	// excessMemory is the time over which the measured excess is averaged.
	excessMemory = 5 * time.Minute
	// scaleUp and scaleDown are the changes of the limit for each second. The
	// limit falls faster than it rises.
	scaleUp   = 0.001
	scaleDown = 0.003
	scaleMin  = 0.7
	scaleMax  = 2.0
)

// feedback adjusts the limit of placement to the slowdown that services really
// suffer. Predictions carry a margin for uncertainty, so a fixed limit leaves
// throughput unused where they are too careful and lets latency rise where
// they are too bold.
type feedback struct {
	mean  float64
	scale float64
}

// measured adds one window of one of n services.
func (f *feedback) measured(excess float64, n int) {
	step := float64(learnEvery) / float64(excessMemory) / float64(max(n, 1))
	f.mean += step * (excess - f.mean)
}

// adjust changes the scale once for each learning step.
func (f *feedback) adjust(limit float64) {
	if f.mean < targetPart*limit {
		f.scale = math.Min(scaleMax, f.scale+scaleUp)
		return
	}
	f.scale = math.Max(scaleMin, f.scale-scaleDown)
}

// placeExcess returns the limit of placement that is in force.
func (p *Policy) placeExcess() float64 {
	if !p.enabled(MechanismFeedback) {
		return p.limits.placeExcess
	}
	return p.limits.placeExcess * p.feedback.scale
}

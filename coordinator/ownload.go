package coordinator

import "time"

// Parameters of the estimate of the degradation by a serving task's own load.
const (
	// ownLoadGain is the part of an unexplained change of degradation that is attributed
	// to the serving task's own load. ownLoadRateGain is the part of it that is attributed
	// to a steady rise or fall of that load.
	ownLoadGain     = 0.85
	ownLoadRateGain = 0.25
	// maxOwnLoadDegradation bounds the degradation, up or down, that is attributed to the
	// own load in total. maxOwnLoadRate bounds its change in a second.
	maxOwnLoadDegradation = 0.4
	maxOwnLoadRate        = 0.3
	// minReadingInterval is the least time that counts between two readings. Readings that
	// follow each other sooner overlap.
	minReadingInterval = 200 * time.Millisecond
	// ownLoadHorizon is how far ahead the own load is foreseen when a pace is set: the age
	// of the reading and the time until the pace after the next reading acts.
	ownLoadHorizon = 500 * time.Millisecond
	// maxRateTime is how long the load is taken to go on rising or falling without a reading.
	maxRateTime = time.Second
)

// ownLoadTracker estimates the part of a serving task's degradation that its own load causes.
// The load rises and falls over seconds, so that an estimate without the rate of change would
// stay behind it while it rises. The estimate is negative while the load is lower than usual.
type ownLoadTracker struct {
	level     float64 // degradation at the last reading
	rate      float64 // change of the degradation in a second
	updatedAt time.Duration
	isKnown   bool // there has been a reading
}

// at returns the estimate for a time at or after the last reading.
func (t *ownLoadTracker) at(now time.Duration) float64 {
	ahead := min(max(0, now-t.updatedAt), maxRateTime)
	return clampTo(t.level+t.rate*ahead.Seconds(), maxOwnLoadDegradation)
}

// worstAhead returns the largest estimate from the last reading until ownLoadHorizon after it.
func (t *ownLoadTracker) worstAhead() float64 {
	return max(t.level, t.at(t.updatedAt+ownLoadHorizon))
}

// correct updates the estimate by a reading of which a part is not explained by the estimate
// and the neighbours.
func (t *ownLoadTracker) correct(unexplained float64, now time.Duration) {
	expected := t.at(now)
	if t.isKnown {
		elapsed := max(now-t.updatedAt, minReadingInterval)
		t.rate = clampTo(t.rate+ownLoadRateGain*unexplained/elapsed.Seconds(), maxOwnLoadRate)
	}
	t.level = clampTo(expected+ownLoadGain*unexplained, maxOwnLoadDegradation)
	t.updatedAt, t.isKnown = now, true
}

// clampTo returns the value bounded to the range from -limit to limit.
func clampTo(value, limit float64) float64 { return min(limit, max(-limit, value)) }

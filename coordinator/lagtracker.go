package coordinator

import "time"

// Limits of the lag, which is the time between the posting of an event and its
// application.
const (
	// minLoggedLag is the lag above which the coordinator logs that it is behind.
	minLoggedLag = time.Second
	// If the lag stays above maxLag for maxLagTime, another instance should become the
	// coordinator: the lag delays cancellations and the detection of lost runs.
	maxLag     = 1500 * time.Millisecond
	maxLagTime = 2 * time.Second
)

// lagTracker tracks the lag of an event loop, given the ages of the events that it
// applies.
type lagTracker struct {
	lag time.Duration // as of the last call of record
	// overLimit is set while the lag is above maxLag, which it has been since
	// overLimitSince.
	overLimit      bool
	overLimitSince time.Duration
}

// record records the age of the oldest event that was applied in a round, or zero if
// none was applied and none waits.
func (t *lagTracker) record(age, now time.Duration) {
	t.lag = age
	if age <= maxLag {
		t.overLimit = false
		return
	}
	if !t.overLimit {
		t.overLimit, t.overLimitSince = true, now
	}
}

// isBehind reports whether the lag has been above maxLag for maxLagTime. A loop that was
// delayed only once catches up sooner.
func (t *lagTracker) isBehind(now time.Duration) bool {
	return t.overLimit && now-t.overLimitSince >= maxLagTime
}

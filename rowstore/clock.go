package rowstore

import (
	"sync"
	"time"
)

const (
	// maxDriftPPM is the assumed maximum drift between the local monotonic clock
	// and that of the store, in parts per million.
	maxDriftPPM = 500
	// clockResolution is the resolution of the clock readings that the store
	// returns. The store rounds them down.
	clockResolution = time.Millisecond
)

// ClockEstimate computes bounds of the store's monotonic clock from the readings of
// that clock in the store's answers. The store reads its clock after a call was
// sent and before the answer was received, so each answer gives a lower and an
// upper bound of the offset between the two clocks. The zero value is ready to use;
// it has no reading yet.
type ClockEstimate struct {
	mu         sync.Mutex
	hasReading bool
	// minOffset and maxOffset are bounds of the offset: the reading of the store's
	// clock minus that of the local clock. They hold at the local time boundsAt.
	minOffset, maxOffset, boundsAt time.Duration
}

// Observe records a reading of the store's clock from an answer. sent and received
// are the local times at which the call was sent and its answer was received.
func (e *ClockEstimate) Observe(sent, received, reading time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	minOffset, maxOffset := reading-received, reading+clockResolution-sent
	if e.hasReading {
		previous := e.offsetBoundsAt(received)
		if minOffset <= previous.maxOffset && previous.minOffset <= maxOffset {
			minOffset, maxOffset = max(minOffset, previous.minOffset), min(maxOffset, previous.maxOffset)
		}
		// If the intervals do not overlap, the store's clock has restarted and
		// the earlier readings are no longer valid.
	}
	e.hasReading, e.minOffset, e.maxOffset, e.boundsAt = true, minOffset, maxOffset, max(e.boundsAt, received)
}

// offsetBounds holds bounds of the offset of the store's clock from the local clock.
type offsetBounds struct{ minOffset, maxOffset time.Duration }

// offsetBoundsAt returns the bounds of the offset at a local time. It widens them
// by the drift that is possible since boundsAt. The caller holds mu.
func (e *ClockEstimate) offsetBoundsAt(local time.Duration) offsetBounds {
	drift := max(0, local-e.boundsAt) * maxDriftPPM / 1_000_000
	return offsetBounds{e.minOffset - drift, e.maxOffset + drift}
}

// Bounds returns the earliest and the latest reading that the store's clock can
// have at a local time. known is false if no reading has been recorded.
func (e *ClockEstimate) Bounds(local time.Duration) (earliest, latest time.Duration, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	offsets := e.offsetBoundsAt(local)
	return local + offsets.minOffset, local + offsets.maxOffset, e.hasReading
}

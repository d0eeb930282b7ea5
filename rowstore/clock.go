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

// ClockEstimate estimates bounds of the store's monotonic clock from the readings
// in the store's answers. The store reads its clock after a call was sent and
// before its answer was received, so each answer can narrow the bounds. The zero
// value has no reading.
type ClockEstimate struct {
	mu         sync.Mutex
	hasReading bool
	// minOffset and maxOffset bound the offset of the store's clock from the
	// local clock at the local time boundsAt.
	minOffset, maxOffset, boundsAt time.Duration
}

// Observe records a reading of the store's clock that the store took between the
// local times sent and received.
func (e *ClockEstimate) Observe(sent, received, reading time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	lowest, highest := reading-received, reading+clockResolution-sent
	if e.hasReading {
		previous := e.offsetBoundsAt(received)
		if lowest <= previous.highest && previous.lowest <= highest {
			lowest, highest = max(lowest, previous.lowest), min(highest, previous.highest)
		}
		// Otherwise the store's clock has restarted, and the earlier readings
		// are no longer valid.
	}
	e.hasReading, e.minOffset, e.maxOffset, e.boundsAt = true, lowest, highest, max(e.boundsAt, received)
}

// offsetBounds are the bounds of the offset of the store's clock from the local
// clock.
type offsetBounds struct{ lowest, highest time.Duration }

// offsetBoundsAt returns the bounds of the offset at a local time. It widens them
// by the drift that is possible since boundsAt. The caller holds mu.
func (e *ClockEstimate) offsetBoundsAt(local time.Duration) offsetBounds {
	drift := max(0, local-e.boundsAt) * maxDriftPPM / 1_000_000
	return offsetBounds{e.minOffset - drift, e.maxOffset + drift}
}

// Bounds returns the earliest and the latest reading that the store's clock can
// have at a local time. It returns false if no reading has been recorded.
func (e *ClockEstimate) Bounds(local time.Duration) (earliest, latest time.Duration, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	offsets := e.offsetBoundsAt(local)
	return local + offsets.lowest, local + offsets.highest, e.hasReading
}

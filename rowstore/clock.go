package rowstore

import (
	"sync"
	"time"
)

const (
	// maxDrift is how much the local steady clock and the store's may drift
	// apart, in millionths.
	maxDrift = 500
	// clockResolution is the unit in which the store gives its clock.
	clockResolution = time.Millisecond
)

// ClockEstimate bounds the store's steady clock by the readings in its answers.
// The store reads its clock after a call was sent and before the answer was
// received; each answer narrows the bounds. Its zero value knows no reading.
type ClockEstimate struct {
	mu    sync.Mutex
	known bool
	// least and most bound the store's clock less the local one as of a local
	// time.
	least, most, at time.Duration
}

// Observe records a reading of the store's clock that was taken between two local
// times.
func (e *ClockEstimate) Observe(sent, received, reading time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	least, most := reading-received, reading+clockResolution-sent
	if e.known {
		known := e.widened(received)
		if least <= known.most && known.least <= most {
			least, most = max(least, known.least), min(most, known.most)
		}
		// Otherwise the store counts anew: what was known of its clock is void.
	}
	e.known, e.least, e.most, e.at = true, least, most, max(e.at, received)
}

// offsets bound the store's clock less the local one.
type offsets struct{ least, most time.Duration }

// widened returns the bounds as of a local time, by which the clocks may have
// drifted apart.
func (e *ClockEstimate) widened(local time.Duration) offsets {
	drift := max(0, local-e.at) * maxDrift / 1_000_000
	return offsets{e.least - drift, e.most + drift}
}

// Bounds returns the earliest and the latest reading that the store's clock can
// have at a local time, and whether anything is known of it.
func (e *ClockEstimate) Bounds(local time.Duration) (earliest, latest time.Duration, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := e.widened(local)
	return local + o.least, local + o.most, e.known
}

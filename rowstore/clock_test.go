package rowstore

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against bounds that do not contain the true reading of the store's
// clock, for any delays of calls and any drift within the assumed maximum.
func TestClockBoundsContainTrueReading(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for range 200 {
		drift := 1 + (random.Float64()-0.5)*2*maxDriftPPM/1_000_000
		offset := time.Duration(random.Int64N(int64(time.Hour)))
		storeClock := func(local time.Duration) time.Duration { return offset + time.Duration(float64(local)*drift) }
		var estimate ClockEstimate
		local := time.Duration(0)
		for range 50 {
			sent := local
			readAt := sent + time.Duration(random.Int64N(int64(3*time.Second)))
			received := readAt + time.Duration(random.Int64N(int64(3*time.Second)))
			estimate.Observe(sent, received, storeClock(readAt).Truncate(time.Millisecond))
			local = received + time.Duration(random.Int64N(int64(10*time.Second)))
			earliest, latest, known := estimate.Bounds(local)
			if now := storeClock(local); !known || now < earliest || now > latest {
				t.Fatalf("clock %v outside the bounds %v to %v, known %v", now, earliest, latest, known)
			}
		}
	}
}

// Guards against a slow answer that widens the bounds that a fast answer has
// narrowed.
func TestSlowAnswerDoesNotWidenBounds(t *testing.T) {
	var estimate ClockEstimate
	estimate.Observe(time.Second, time.Second+4*time.Millisecond, time.Hour)
	estimate.Observe(2*time.Second, 5*time.Second, time.Hour+2*time.Second)
	earliest, latest, _ := estimate.Bounds(5 * time.Second)
	if width := latest - earliest; width > 15*time.Millisecond {
		t.Errorf("bounds are %v apart", width)
	}
}

// Guards against bounds that stay wrong after the store's clock has restarted.
func TestClockBoundsFollowRestartedClock(t *testing.T) {
	var estimate ClockEstimate
	estimate.Observe(time.Second, time.Second+time.Millisecond, time.Hour)
	estimate.Observe(2*time.Second, 2*time.Second+time.Millisecond, time.Minute)
	if _, latest, _ := estimate.Bounds(2 * time.Second); latest > 2*time.Minute {
		t.Errorf("latest reading %v", latest)
	}
}

package durations

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a spread that does not follow the errors of stated times: forecasts of the ends of
// runs would be trusted too much or too little.
func TestSpreadFollowsErrors(t *testing.T) {
	spread := func(errorDeviation float64) float64 {
		e, random := New(), rand.New(rand.NewPCG(7, 8))
		for range 400 {
			actual := 2200 * math.Exp(random.NormFloat64())
			stated := actual * math.Exp(errorDeviation*random.NormFloat64())
			e.Observe(time.Duration(stated*1e6), time.Duration(actual*1e6))
		}
		return e.Spread()
	}
	if got := spread(0.1); got < 0.05 || got > 0.15 {
		t.Errorf("spread %.2f with errors of 0.1", got)
	}
	if got := spread(0.6); got < 0.4 || got > 0.65 {
		t.Errorf("spread %.2f with errors of 0.6 among times that differ by 1", got)
	}
	if got := New().Spread(); got <= 0 || got > priorErrorDeviation {
		t.Errorf("spread %.2f without measurements", got)
	}
}

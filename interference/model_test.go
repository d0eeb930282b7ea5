package interference

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// Guards against treating a pair without measurements as harmless.
func TestUnmeasuredPairIsNotHarmless(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(DefaultSettings())
		victim, quiet, unknown := m.Kind("service"), m.Kind("quiet"), m.Kind("unknown")
		share := rapid.Float64Range(0.05, 1).Draw(t, "share")
		load := rapid.Float64Range(0, 1).Draw(t, "load")
		for range rapid.IntRange(30, 60).Draw(t, "measurements") {
			m.Observe(Measurement{Victim: victim, Load: load, Slowdown: 1, Neighbours: []Pressure{{quiet, share}}})
		}
		quietEstimate := m.Predict(victim, load, []Pressure{{quiet, share}})
		unknownEstimate := m.Predict(victim, load, []Pressure{{unknown, share}})
		if unknownEstimate.UpperBound(1) <= quietEstimate.UpperBound(1) {
			t.Fatalf("unmeasured %v is predicted below measured quiet %v", unknownEstimate, quietEstimate)
		}
	})
}

// Guards against an estimator that attributes a slowdown to all neighbours
// alike: it must recover the true coefficients from measurements with several
// neighbours.
func TestModelSeparatesPairs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(DefaultSettings())
		victim := m.Kind("service")
		trueMeans := []float64{0.05, 0.5, rapid.Float64Range(1, 2.5).Draw(t, "noisy")}
		kinds := []Kind{m.Kind("a"), m.Kind("b"), m.Kind("c")}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range 600 {
			var neighbours []Pressure
			slowdown := 1.0
			for i, k := range kinds {
				share := random.Float64() / 2
				neighbours = append(neighbours, Pressure{k, share})
				slowdown += trueMeans[i] * share
			}
			m.Observe(Measurement{Victim: victim, Load: 0.5, Slowdown: slowdown, Neighbours: neighbours})
		}
		for i, k := range kinds {
			if got := m.Pair(victim, k, 0.5).Mean; math.Abs(got-trueMeans[i]) > 0.25 {
				t.Fatalf("kind %d: got %.2f, want %.2f", i, got, trueMeans[i])
			}
		}
	})
}

// Guards against an estimate that does not follow a pair whose interference has
// changed.
func TestModelFollowsDrift(t *testing.T) {
	m := New(DefaultSettings())
	victim, neighbour := m.Kind("service"), m.Kind("batch")
	observe := func(excess float64) {
		for range 200 {
			m.Observe(Measurement{Victim: victim, Load: 0.5, Slowdown: 1 + 0.4*excess, Neighbours: []Pressure{{neighbour, 0.4}}})
		}
	}
	observe(0.1)
	observe(1.5)
	if got := m.Pair(victim, neighbour, 0.5).Mean; got < 1 {
		t.Fatalf("estimate %.2f has not followed the change", got)
	}
}

// Guards against non-finite estimates after invalid measurements.
func TestModelRejectsInvalidMeasurements(t *testing.T) {
	m := New(DefaultSettings())
	victim, neighbour := m.Kind("service"), m.Kind("batch")
	for _, slowdown := range []float64{math.NaN(), math.Inf(1), -3, 0} {
		m.Observe(Measurement{Victim: victim, Slowdown: slowdown, Neighbours: []Pressure{{neighbour, 0.5}}})
	}
	if got := m.Pair(victim, neighbour, 0.5); got.Mean != DefaultSettings().PriorMean {
		t.Fatalf("invalid measurements changed the estimate: %v", got)
	}
}

package durations

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// meanError is the mean of |log(expected / true)| over tasks whose stated times
// are off by a lognormal error.
func meanError(e *Estimator, spread, off, bias float64, observe bool) float64 {
	random := rand.New(rand.NewPCG(7, 7))
	var sum float64
	const tasks = 400
	for range tasks {
		actual := 2200 * math.Exp(spread*random.NormFloat64())
		stated := actual * math.Exp(bias+off*random.NormFloat64())
		s, a := time.Duration(stated*1e6), time.Duration(actual*1e6)
		sum += math.Abs(math.Log(float64(e.Expect(s)) / float64(a)))
		if observe {
			e.Observe(s, a)
		}
	}
	return sum / tasks
}

// Callers of one site state times that are off by a factor of 2.5 either way:
// jobs were taken for late from the start, or for small ones that they were not.
func TestWildStatementsGiveWayToTheUsualTime(t *testing.T) {
	before, after := meanError(New(), 0.5, 0.9, 0, false), meanError(New(), 0.5, 0.9, 0, true)
	if after > 0.65*before {
		t.Errorf("mean error %.2f, that of the statements %.2f", after, before)
	}
}

// Good statements must be kept, also where tasks of a queue differ widely, and a
// common bias must be taken off.
func TestGoodStatementsAreKept(t *testing.T) {
	if got := meanError(New(), 1, 0.1, 0, true); got > 0.12 {
		t.Errorf("mean error %.2f with statements off by 0.1", got)
	}
	if got := meanError(New(), 0.5, 0.2, 0.4, true); got > 0.25 {
		t.Errorf("mean error %.2f with a common bias of 0.4", got)
	}
}

// Nothing known: what the caller states is all there is.
func TestStatementIsTakenAtFirst(t *testing.T) {
	if got := New().Expect(3 * time.Second); got != 3*time.Second {
		t.Errorf("expected %v", got)
	}
	e := New()
	e.Observe(0, time.Second)
	e.Observe(time.Second, -1)
	if got := e.Expect(3 * time.Second); got != 3*time.Second {
		t.Errorf("expected %v after damaged measurements", got)
	}
}

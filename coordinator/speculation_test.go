package coordinator

import (
	"testing"
	"time"
)

// usualRatios are ratios without stragglers.
var usualRatios = []float64{0.8, 0.85, 0.9, 0.95, 1, 1.05, 1.1, 1.15}

// slowOption returns a run that has taken one second of the two that are usual, and will go on for the
// given time.
func slowOption(remaining time.Duration) copyInputs {
	return copyInputs{usual: 2 * time.Second, elapsed: time.Second, hasProjection: true, fullTime: time.Second + remaining,
		remaining: remaining, ratios: usualRatios, restShare: 1, untilObjective: 3 * time.Second}
}

// Guards against copies that would end later than the run, whose gain does not reach the end of the
// job, or that gain too little for a job that is on time.
func TestCopyPaysOnlyIfTheJobEndsEarlier(t *testing.T) {
	tests := map[string]struct {
		change func(o *copyInputs)
		factor float64
		pays   bool
	}{
		"straggler":                    {func(*copyInputs) {}, 1, true},
		"runner too slow":              {func(*copyInputs) {}, 6, false},
		"other tasks take as long":     {func(o *copyInputs) { o.otherPath = 12 * time.Second }, 1, false},
		"other tasks end a bit before": {func(o *copyInputs) { o.otherPath = 8 * time.Second }, 1, true},
		"long chain after it":          {func(o *copyInputs) { o.otherPath, o.timeAfterStep = 12*time.Second, 6*time.Second }, 1, true},
		"nearly done":                  {func(o *copyInputs) { o.remaining = 100 * time.Millisecond }, 1, false},
		"late job, small gain":         {func(o *copyInputs) { o.remaining, o.untilObjective = 3*time.Second, 0 }, 1, true},
		"job on time, small gain":      {func(o *copyInputs) { o.remaining, o.untilObjective = 3*time.Second, time.Minute }, 1, false},
		"copy from a checkpoint":       {func(o *copyInputs) { o.remaining, o.restShare, o.untilObjective = 3*time.Second, 0.2, time.Minute }, 1, true},
		"no progress reported, late":   {func(o *copyInputs) { o.hasProjection, o.fullTime, o.remaining, o.elapsed = false, 0, 0, 6*time.Second }, 1, true},
		"no progress reported, early":  {func(o *copyInputs) { o.hasProjection, o.fullTime, o.remaining = false, 0, 0 }, 1, false},
		"nothing measured":             {func(o *copyInputs) { o.ratios = nil }, 1, false},
	}
	for name, test := range tests {
		o := slowOption(9 * time.Second)
		test.change(&o)
		if forecast, pays := copyPays(o, test.factor); pays != test.pays {
			t.Errorf("%s: pays is %v, forecast %+v", name, pays, forecast)
		}
	}
}

// Guards against a decision that takes one straggler in three for the usual spread, and against one that
// expects a copy to be never a straggler.
func TestForecastCountsStragglersAmongCopies(t *testing.T) {
	o := slowOption(9 * time.Second)
	o.ratios = []float64{0.9, 0.95, 1, 1, 1, 1, 1.05, 1.1, 7, 7}
	forecast, pays := copyPays(o, 1)
	if !pays || forecast.winProbability != 0.8 {
		t.Errorf("pays %v with probability %v, want true with 0.8", pays, forecast.winProbability)
	}
}

// Guards against more copies than their share of the runs.
func TestAllowedCopies(t *testing.T) {
	for _, test := range []struct{ runs, copies, want int }{{1, 0, 1}, {2, 1, 0}, {100, 0, 10}, {110, 10, 0}, {105, 10, -1}} {
		if got := allowedCopies(test.runs, test.copies); got != test.want {
			t.Errorf("%d runs, %d copies: %d more allowed, want %d", test.runs, test.copies, got, test.want)
		}
	}
}

// Guards against a slow runner that is taken for a usual one, and against one straggler that makes its
// runner a slow one.
func TestSlownessFollowsTheRuns(t *testing.T) {
	var slow, usual slowness
	for range 20 {
		slow.add(1.6)
		usual.add(1)
	}
	usual.add(7)
	if f := slow.factor(); f < 1.5 || f > 1.6 {
		t.Errorf("factor %v of a slow runner, want about 1.6", f)
	}
	if f := usual.factor(); f > 1.15 {
		t.Errorf("factor %v of a usual runner with one straggler", f)
	}
}

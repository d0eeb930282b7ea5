package retry

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"bergamotstile/metrics"
	"bergamotstile/proptest"
)

func init() { proptest.FixSeed() }

// Guards against retries of one cause that exceed their share of the requests or draw on
// the budget of another cause.
func TestRetriesStayWithinTheBudgetOfEachCause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		settings := Settings{Ratio: 0.1, MinPerSecond: 2, Burst: 20}
		b := New(settings, clock, metrics.NewSet())
		start, requests := clock.Now(), 0
		allowed := map[Cause]int{}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				for range rapid.IntRange(1, 100).Draw(t, "n") {
					b.RecordRequest()
					requests++
				}
			},
			"wait": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"retry": func(t *rapid.T) {
				cause := rapid.SampledFrom([]Cause{CauseBusy, CauseUnreachable}).Draw(t, "cause")
				for range rapid.IntRange(1, 50).Draw(t, "n") {
					if b.Allow(cause) {
						allowed[cause]++
					}
				}
			},
			"": func(t *rapid.T) {
				limit := settings.MinPerSecond*(1+clock.Since(start).Seconds()) + settings.Ratio*float64(requests)
				for cause, n := range allowed {
					if float64(n) > limit+1e-6 {
						t.Fatalf("%d retries for %s, the budget is %.1f", n, cause, limit)
					}
				}
			},
		})
	})
}

// Guards against a budget that never refills or that several causes share, and against
// retries that are missing from the metrics.
func TestEachCauseHasItsOwnRefillingBudget(t *testing.T) {
	clock := clockwork.NewFakeClock()
	counters := metrics.NewSet()
	b := New(Settings{Ratio: 0.1, MinPerSecond: 1, Burst: 5}, clock, counters)
	if !b.Allow(CauseBusy) || b.Allow(CauseBusy) || !b.Allow(CauseLeaving) {
		t.Error("each cause should start with one retry of its own")
	}
	for range 10 {
		b.RecordRequest()
	}
	if !b.Allow(CauseBusy) || b.Allow(CauseBusy) {
		t.Error("ten requests should allow one retry")
	}
	clock.Advance(time.Hour)
	for i := range 6 {
		if got := b.Allow(CauseBusy); got != (i < 5) {
			t.Errorf("retry %d after an hour: %v", i, got)
		}
	}
	if got := counters.Retries.Get(string(CauseBusy)).String(); got != "7" {
		t.Errorf("counted %s retries, want 7", got)
	}
}

package coordinator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// Guards against a changed runner that the log does not yield, and against one that it
// yields once for each of its changes: the cost of a scheduling round would grow with
// the product of waiting steps and runners.
func TestChangeLogYieldsEachChangedRunnerOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	var log changeLog
	runners := make([]*runner, 12)
	for i := range runners {
		runners[i] = newRunner()
		log.record(runners[i], len(runners))
	}
	for range 2000 {
		log.record(runners[random.IntN(len(runners))], len(runners))
		since := log.last - min(log.last, uint64(random.IntN(40)))
		want := map[*runner]bool{}
		for _, r := range runners {
			if r.lastChange > since {
				want[r] = true
			}
		}
		got := slices.Collect(log.after(since))
		yielded := map[*runner]bool{}
		for _, r := range got {
			yielded[r] = true
		}
		if !maps.Equal(yielded, want) || len(got) != len(want) {
			t.Fatalf("%d runners yielded, %d of them distinct, want %d", len(got), len(yielded), len(want))
		}
	}
	if maxEntries := maxEntriesPerRunner*(len(runners)+1) + 1; len(log.entries) > maxEntries {
		t.Errorf("%d entries for %d runners, want at most %d", len(log.entries), len(runners), maxEntries)
	}
}

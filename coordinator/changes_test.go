package coordinator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// Guards against a runner that has changed and is not looked at again, or one that is
// looked at for each of its changes: a round would cost waiting steps times runners.
func TestChangedRunnersAreListedOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	var log changeLog
	runners := make([]*runner, 12)
	for i := range runners {
		runners[i] = newRunner()
		log.note(runners[i], len(runners))
	}
	for range 2000 {
		log.note(runners[random.IntN(len(runners))], len(runners))
		since := log.last - min(log.last, uint64(random.IntN(40)))
		want := map[*runner]bool{}
		for _, r := range runners {
			if r.change > since {
				want[r] = true
			}
		}
		got := slices.Collect(log.after(since))
		listed := map[*runner]bool{}
		for _, r := range got {
			listed[r] = true
		}
		if !maps.Equal(listed, want) || len(got) != len(want) {
			t.Fatalf("%d runners listed, %d of them distinct, want %d", len(got), len(listed), len(want))
		}
	}
	if most := compactAt*(len(runners)+1) + 1; len(log.entries) > most {
		t.Errorf("%d entries for %d runners, want at most %d", len(log.entries), len(runners), most)
	}
}

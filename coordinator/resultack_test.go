package coordinator

import "testing"

// Guards against a list that never becomes shorter: the results of ended jobs change no progress,
// so nothing was written, and without a write nothing was acknowledged.
func TestResultsWithoutProgressAreAcknowledged(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 10_000))
	tasks := startTasksOnOneRunner(t, h, 2)
	h.core.Cancel(firstID, h.now)
	if _, _, err := h.core.TakeWrites(h.now); err != nil {
		t.Fatal(err)
	}
	results := doneResults(1, tasks...)
	results[0].Kind, results[1].Kind = EndedStopped, EndedStopped
	h.report(Report{Runner: "a", Incarnation: 1, Ended: results})
	if exists, _ := h.core.UnstoredProgress(); !exists {
		t.Fatal("nothing is to be stored or acknowledged after two results")
	}
	writes, acknowledged, err := h.core.TakeWrites(h.now)
	if err != nil || len(writes) != 0 || acknowledged["a"].Number != 2 {
		t.Errorf("writes %v, acknowledged %v, error %v", writes, acknowledged, err)
	}
	h.report(Report{Runner: "a", Incarnation: 1, Ended: results})
	if exists, _ := h.core.UnstoredProgress(); exists {
		t.Error("results that are listed again are stored again")
	}
}

package coordinator

import "testing"

// Guards against a run that is taken as lost although the report lists its result: the result
// waits behind that of a run whose job is not known yet.
func TestRunWithAWaitingResultIsNotLost(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 10_000))
	lost := 0
	h.core.counters = func(name string, n int64) {
		if name == "runs_lost" {
			lost += int(n)
		}
	}
	tasks := startTasksOnOneRunner(t, h, 1)
	h.report(Report{Runner: "a", Incarnation: 1, Ended: doneResults(1, taskID(secondID, 0, 0), tasks[0])})
	if lost != 0 || len(h.core.jobs[firstID].runs[tasks[0]]) != 1 {
		t.Errorf("%d runs lost whose result is listed", lost)
	}
}

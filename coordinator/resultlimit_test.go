package coordinator

import (
	"testing"

	"bergamotstile/jobs"
)

// Guards against results that don't fit into one report: while results can't be stored, starts
// are limited so that those that are not acknowledged, and those of all runs, stay within the
// limit. Gangs keep to it too. Stored results make room again.
func TestStartsLeaveRoomForTheResultsOfAllRuns(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 100_000))
	h.core.limits.MaxListedResults = 4
	gang := plainStep(2, 1000)
	gang.Gang = true
	h.addJob(firstID, false, plainStep(8, 1000))
	var ended []jobs.TaskID
	orders := startOrders(h.schedule())
	if len(orders) != 4 {
		t.Fatalf("%d starts with an empty list, want 4", len(orders))
	}
	for _, order := range orders {
		h.answer(order, Accepted, false)
		ended = append(ended, order.Task)
	}
	running := []RunStatus{{Task: ended[3], Run: 1}}
	h.report(Report{Runner: "a", Incarnation: 1, Ended: doneResults(1, ended[:3]...), Running: running})
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Fatalf("%d starts beside 3 results and a run, want none", n)
	}
	step := h.core.jobs[firstID].openSteps[[2]int{0, 0}]
	if got := h.core.findObstacle(step, h.core.runners["a"], h.now); got != resultListFull {
		t.Errorf("obstacle %q, want %q", obstacleNames[got], obstacleNames[resultListFull])
	}
	h.core.Acknowledge("a", Acknowledgement{Incarnation: 7, Number: 3})
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Fatalf("%d starts after results of another process were stored", n)
	}
	h.core.Acknowledge("a", Acknowledgement{Incarnation: 1, Number: 2})
	if n := len(startOrders(h.schedule())); n != 2 {
		t.Fatalf("%d starts after 2 results were stored, want 2", n)
	}
	h.core.Acknowledge("a", Acknowledgement{Incarnation: 1, Number: 3})
	h.core.Cancel(firstID, h.now)
	h.addJob(secondID, false, gang)
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Errorf("%d members of a gang started beside 3 runs, want none", n)
	}
}

// Guards against starts on a runner of which a successor does not know how many results wait
// there, and against a successor that counts results which its predecessor has acknowledged.
func TestSuccessorCountsOnlyResultsThatAreStillListed(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 100_000))
	h.core.limits.MaxListedResults = 4
	h.core.MarkFinished(secondID)
	old := []jobs.TaskID{taskID(secondID, 0, 0), taskID(secondID, 0, 1)}
	h.report(Report{Runner: "a", Incarnation: 1, Ended: doneResults(901, old...), Incomplete: true})
	h.addJob(firstID, false, plainStep(8, 1000))
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Fatalf("%d starts while the list was incomplete, want none", n)
	}
	h.report(Report{Runner: "a", Incarnation: 1, Ended: doneResults(901, old...)})
	orders := startOrders(h.schedule())
	if len(orders) != 2 {
		t.Fatalf("%d starts beside 2 results, want 2", len(orders))
	}
	for _, order := range orders {
		h.answer(order, Accepted, false)
	}
	h.report(Report{Runner: "a", Incarnation: 2})
	if n := len(startOrders(h.schedule())); n != 4 {
		t.Errorf("%d starts on a new process of the runner, whose list is empty, want 4", n)
	}
}

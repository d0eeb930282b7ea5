package coordinator

import (
	"testing"
	"time"

	"bergamotstile/jobs"
)

// Guards against a plan for leaving runs whose failed search, made while it holds capacity for
// others, keeps a waiting task of the same step from a runner that has become free.
func TestPlanForDeparturesDoesNotKeepAWaitingTaskFromStarting(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 1000), testRunner("b", 1000))
	step := standingStep(2, 1000)
	step.MaxPerRunner = 1
	orders := h.startJob(firstID, step)
	first, second := orders[0], orders[1]
	isBlocked := true
	report := func() {
		h.report(Report{Runner: second.Runner, Incarnation: 1, Running: runStatuses(100, second)})
		h.report(Report{Runner: first.Runner, Incarnation: 1, CannotExtendLeases: isBlocked,
			Ended: []RunResult{{Number: 1, Task: first.Task, Run: 1, Kind: EndedFailed}}})
	}
	drain := testRunner(second.Runner, 1000)
	drain.Draining, drain.Remaining = true, time.Hour
	h.core.UpdateRunner(drain, h.now)
	for range 30 { // the runner of the first task is avoided after the failure
		h.now += 100 * time.Millisecond
		report()
		h.core.CheckRuns(h.now)
		h.schedule()
	}
	isBlocked = false
	for range 100 {
		h.now += 100 * time.Millisecond
		report()
		h.core.CheckRuns(h.now)
		if len(startOrders(h.schedule())) > 0 {
			return
		}
	}
	t.Error("the task is not started in 10 s although a runner is free")
}

// Guards against a gang for which there is no room that keeps other tasks on a leaving runner
// although there is room for them.
func TestGangWithoutRoomDoesNotKeepOtherTasksOnALeavingRunner(t *testing.T) {
	h := newCoreHarness(t, testRunner("leave", 3000))
	gang := standingStep(2, 1000)
	gang.Gang = true
	orders := append(h.startJob(firstID, gang), h.startJob(secondID, standingStep(1, 1000))...)
	h.core.UpdateRunner(testRunner("stay", 1000), h.now)
	h.report(Report{Runner: "stay", Incarnation: 1})
	drain := testRunner("leave", 3000)
	drain.Draining, drain.Remaining = true, time.Minute
	h.core.UpdateRunner(drain, h.now)
	for range 50 {
		h.report(Report{Runner: "leave", Incarnation: 1, Running: runStatuses(100, orders...)})
		h.report(Report{Runner: "stay", Incarnation: 1})
		h.now += 100 * time.Millisecond
		h.core.CheckRuns(h.now)
		h.schedule()
		for _, run := range h.core.jobs[secondID].runs[taskID(secondID, 0, 0)] {
			if run.state == stateStopping {
				return
			}
		}
	}
	t.Error("the single task does not leave in 5 s although another runner has room for it")
}

// Guards against results of an unknown job that each wait for it on their own: a runner that lists
// hundreds of them took no task for minutes.
func TestResultsOfAnUnknownJobWaitOnce(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000))
	var ended []RunResult
	for i := range 20 {
		ended = append(ended, RunResult{Number: i + 1, Task: taskID(jobs.ID("00000000000000ff"), 0, i), Run: 1, Kind: EndedDone})
	}
	for began := h.now; h.now-began < unknownJobWait+time.Second; h.now += 100 * time.Millisecond {
		h.report(Report{Runner: "a", Incarnation: 1, Ended: ended})
	}
	if got := h.core.runners["a"].lastAppliedResult; got != len(ended) {
		t.Errorf("%d of %d results are applied after the wait", got, len(ended))
	}
}

// Guards against results that are never acknowledged while the only job with progress has rows
// that the store refuses for good, and against an acknowledgement in an outage.
func TestResultsAreAcknowledgedWhileTheStoreTakesOtherRows(t *testing.T) {
	held := heldWrites{firstID: nil}
	if held.canAcknowledge(0, false) {
		t.Error("acknowledged although the store takes no row")
	}
	if !held.canAcknowledge(0, true) || !held.canAcknowledge(1, false) || !(heldWrites{}).canAcknowledge(0, false) {
		t.Error("not acknowledged although the store takes rows")
	}
}

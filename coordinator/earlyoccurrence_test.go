package coordinator

import (
	"testing"
	"time"

	"bergamotstile/jobs"
)

// newHarnessWithEarlyClock returns a harness with an inherited job of two steps whose first
// occurrence is due in a second by the clock of this coordinator. By that of the predecessor it
// was due already.
func newHarnessWithEarlyClock(t *testing.T) (*coreHarness, *jobs.Job) {
	t.Helper()
	h := newCoreHarness(t, testRunner("a", 4000))
	spec := jobs.Spec{Steps: []jobs.Step{plainStep(2, 1000), plainStep(1, 1000, 0)}, Repeats: 1, FirstDue: time.Hour, Interval: time.Minute}
	j := jobs.New(firstID, testQueue, spec, 0, 1)
	h.core.AddJob(j, true, time.Hour-time.Second)
	return h, j
}

// startsAt runs a round of scheduling at a time of day and returns the starts.
func (h *coreHarness) startsAt(timeOfDay time.Duration) []Order {
	h.now += time.Millisecond
	h.core.Schedule(h.now, timeOfDay)
	return startOrders(h.core.TakeOrders())
}

// Guards against a task that runs again after it ended: by the clock of a new coordinator the
// occurrence of the run is not due yet, so the result found no task, was acknowledged and
// dropped. The other tasks still wait until the occurrence is due.
func TestResultOfAnOccurrenceThatIsNotDueYetCounts(t *testing.T) {
	h, j := newHarnessWithEarlyClock(t)
	h.report(Report{Runner: "a", Incarnation: 1, Ended: doneResults(1, taskID(firstID, 0, 0))})
	if exists, _ := h.core.UnstoredProgress(); !exists || j.Task(taskID(firstID, 0, 0)) == nil {
		t.Fatal("the result was dropped")
	}
	if n := len(h.startsAt(time.Hour - time.Second)); n != 0 {
		t.Errorf("%d starts before the occurrence is due", n)
	}
	orders := h.startsAt(time.Hour)
	if len(orders) != 1 || orders[0].Task.Index != 1 || orders[0].Task.Step != 0 {
		t.Fatalf("orders %+v, want only the task that is not done", orders)
	}
	h.answer(orders[0], Accepted, false)
	h.report(Report{Runner: "a", Incarnation: 1, Ended: doneResults(2, orders[0].Task)})
	if orders := h.startsAt(time.Hour); len(orders) != 1 || orders[0].Task.Step != 1 {
		t.Errorf("orders %+v, want the next step", orders)
	}
}

// Guards against steps that start before their occurrence is due because the results of all
// tasks of the step before them were listed to a coordinator whose clock is behind.
func TestNextStepWaitsUntilItsOccurrenceIsDue(t *testing.T) {
	h, _ := newHarnessWithEarlyClock(t)
	h.report(Report{Runner: "a", Incarnation: 1, Ended: doneResults(1, taskID(firstID, 0, 0), taskID(firstID, 0, 1))})
	if n := len(h.startsAt(time.Hour - time.Second)); n != 0 {
		t.Errorf("%d starts before the occurrence is due", n)
	}
	if orders := h.startsAt(time.Hour); len(orders) != 1 || orders[0].Task.Step != 1 {
		t.Errorf("orders %+v, want the next step", orders)
	}
}

// Guards against a run that is stopped as unexpected, and against a run number that is used
// again, because the occurrence of the run is not due yet by the clock of a new coordinator.
// Once the step is open, the run counts there until it ends, and no longer.
func TestRunOfAnOccurrenceThatIsNotDueYetIsAdopted(t *testing.T) {
	h, j := newHarnessWithEarlyClock(t)
	running := []RunStatus{{Task: taskID(firstID, 0, 0), Run: 3}}
	h.report(Report{Runner: "a", Incarnation: 1, Running: running})
	if stops := ordersOfKind(h.core.TakeOrders(), Stop); len(stops) != 0 || len(h.core.runners["a"].runs) != 1 {
		t.Fatalf("stops %+v, want the run to be adopted", stops)
	}
	orders := h.startsAt(time.Hour)
	if len(orders) != 1 || orders[0].Task.Index != 1 {
		t.Fatalf("orders %+v, want only the other task", orders)
	}
	step := h.core.jobs[firstID].openSteps[[2]int{0, 0}]
	if got := step.runsByRunner[h.core.runners["a"]]; got != 2 {
		t.Errorf("%d runs of the step on the runner, want 2", got)
	}
	h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{{Number: 1, Task: taskID(firstID, 0, 0), Run: 3, Kind: EndedFailed}}})
	if got := step.runsByRunner[h.core.runners["a"]]; got != 1 {
		t.Errorf("%d runs of the step on the runner after one has ended, want 1", got)
	}
	if last := j.Task(taskID(firstID, 0, 0)).LastRun; last != 3 {
		t.Errorf("last run %d, want 3", last)
	}
}

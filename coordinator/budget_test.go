package coordinator

import (
	"testing"
	"time"

	"bergamotstile/jobs"
)

// longRunningStep returns a long-running step with a disruption budget.
func longRunningStep(count, budget int) jobs.Step {
	step := plainStep(count, 1000)
	step.LongRunning, step.MaxUnavailable = true, budget
	return step
}

// runStatuses returns the statuses of the ordered runs at the given progress.
func runStatuses(percent int, orders ...Order) []RunStatus {
	var statuses []RunStatus
	for _, order := range orders {
		statuses = append(statuses, RunStatus{Task: order.Task, Run: order.Run, Percent: percent})
	}
	return statuses
}

// newBudgetHarness returns a harness in which three tasks of a long-running step are
// available on runner a, and runner b is empty.
func newBudgetHarness(t *testing.T, budget int) (*coreHarness, []Order) {
	h := newCoreHarness(t, testRunner("a", 3000))
	h.core.limits.UnavailableGrace = 4 * time.Second
	orders := h.startJob(firstID, longRunningStep(3, budget))
	if len(orders) != 3 {
		t.Fatalf("%d starts, want 3", len(orders))
	}
	h.report(Report{Runner: "a", Incarnation: 1, Running: runStatuses(100, orders...)})
	h.core.UpdateRunner(testRunner("b", 3000), h.now)
	h.report(Report{Runner: "b", Incarnation: 1})
	return h, orders
}

func (h *coreHarness) drainRunner(id string, cpu int64, remaining time.Duration) {
	info := testRunner(id, cpu)
	info.Draining, info.Remaining = true, remaining
	h.core.UpdateRunner(info, h.now)
}

// checkRuns calls CheckRuns once and returns the stops that it orders.
func (h *coreHarness) checkRuns() []Order {
	h.now += time.Millisecond
	h.core.CheckRuns(h.now)
	return ordersOfKind(h.core.TakeOrders(), Stop)
}

// ordersExcept returns the orders without the one for the given task.
func ordersExcept(orders []Order, id jobs.TaskID) []Order {
	var remaining []Order
	for _, order := range orders {
		if order.Task != id {
			remaining = append(remaining, order)
		}
	}
	return remaining
}

// Guards against stopping all tasks of a step at once when their runner begins to drain,
// whatever its disruption budget. They must move one after the other, each once the one
// before is available again.
func TestTasksLeaveADrainingRunnerWithinTheBudget(t *testing.T) {
	h, orders := newBudgetHarness(t, 1)
	h.drainRunner("a", 3000, 10*time.Second)
	stops := h.checkRuns()
	if len(stops) != 1 {
		t.Fatalf("%d stops, want 1 as the budget allows", len(stops))
	}
	remaining := ordersExcept(orders, stops[0].Task)
	h.report(Report{Runner: "a", Incarnation: 1, Running: runStatuses(100, remaining...),
		Ended: []RunResult{{Number: 1, Task: stops[0].Task, Run: 1, Kind: EndedStopped}}})
	restarts := startOrders(h.schedule())
	if len(restarts) != 1 || restarts[0].Runner != "b" {
		t.Fatalf("orders %+v, want a start on b", restarts)
	}
	h.answer(restarts[0], Accepted, false)
	h.report(Report{Runner: "b", Incarnation: 1, Running: runStatuses(60, restarts[0])})
	if n := len(h.checkRuns()); n != 0 {
		t.Errorf("%d stops before the replacement is available", n)
	}
	h.report(Report{Runner: "b", Incarnation: 1, Running: runStatuses(100, restarts[0])})
	if n := len(h.checkRuns()); n != 1 {
		t.Errorf("%d stops after the first task is available again, want 1", n)
	}
}

// Guards against stopping all tasks of a step at once that are starting up by the last report: they may have
// come to work since (review/standin3-budget). The first may be stopped whatever the others do.
func TestTasksThatStartUpAreStoppedWithinTheBudget(t *testing.T) {
	h, orders := newBudgetHarness(t, 1)
	h.report(Report{Runner: "a", Incarnation: 1, Running: runStatuses(60, orders...)})
	h.drainRunner("a", 3000, 10*time.Second)
	stops := h.checkRuns()
	if len(stops) != 1 {
		t.Fatalf("%d stops, want 1 as the budget allows", len(stops))
	}
	h.report(Report{Runner: "a", Incarnation: 1, Running: runStatuses(60, ordersExcept(orders, stops[0].Task)...),
		Ended: []RunResult{{Number: 1, Task: stops[0].Task, Run: 1, Kind: EndedStopped}}})
	restart := startOrders(h.schedule())[0]
	h.answer(restart, Accepted, false)
	h.report(Report{Runner: "b", Incarnation: 1, Running: runStatuses(60, restart)})
	if n := len(h.checkRuns()); n != 0 {
		t.Errorf("%d stops before the replacement is available", n)
	}
	h.report(Report{Runner: "b", Incarnation: 1, Running: runStatuses(100, restart)})
	if n := len(h.checkRuns()); n != 1 {
		t.Errorf("%d stops after the first task is available again, want 1", n)
	}
}

// Guards against tasks that are lost with their runner because of their disruption budget.
// When the runner is about to stop, waiting gains nothing, and the tasks must be stopped in
// time for their checkpoints to be saved. With 0.5 s for that, tasks were lost on days on
// which runners drained in groups.
func TestTasksAreStoppedBeforeTheirRunnerStopsWhateverTheBudget(t *testing.T) {
	h, _ := newBudgetHarness(t, 1)
	h.drainRunner("a", 3000, 10*time.Second)
	h.checkRuns()
	h.now += 8 * time.Second
	if n := len(h.checkRuns()); n != 2 {
		t.Errorf("%d stops 2 s before the runner may stop, want 2 for the remaining tasks", n)
	}
}

// Guards against stopping tasks too late because a registry entry is read again, as after a
// gap of the feed. Such an entry does not extend the remaining time.
func TestRegistryEntryReadAgainDoesNotExtendTheTimeLeft(t *testing.T) {
	h, _ := newBudgetHarness(t, 1)
	h.drainRunner("a", 3000, 2*time.Second)
	earliestStop := h.core.runners["a"].earliestStop
	h.now += time.Second
	h.drainRunner("a", 3000, 2*time.Second)
	if got := h.core.runners["a"].earliestStop; got != earliestStop {
		t.Errorf("the runner may stop at %v, want %v", got, earliestStop)
	}
}

// Guards against stopping a task of a draining runner that fits on no other runner. It must
// run for as long as its runner can be used.
func TestTaskKeepsRunningUntilAnotherRunnerHasFreeCapacity(t *testing.T) {
	for _, budget := range []int{0, 1} {
		h, _ := newBudgetHarness(t, budget)
		h.core.runners["b"].Capacity.CPUMilli = 500
		h.drainRunner("a", 3000, 10*time.Second)
		if n := len(h.checkRuns()); n != 0 {
			t.Errorf("budget %d: %d stops while no runner has free capacity", budget, n)
		}
		h.core.runners["b"].Capacity.CPUMilli = 5000
		if n := len(h.checkRuns()); budget == 1 && n != 1 || budget == 0 && n == 0 {
			t.Errorf("budget %d: %d stops once a runner has free capacity", budget, n)
		}
	}
}

// Guards against a stop that exceeds the disruption budget. A task that has been unavailable
// for long counts against the budget also if its run was not stopped by the coordinator.
func TestLastingUnavailabilityUsesTheBudget(t *testing.T) {
	h, orders := newBudgetHarness(t, 1)
	h.core.runners["b"].Capacity.CPUMilli = 1000
	h.checkRuns()
	failed := orders[0]
	remaining := ordersExcept(orders, failed.Task)
	h.report(Report{Runner: "a", Incarnation: 1, Running: runStatuses(100, remaining...), Ended: []RunResult{{Number: 1, Task: failed.Task, Run: 1, Kind: EndedFailed}}})
	h.core.runners["a"].health.avoidUntil = h.now + time.Hour
	restart := startOrders(h.schedule())[0]
	h.answer(restart, Accepted, false)
	h.checkRuns()
	h.now += h.core.limits.UnavailableGrace
	h.report(Report{Runner: "a", Incarnation: 1, Running: runStatuses(100, remaining...)})
	h.report(Report{Runner: "b", Incarnation: 1, Running: runStatuses(10, restart)})
	h.core.UpdateRunner(testRunner("c", 3000), h.now)
	h.report(Report{Runner: "c", Incarnation: 1})
	h.drainRunner("a", 3000, 10*time.Second)
	if n := len(h.checkRuns()); n != 0 {
		t.Errorf("%d stops while a task has been unavailable for the grace", n)
	}
	h.report(Report{Runner: "b", Incarnation: 1, Running: runStatuses(100, restart)})
	if n := len(h.checkRuns()); n != 1 {
		t.Errorf("%d stops once the task is available, want 1", n)
	}
}

// Guards against a successor that stops too many tasks. It doesn't know why a task is
// unavailable, and its predecessor may have stopped the task.
func TestSuccessorCountsUnavailableTasksAsStopped(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 3000), testRunner("b", 3000))
	h.core.limits.UnavailableGrace = 4 * time.Second
	h.core.SetInheritedRunners([]InheritedRunner{{ID: "unseen", ExpiredAt: h.now + time.Hour}}, h.now+time.Hour)
	h.addJob(firstID, true, longRunningStep(3, 1))
	h.checkRuns()
	h.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{
		{Task: taskID(firstID, 0, 0), Run: 1, Percent: 100}, {Task: taskID(firstID, 0, 1), Run: 1, Percent: 100}}})
	h.drainRunner("a", 3000, 10*time.Second)
	if n := len(h.checkRuns()); n != 0 {
		t.Errorf("%d stops while it is not known where the third task runs", n)
	}
}

// Guards against a successor that assumes more remaining time for a draining runner than
// there is. The first entry that the successor reads may have been written one heartbeat
// ago.
func TestFirstRegistryEntryOfARunnerCountsAsOld(t *testing.T) {
	h := newCoreHarness(t)
	h.drainRunner("a", 3000, 5*time.Second)
	if remaining := h.core.runners["a"].earliestStop - h.now; remaining != 5*time.Second-maxEntryAge {
		t.Errorf("%v remain, want the stated time less the age of an entry", remaining)
	}
}

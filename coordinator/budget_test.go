package coordinator

import (
	"testing"
	"time"

	"bergamotstile/jobs"
)

// longRunningStep returns a long-running step with a disruption budget.
func longRunningStep(count, budget int) jobs.Step {
	s := plainStep(count, 1000)
	s.LongRunning, s.MaxUnavailable = true, budget
	return s
}

// runStatuses returns the statuses of the ordered runs at the given progress.
func runStatuses(percent int, orders ...Order) []RunStatus {
	var out []RunStatus
	for _, o := range orders {
		out = append(out, RunStatus{Task: o.Task, Run: o.Run, Percent: percent})
	}
	return out
}

// newBudgetWorld returns a world in which three tasks of a long-running step are available
// on runner a, and runner b is empty.
func newBudgetWorld(t *testing.T, budget int) (*coreHarness, []Order) {
	w := newCoreHarness(t, testRunner("a", 3000))
	w.core.limits.UnavailableGrace = 4 * time.Second
	orders := w.startJob(firstID, longRunningStep(3, budget))
	if len(orders) != 3 {
		t.Fatalf("%d starts, want 3", len(orders))
	}
	w.report(Report{Runner: "a", Incarnation: 1, Running: runStatuses(100, orders...)})
	w.core.UpdateRunner(testRunner("b", 3000), w.now)
	w.report(Report{Runner: "b", Incarnation: 1})
	return w, orders
}

func (w *coreHarness) drainRunner(id string, cpu int64, left time.Duration) {
	info := testRunner(id, cpu)
	info.Draining, info.Remaining = true, left
	w.core.UpdateRunner(info, w.now)
}

// runWatch runs one round of Watch and returns the stops that it orders.
func (w *coreHarness) runWatch() []Order {
	w.now += time.Millisecond
	w.core.CheckRuns(w.now)
	return ordersOfKind(w.core.TakeOrders(), Stop)
}

// ordersExcept returns the orders without the one for the given task.
func ordersExcept(orders []Order, id jobs.TaskID) []Order {
	var out []Order
	for _, o := range orders {
		if o.Task != id {
			out = append(out, o)
		}
	}
	return out
}

// Guards against stopping all tasks of a step at once when their runner begins to drain,
// whatever its disruption budget. They must move one after the other, each once the one
// before is available again.
func TestTasksLeaveADrainingRunnerWithinTheBudget(t *testing.T) {
	w, orders := newBudgetWorld(t, 1)
	w.drainRunner("a", 3000, 10*time.Second)
	stops := w.runWatch()
	if len(stops) != 1 {
		t.Fatalf("%d stops, want 1 as the budget allows", len(stops))
	}
	remaining := ordersExcept(orders, stops[0].Task)
	w.report(Report{Runner: "a", Incarnation: 1, Running: runStatuses(100, remaining...),
		Ended: []RunEnd{{Number: 1, Task: stops[0].Task, Run: 1, Kind: EndedStopped}}})
	again := startOrders(w.schedule())
	if len(again) != 1 || again[0].Runner != "b" {
		t.Fatalf("orders %+v, want a start on b", again)
	}
	w.answer(again[0], Accepted, false)
	w.report(Report{Runner: "b", Incarnation: 1, Running: runStatuses(60, again[0])})
	if n := len(w.runWatch()); n != 0 {
		t.Errorf("%d stops before the replacement is available", n)
	}
	w.report(Report{Runner: "b", Incarnation: 1, Running: runStatuses(100, again[0])})
	if n := len(w.runWatch()); n != 1 {
		t.Errorf("%d stops after the first task is available again, want 1", n)
	}
}

// Guards against tasks that are lost with their runner because of their disruption budget.
// When the runner is about to be gone, waiting gains nothing, and the tasks must be stopped
// in time for their checkpoints to be saved. With 0.5 s for that, tasks were lost on days on
// which runners drained in groups.
func TestTasksAreStoppedBeforeTheirRunnerIsGoneWhateverTheBudget(t *testing.T) {
	w, _ := newBudgetWorld(t, 1)
	w.drainRunner("a", 3000, 10*time.Second)
	w.runWatch()
	w.now += 8 * time.Second
	if n := len(w.runWatch()); n != 2 {
		t.Errorf("%d stops 2 s before the runner is gone, want 2 for the remaining tasks", n)
	}
}

// Guards against stopping tasks too late because a registry entry is read again, as after a
// gap of the feed. Such an entry says nothing new about the time that is left.
func TestRegistryEntryReadAgainDoesNotExtendTheTimeLeft(t *testing.T) {
	w, _ := newBudgetWorld(t, 1)
	w.drainRunner("a", 3000, 2*time.Second)
	leaves := w.core.runners["a"].leavesAt
	w.now += time.Second
	w.drainRunner("a", 3000, 2*time.Second)
	if got := w.core.runners["a"].leavesAt; got != leaves {
		t.Errorf("the runner leaves at %v, want %v", got, leaves)
	}
}

// Guards against stopping a task of a draining runner that fits on no other runner. It must
// run for as long as its runner can be used.
func TestTaskKeepsRunningUntilAnotherRunnerHasFreeCapacity(t *testing.T) {
	for _, budget := range []int{0, 1} {
		w, _ := newBudgetWorld(t, budget)
		w.core.runners["b"].Capacity.CPUMilli = 500
		w.drainRunner("a", 3000, 10*time.Second)
		if n := len(w.runWatch()); n != 0 {
			t.Errorf("budget %d: %d stops while no runner has free capacity", budget, n)
		}
		w.core.runners["b"].Capacity.CPUMilli = 5000
		if n := len(w.runWatch()); budget == 1 && n != 1 || budget == 0 && n == 0 {
			t.Errorf("budget %d: %d stops once a runner has free capacity", budget, n)
		}
	}
}

// Guards against a stop that exceeds the disruption budget. A task that has been unavailable
// for long counts against the budget also if its run was not stopped by the coordinator.
func TestLastingUnavailabilityUsesTheBudget(t *testing.T) {
	w, orders := newBudgetWorld(t, 1)
	w.core.runners["b"].Capacity.CPUMilli = 1000
	w.runWatch()
	failed := orders[0]
	remaining := ordersExcept(orders, failed.Task)
	w.report(Report{Runner: "a", Incarnation: 1, Running: runStatuses(100, remaining...), Ended: []RunEnd{{Number: 1, Task: failed.Task, Run: 1, Kind: EndedFailed}}})
	w.core.runners["a"].health.avoidUntil = w.now + time.Hour
	again := startOrders(w.schedule())[0]
	w.answer(again, Accepted, false)
	w.runWatch()
	w.now += w.core.limits.UnavailableGrace
	w.report(Report{Runner: "a", Incarnation: 1, Running: runStatuses(100, remaining...)})
	w.report(Report{Runner: "b", Incarnation: 1, Running: runStatuses(10, again)})
	w.core.UpdateRunner(testRunner("c", 3000), w.now)
	w.report(Report{Runner: "c", Incarnation: 1})
	w.drainRunner("a", 3000, 10*time.Second)
	if n := len(w.runWatch()); n != 0 {
		t.Errorf("%d stops while a task has been unavailable for the notice time", n)
	}
	w.report(Report{Runner: "b", Incarnation: 1, Running: runStatuses(100, again)})
	if n := len(w.runWatch()); n != 1 {
		t.Errorf("%d stops once the task is available, want 1", n)
	}
}

// Guards against a successor that stops too many tasks. It doesn't know why a task is
// unavailable, and its predecessor may have stopped the task.
func TestSuccessorCountsUnavailableTasksAsStopped(t *testing.T) {
	w := newCoreHarness(t, testRunner("a", 3000), testRunner("b", 3000))
	w.core.limits.UnavailableGrace = 4 * time.Second
	w.core.SetInheritedRunners([]InheritedRunner{{"unseen", w.now + time.Hour}}, w.now+time.Hour)
	w.accept(firstID, true, longRunningStep(3, 1))
	w.runWatch()
	w.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{
		{Task: taskID(firstID, 0, 0), Run: 1, Percent: 100}, {Task: taskID(firstID, 0, 1), Run: 1, Percent: 100}}})
	w.drainRunner("a", 3000, 10*time.Second)
	if n := len(w.runWatch()); n != 0 {
		t.Errorf("%d stops while it is not known where the third task runs", n)
	}
}

// Guards against a successor that believes a draining runner to have more time than it has.
// The first entry that the successor reads may have been written one heartbeat ago.
func TestFirstRegistryEntryOfARunnerCountsAsOld(t *testing.T) {
	w := newCoreHarness(t)
	w.drainRunner("a", 3000, 5*time.Second)
	if left := w.core.runners["a"].leavesAt - w.now; left != 5*time.Second-maxEntryAge {
		t.Errorf("%v are left, want the stated time less the age of an entry", left)
	}
}

package coordinator

import (
	"testing"
	"time"

	"bergamotstile/jobs"
)

// lasting is a long-running step with a disruption budget.
func lasting(count, budget int) jobs.Step {
	s := plainStep(count, 1000)
	s.LongRunning, s.MaxUnavailable = true, budget
	return s
}

// at lists runs of orders with a progress.
func at(percent int, orders ...Order) []RunStatus {
	var out []RunStatus
	for _, o := range orders {
		out = append(out, RunStatus{Task: o.Task, Run: o.Run, Percent: percent})
	}
	return out
}

// budgetWorld has three tasks of a long-running step at work on runner a, and
// an empty runner b.
func budgetWorld(t *testing.T, budget int) (*coreHarness, []Order) {
	w := newCoreHarness(t, testRunner("a", 3000))
	w.core.limits.UnavailableGrace = 4 * time.Second
	orders := w.startJob(firstID, lasting(3, budget))
	if len(orders) != 3 {
		t.Fatalf("%d starts, want 3", len(orders))
	}
	w.report(Report{Runner: "a", Incarnation: 1, Running: at(100, orders...)})
	w.core.UpdateRunner(testRunner("b", 3000), w.now)
	w.report(Report{Runner: "b", Incarnation: 1})
	return w, orders
}

func (w *coreHarness) drain(id string, cpu int64, left time.Duration) {
	info := testRunner(id, cpu)
	info.Draining, info.Remaining = true, left
	w.core.UpdateRunner(info, w.now)
}

// watch returns the stops that a round of the watch orders.
func (w *coreHarness) watch() []Order {
	w.now += time.Millisecond
	w.core.CheckRuns(w.now)
	return ordersOfKind(w.core.TakeOrders(), Stop)
}

// without returns the orders but that of a task.
func without(orders []Order, id jobs.TaskID) []Order {
	var out []Order
	for _, o := range orders {
		if o.Task != id {
			out = append(out, o)
		}
	}
	return out
}

// All tasks of a step were stopped at once when their runner began to drain,
// whatever its disruption budget. They must move one after the other, each once
// the one before is at work again.
func TestDrainingRunnerIsLeftWithinTheBudget(t *testing.T) {
	w, orders := budgetWorld(t, 1)
	w.drain("a", 3000, 10*time.Second)
	stops := w.watch()
	if len(stops) != 1 {
		t.Fatalf("%d stops, want 1 as the budget allows", len(stops))
	}
	rest := without(orders, stops[0].Task)
	w.report(Report{Runner: "a", Incarnation: 1, Running: at(100, rest...),
		Ended: []RunEnd{{Number: 1, Task: stops[0].Task, Run: 1, Kind: EndedStopped}}})
	again := startOrders(w.schedule())
	if len(again) != 1 || again[0].Runner != "b" {
		t.Fatalf("orders %+v, want a start on b", again)
	}
	w.answer(again[0], Accepted, false)
	w.report(Report{Runner: "b", Incarnation: 1, Running: at(60, again[0])})
	if n := len(w.watch()); n != 0 {
		t.Errorf("%d stops before the replacement is at work", n)
	}
	w.report(Report{Runner: "b", Incarnation: 1, Running: at(100, again[0])})
	if n := len(w.watch()); n != 1 {
		t.Errorf("%d stops after the first task is at work again, want 1", n)
	}
}

// When the runner is about to be gone waiting gains nothing: its tasks must be
// stopped in time for their checkpoints to be saved. With 0.5 s for that, tasks went
// with their runner on days on which runners drained in groups.
func TestLeavingRunnerIsClearedWhateverTheBudget(t *testing.T) {
	w, _ := budgetWorld(t, 1)
	w.drain("a", 3000, 10*time.Second)
	w.watch()
	w.now += 8 * time.Second
	if n := len(w.watch()); n != 2 {
		t.Errorf("%d stops 2 s before the runner is gone, want both tasks that are left", n)
	}
}

// An entry that is read again, as after a gap of the feed, says nothing new of
// the time that is left: tasks would be stopped too late.
func TestEntryReadAgainDoesNotExtendTheTimeLeft(t *testing.T) {
	w, _ := budgetWorld(t, 1)
	w.drain("a", 3000, 2*time.Second)
	leaves := w.core.runners["a"].leavesAt
	w.now += time.Second
	w.drain("a", 3000, 2*time.Second)
	if got := w.core.runners["a"].leavesAt; got != leaves {
		t.Errorf("the runner leaves at %v, want %v", got, leaves)
	}
}

// A task whose place is not free elsewhere must stay at work as long as its
// runner can be used.
func TestTaskStaysAtWorkUntilThereIsRoomElsewhere(t *testing.T) {
	for _, budget := range []int{0, 1} {
		w, _ := budgetWorld(t, budget)
		w.core.runners["b"].Capacity.CPUMilli = 500
		w.drain("a", 3000, 10*time.Second)
		if n := len(w.watch()); n != 0 {
			t.Errorf("budget %d: %d stops while no runner has room", budget, n)
		}
		w.core.runners["b"].Capacity.CPUMilli = 5000
		if n := len(w.watch()); budget == 1 && n != 1 || budget == 0 && n == 0 {
			t.Errorf("budget %d: %d stops once a runner has room", budget, n)
		}
	}
}

// A task that is not at work for a cause that we did not order counts against
// the budget too, once that has lasted; a stop beside it would take one more away.
func TestLastingAbsenceUsesTheBudget(t *testing.T) {
	w, orders := budgetWorld(t, 1)
	w.core.runners["b"].Capacity.CPUMilli = 1000
	w.watch()
	failed := orders[0]
	rest := without(orders, failed.Task)
	w.report(Report{Runner: "a", Incarnation: 1, Running: at(100, rest...), Ended: []RunEnd{{Number: 1, Task: failed.Task, Run: 1, Kind: EndedFailed}}})
	w.core.runners["a"].health.avoidUntil = w.now + time.Hour
	again := startOrders(w.schedule())[0]
	w.answer(again, Accepted, false)
	w.watch()
	w.now += w.core.limits.UnavailableGrace
	w.report(Report{Runner: "a", Incarnation: 1, Running: at(100, rest...)})
	w.report(Report{Runner: "b", Incarnation: 1, Running: at(10, again)})
	w.core.UpdateRunner(testRunner("c", 3000), w.now)
	w.report(Report{Runner: "c", Incarnation: 1})
	w.drain("a", 3000, 10*time.Second)
	if n := len(w.watch()); n != 0 {
		t.Errorf("%d stops while a task has not been at work for the notice time", n)
	}
	w.report(Report{Runner: "b", Incarnation: 1, Running: at(100, again)})
	if n := len(w.watch()); n != 1 {
		t.Errorf("%d stops once it is at work, want 1", n)
	}
}

// A successor doesn't know why a task is not at work: its predecessor may have
// stopped it.
func TestSuccessorCountsAbsentTasksAsStopped(t *testing.T) {
	w := newCoreHarness(t, testRunner("a", 3000), testRunner("b", 3000))
	w.core.limits.UnavailableGrace = 4 * time.Second
	w.core.SetInheritedRunners([]InheritedRunner{{"unseen", w.now + time.Hour}}, w.now+time.Hour)
	w.accept(firstID, true, lasting(3, 1))
	w.watch()
	w.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{
		{Task: taskID(firstID, 0, 0), Run: 1, Percent: 100}, {Task: taskID(firstID, 0, 1), Run: 1, Percent: 100}}})
	w.drain("a", 3000, 10*time.Second)
	if n := len(w.watch()); n != 0 {
		t.Errorf("%d stops while the third task's whereabouts are not known", n)
	}
}

// An entry that a successor reads first may have been written a heartbeat ago; taken
// for new, it promised time that was gone.
func TestFirstEntryOfARunnerCountsAsOld(t *testing.T) {
	w := newCoreHarness(t)
	w.drain("a", 3000, 5*time.Second)
	if left := w.core.runners["a"].leavesAt - w.now; left != 5*time.Second-maxEntryAge {
		t.Errorf("%v are left, want the stated time less the age of an entry", left)
	}
}

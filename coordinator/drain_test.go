package coordinator

import (
	"testing"
	"time"

	"bergamotstile/maintenance"
)

// cordonAndCheck cordons a runner whose machine goes down after the time remaining, and
// returns the stops that one call of CheckRuns orders.
func (h *coreHarness) cordonAndCheck(runner string, remaining time.Duration, urgent bool) []Order {
	h.core.SetCordons(map[string]maintenance.Cordon{runner: {Until: h.now + remaining, Urgent: urgent}}, nil)
	h.core.CheckRuns(h.now)
	return ordersOfKind(h.core.TakeOrders(), Stop)
}

// reportRunning reports the runs that the orders have started as running, with the given
// progress in percent.
func (h *coreHarness) reportRunning(orders []Order, percent int) {
	statusesByRunner := map[string][]RunStatus{}
	for _, order := range orders {
		statusesByRunner[order.Runner] = append(statusesByRunner[order.Runner], RunStatus{Task: order.Task, Run: order.Run, Percent: percent})
	}
	for runner, statuses := range statusesByRunner {
		h.report(Report{Runner: runner, Incarnation: 1, Running: statuses})
	}
}

// Guards against tasks that are started on a runner whose machine is about to go down,
// which would lose their work.
func TestCordonedRunnerGetsNoTasks(t *testing.T) {
	h := newCoreHarness(t, testRunner("r1", 4000))
	h.cordonAndCheck("r1", time.Second, false)
	if got := h.startJob(firstID, plainStep(1, 1000)); len(got) > 0 {
		t.Errorf("started %v", got)
	}
	h.core.SetCordons(nil, nil)
	if got := startOrders(h.schedule()); len(got) != 1 {
		t.Errorf("%d starts after the maintenance", len(got))
	}
}

// Guards against a cordon that makes more tasks of a long-running step unavailable than
// its disruption budget allows, or that stops a task which no other runner can take
// while the cordon is not urgent.
func TestEvictionForMaintenanceKeepsTheDisruptionBudget(t *testing.T) {
	h := newCoreHarness(t, testRunner("r1", 4000))
	orders := h.startJob(firstID, longRunningStep(3, 1))
	h.reportRunning(orders, 100)
	if got := h.cordonAndCheck("r1", time.Second, false); len(got) > 0 {
		t.Fatalf("stopped %v without another runner", got)
	}
	h.core.UpdateRunner(testRunner("r2", 4000), h.now)
	h.report(Report{Runner: "r2", Incarnation: 1})
	stopped := h.cordonAndCheck("r1", time.Second, false)
	if len(stopped) != 1 {
		t.Fatalf("stopped %v, want one", stopped)
	}
	if got := h.core.RunnerLoad("r1"); got.Budgeted != 2 || got.LongRunning != 3 || !got.Known {
		t.Errorf("load %+v", got)
	}
	var kept []RunStatus
	for _, order := range orders {
		if order.Task != stopped[0].Task {
			kept = append(kept, RunStatus{Task: order.Task, Run: order.Run, Percent: 100})
		}
	}
	h.answer(stopped[0], Accepted, false)
	h.report(Report{Runner: "r1", Incarnation: 1, Running: kept, Ended: []RunResult{{Number: 1, Task: stopped[0].Task, Run: stopped[0].Run, Kind: EndedStopped}}})
	restarts := startOrders(h.schedule())
	if len(restarts) != 1 || restarts[0].Runner != "r2" {
		t.Fatalf("moved to %v", restarts)
	}
	h.answer(restarts[0], Accepted, false)
	h.reportRunning(restarts, 10)
	if got := h.cordonAndCheck("r1", time.Second, true); len(got) > 0 {
		t.Fatalf("stopped %v while another task is unavailable", got)
	}
	h.reportRunning(restarts, 100)
	if got := h.cordonAndCheck("r1", time.Second, false); len(got) != 1 {
		t.Errorf("stopped %v once the first task is available again", got)
	}
}

// Guards against a task that is lost because it can't end before its machine goes down,
// and against stopping a task that can.
func TestWorkThatCannotEndBeforeMaintenanceIsStopped(t *testing.T) {
	longStep := plainStep(1, 1000)
	longStep.Checkpoints, longStep.Estimate = true, 20*time.Second
	h := newCoreHarness(t, testRunner("r1", 4000))
	orders := h.startJob(firstID, plainStep(1, 1000))
	orders = append(orders, h.startJob(secondID, longStep)...)
	h.reportRunning(orders, 0)
	got := h.cordonAndCheck("r1", 3*time.Second, false)
	if len(got) != 1 || got[0].Task.Job != secondID {
		t.Errorf("stopped %v", got)
	}
}

// Guards against tasks that are not started on other runners at once when maintenance of its
// machine has ended their runner. A report of the ended process that is applied after that
// must not restore their runs.
func TestTasksOfARunnerEndedByMaintenanceStartAgain(t *testing.T) {
	h := newCoreHarness(t, testRunner("r1", 4000))
	orders := h.startJob(firstID, plainStep(2, 1000))
	h.reportRunning(orders, 5)
	h.cordonAndCheck("r1", time.Second, false)
	h.core.MarkRunnerEndedByMaintenance("r1", h.now)
	h.reportRunning(orders, 6)
	if got := h.core.RunnerLoad("r1"); got.Runs > 0 {
		t.Errorf("load %+v", got)
	}
	h.core.UpdateRunner(testRunner("r2", 4000), h.now)
	h.report(Report{Runner: "r2", Incarnation: 1})
	if got := startOrders(h.schedule()); len(got) != 2 || got[0].Runner != "r2" {
		t.Errorf("started %v", got)
	}
}

// Guards against machines that go down although their load is not known: that of a
// runner that has not answered a new coordinator, and that of a runner that answers no more.
func TestLoadOfUnresolvedAndSilentRunnersIsNotKnown(t *testing.T) {
	h := newCoreHarness(t, testRunner("r1", 4000))
	h.core.SetInheritedRunners([]InheritedRunner{{ID: "r2", ExpiredAt: h.now + time.Minute}}, h.now+time.Minute)
	h.core.UpdateRunner(testRunner("r3", 4000), h.now)
	for id, known := range map[string]bool{"r1": true, "r2": false, "r3": false, "r4": true} {
		if got := h.core.RunnerLoad(id); got.Known != known {
			t.Errorf("load of %s: %+v", id, got)
		}
	}
	h.core.MarkRunnerSilent("r1")
	if got := h.core.RunnerLoad("r1"); got.Known {
		t.Errorf("load of a silent runner: %+v", got)
	}
}

// Guards against more tasks that are stopped on a draining runner than another runner has room
// for: they wait for seconds although their runner would have let them work on (hunt, unanswered
// on grown Lavigne: 18 LOST).
func TestDrainMovesOnlyTasksForWhichThereIsRoom(t *testing.T) {
	h := newCoreHarness(t, testRunner("draining", 8000))
	step := plainStep(2, 4000)
	step.LongRunning = true
	orders := h.startJob(firstID, step)
	h.core.UpdateRunner(testRunner("other", 4000), h.now)
	h.report(Report{Runner: "other", Incarnation: 1})
	info := testRunner("draining", 8000)
	info.Draining, info.Remaining = true, 10*time.Second
	h.core.UpdateRunner(info, h.now)
	var running []RunStatus
	for _, order := range orders {
		running = append(running, RunStatus{Task: order.Task, Run: order.Run, Percent: fullPace})
	}
	h.report(Report{Runner: "draining", Incarnation: 1, Running: running})
	h.core.CheckRuns(h.now)
	if n := len(ordersOfKind(h.core.TakeOrders(), Stop)); n != 1 {
		t.Errorf("%d tasks are stopped, want 1: the other runner has room for one", n)
	}
}

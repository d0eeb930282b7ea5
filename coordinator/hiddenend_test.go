package coordinator

import (
	"testing"
	"time"
)

// newInheritedHarness returns a harness with two inherited jobs. Runner "a" has listed a
// running task of each. Runner "gone" has not answered and may still run tasks of the
// predecessor.
func newInheritedHarness(t *testing.T) *coreHarness {
	t.Helper()
	h := newCoreHarness(t)
	h.core.SetInheritedRunners([]InheritedRunner{{ID: "a", ExpiredAt: h.now + time.Hour}, {ID: "gone", ExpiredAt: h.now + time.Hour}}, h.now+time.Hour)
	longRunning := plainStep(1, 1000)
	longRunning.LongRunning = true
	h.addJob(firstID, true, longRunning)
	h.addJob(secondID, true, plainStep(1, 1000), plainStep(1, 1000, 0))
	h.core.UpdateRunner(testRunner("a", 4000), h.now)
	h.reportInheritedRuns()
	return h
}

// reportInheritedRuns reports the runs of both jobs as running.
func (h *coreHarness) reportInheritedRuns() {
	h.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{
		{Task: taskID(firstID, 0, 0), Run: 1, Percent: 100}, {Task: taskID(secondID, 0, 0), Run: 1}}})
}

// endInheritedRuns reports both runs as ended and returns the starts that follow.
func (h *coreHarness) endInheritedRuns() []Order {
	h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{
		{Number: 1, Task: taskID(firstID, 0, 0), Run: 1, Kind: EndedFailed}, {Number: 2, Task: taskID(secondID, 0, 0), Run: 1, Kind: EndedDone}}})
	return startOrders(h.schedule())
}

// Guards against tasks that wait for unreachable runners without need: if a run ends long
// after its runner has accepted this coordinator's fencing token, no predecessor can have
// learned of the end. The task can start again at once, and so can the step that becomes
// ready. A long-running task was unavailable for 12 s (scenario Lavigne store-in-pieces,
// seed 395662796584).
func TestTaskWithHiddenEndStartsAtOnce(t *testing.T) {
	h := newInheritedHarness(t)
	h.now += hiddenEndTime
	h.reportInheritedRuns()
	orders := h.endInheritedRuns()
	if len(orders) != 2 {
		t.Fatalf("orders %+v, want a restart and the next step", orders)
	}
	for _, order := range orders {
		if order.Task.Job == firstID && order.Run != 2 || order.Task.Job == secondID && order.Task.Step != 1 {
			t.Errorf("order %+v", order)
		}
	}
}

// Guards against two runs of a task: a long poll of the predecessor may have been waiting at
// the runner when the runner accepted this coordinator's fencing token, and may have
// reported that the run ended soon after. The predecessor may then have started the task on
// a runner that does not answer this coordinator.
func TestTaskWhoseEndThePredecessorMaySeeWaitsForUnresolvedRunners(t *testing.T) {
	h := newInheritedHarness(t)
	h.now += time.Minute // the result is reported late; the run may have ended early
	if orders := h.endInheritedRuns(); len(orders) != 0 {
		t.Errorf("orders %+v while a runner of the predecessor is not resolved", orders)
	}
	h.core.ExpireRunnerLeases("gone", h.now)
	if orders := startOrders(h.schedule()); len(orders) != 2 {
		t.Errorf("orders %+v once every runner is resolved, want 2", orders)
	}
}

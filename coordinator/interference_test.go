package coordinator

import (
	"testing"
	"time"

	"bergamotstile/jobs"
)

const tailTargetMS = 20

func servingStep(image string) jobs.Step {
	step := plainStep(1, 4000)
	step.LongRunning, step.Image, step.TailLatencyTarget = true, image, tailTargetMS*time.Millisecond
	return step
}

func bestEffortStep(count int, image string) jobs.Step {
	step := plainStep(count, 4000)
	step.BestEffort, step.Image = true, image
	return step
}

// newInterferenceHarness returns a harness with one runner on which a serving task runs, and
// the order that started the task.
func newInterferenceHarness(t *testing.T) (*coreHarness, Order) {
	h := newCoreHarness(t, testRunner("a", 32000))
	order := h.startJob(firstID, servingStep("shop"))[0]
	return h, order
}

// reportTail reports a tail of the serving task, and that the given best-effort tasks run
// beside it and use all that they ask for. It returns the orders that follow.
func (h *coreHarness) reportTail(servingOrder Order, bestEffort []Order, tailMS int) []Order {
	h.now += 500 * time.Millisecond
	running := []RunStatus{{Task: servingOrder.Task, Run: servingOrder.Run, Percent: 100, Load: tailMS}}
	for _, order := range bestEffort {
		running = append(running, RunStatus{Task: order.Task, Run: order.Run, Percent: 1, Load: 4000})
	}
	h.report(Report{Runner: "a", Incarnation: 1, Running: running})
	return h.core.TakeOrders()
}

// Guards against a serving task that stays over its target: within the time for which
// interference is allowed, every best-effort task beside it must be slowed to the minimum
// pace, even if the model attributes the interference to none of them and single readings
// are below the target.
func TestLastingInterferenceSlowsEveryBestEffortTask(t *testing.T) {
	h, servingOrder := newInterferenceHarness(t)
	h.addJob(secondID, false, bestEffortStep(2, "render"))
	bestEffort := startOrders(h.schedule())
	if len(bestEffort) != 2 {
		t.Fatalf("%d best-effort tasks started, want 2", len(bestEffort))
	}
	for _, order := range bestEffort {
		h.answer(order, Accepted, false)
	}
	for range 200 {
		h.core.interference.learnFromTail(h.core.runners["a"].findRun(servingOrder.Task, 1), h.core.interference.bestEffortUseOn(h.core.runners["a"]), h.now)
	}
	pace := map[jobs.TaskID]int{}
	for i := range 4 {
		tail := 30
		if i%2 == 1 {
			tail = 19
		}
		for _, order := range ordersOfKind(h.reportTail(servingOrder, bestEffort, tail), Pace) {
			pace[order.Task] = order.Percent
		}
	}
	for _, order := range bestEffort {
		if p, ok := pace[order.Task]; !ok || p > minPace {
			t.Errorf("pace of %v is %d after 2 s over the target", order.Task, p)
		}
	}
}

// Guards against a best-effort task that is started beside a serving task which has been
// over its target for a while: it would run at full pace until its first pace is set.
func TestNoBestEffortTaskStartsBesideAServingTaskOverItsTarget(t *testing.T) {
	h, servingOrder := newInterferenceHarness(t)
	for range 4 {
		h.reportTail(servingOrder, nil, 30)
	}
	h.addJob(secondID, false, bestEffortStep(1, "render"))
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Errorf("%d best-effort tasks started beside a serving task over its target", n)
	}
	h.reportTail(servingOrder, nil, 5)
	if n := len(startOrders(h.schedule())); n != 1 {
		t.Errorf("%d best-effort tasks started after the serving task recovered, want 1", n)
	}
}

// Guards against an image that is placed beside a serving task with which it was measured
// to interfere while another runner has no such task.
func TestInterferingImageIsPlacedElsewhere(t *testing.T) {
	h, servingOrder := newInterferenceHarness(t)
	bestEffort := h.startJob(secondID, bestEffortStep(2, "render"))
	for range 40 {
		h.reportTail(servingOrder, bestEffort, 200)
	}
	h.core.UpdateRunner(testRunner("b", 8000), h.now)
	h.report(Report{Runner: "b", Incarnation: 1})
	h.addJob("00000000000000c3", false, bestEffortStep(1, "render"))
	h.addJob("00000000000000d4", false, bestEffortStep(1, "calm"))
	for _, order := range startOrders(h.schedule()) {
		if order.Task.Job == "00000000000000c3" && order.Runner != "b" {
			t.Errorf("interfering image placed beside the serving task")
		}
	}
}

// Guards against tasks that stay slowed for good because a predecessor lowered their pace
// and its successor doesn't order a new one.
func TestAdoptedBestEffortTaskGetsItsPace(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 32000))
	h.addJob(firstID, true, bestEffortStep(1, "render"))
	status := RunStatus{Task: taskID(firstID, 0, 0), Run: 1, Load: 40}
	h.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{status}})
	paces := ordersOfKind(h.core.TakeOrders(), Pace)
	if len(paces) != 1 || paces[0].Percent != fullPace {
		t.Errorf("orders %+v, want full pace", paces)
	}
}

// Guards against a pace that remains after the tasks of its image have ended. It kept other
// tasks of the image from the runner, so that jobs waited for good although runners had
// become free.
func TestPaceOfAnImageEndsWithItsTasks(t *testing.T) {
	h, servingOrder := newInterferenceHarness(t)
	bestEffort := h.startJob(secondID, bestEffortStep(1, "render"))[0]
	for range 6 {
		h.reportTail(servingOrder, []Order{bestEffort}, 200)
	}
	h.core.Cancel(firstID, h.now)
	h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{
		{Number: 1, Task: bestEffort.Task, Run: bestEffort.Run, Kind: EndedDone}, {Number: 2, Task: servingOrder.Task, Run: servingOrder.Run, Kind: EndedStopped}}})
	h.addJob("00000000000000c3", false, bestEffortStep(1, "render"))
	if n := len(startOrders(h.schedule())); n != 1 {
		t.Errorf("%d starts on an empty runner, want 1", n)
	}
}

// Guards against a best-effort task that stays on a runner on which it hardly proceeds
// although another runner has free capacity. Such a task delayed its job for the rest of
// the day.
func TestThrottledBestEffortTaskIsMoved(t *testing.T) {
	h, servingOrder := newInterferenceHarness(t)
	render := bestEffortStep(1, "render")
	render.Checkpoints = true
	bestEffort := h.startJob(secondID, render)[0]
	for range 9 { // the pace first has to fall, then to stay low
		h.reportTail(servingOrder, []Order{bestEffort}, 200)
		h.core.CheckRuns(h.now)
	}
	if n := len(ordersOfKind(h.schedule(), Stop)); n != 0 {
		t.Fatalf("%d stops although there is no other runner", n)
	}
	h.core.UpdateRunner(testRunner("b", 8000), h.now)
	h.report(Report{Runner: "b", Incarnation: 1})
	h.core.CheckRuns(h.now)
	if n := len(ordersOfKind(h.schedule(), Stop)); n != 1 {
		t.Errorf("%d stops, want 1", n)
	}
	h.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{{Task: servingOrder.Task, Run: 1, Percent: 100, Load: 5}},
		Ended: []RunResult{{Number: 1, Task: bestEffort.Task, Run: bestEffort.Run, Kind: EndedStopped, Checkpoint: "s"}}})
	orders := startOrders(h.schedule())
	if len(orders) != 1 || orders[0].Runner != "b" || orders[0].Checkpoint != "s" {
		t.Errorf("orders %+v, want a start on b from the checkpoint", orders)
	}
}

// Guards against a job whose tasks don't run for a long time although more than largeFreeShare
// (40 %) of the capacity is free, because they would interfere with all serving tasks. That can
// happen at the end of a day, when only the last jobs of a backlog wait.
func TestNoJobStarvesAboveLargeFreeShare(t *testing.T) {
	h, servingOrder := newInterferenceHarness(t)
	bestEffort := h.startJob(secondID, bestEffortStep(1, "render"))[0]
	for range 8 {
		h.reportTail(servingOrder, []Order{bestEffort}, 300)
	}
	h.addJob("00000000000000c3", false, bestEffortStep(3, "render"))
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Fatalf("%d starts beside a serving task over its target", n)
	}
	h.now += 2 * time.Second
	if n := len(startOrders(h.schedule())); n != 1 {
		t.Errorf("%d starts after 2 s, want 1", n)
	}
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Errorf("%d more starts while a task of the job runs", n)
	}
}

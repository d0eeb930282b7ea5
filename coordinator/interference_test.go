package coordinator

import (
	"testing"
	"time"

	"bergamotstile/jobs"
)

const tailTargetMS = 20

func servingStep(image string) jobs.Step {
	s := plainStep(1, 4000)
	s.LongRunning, s.Image, s.TailLatencyTarget = true, image, tailTargetMS*time.Millisecond
	return s
}

func bestEffortStep(count int, image string) jobs.Step {
	s := plainStep(count, 4000)
	s.BestEffort, s.Image = true, image
	return s
}

// newInterferenceWorld returns a world with one runner on which a serving task runs, and
// the order that started the task.
func newInterferenceWorld(t *testing.T) (*coreHarness, Order) {
	w := newCoreHarness(t, testRunner("a", 32000))
	order := w.startJob(firstID, servingStep("shop"))[0]
	return w, order
}

// reportTail reports a tail of the serving task, and that the given best-effort tasks run
// beside it and use all that they ask for. It returns the orders that follow.
func (w *coreHarness) reportTail(servingOrder Order, bestEffort []Order, tailMS int) []Order {
	w.now += 500 * time.Millisecond
	running := []RunStatus{{Task: servingOrder.Task, Run: servingOrder.Run, Percent: 100, Load: tailMS}}
	for _, o := range bestEffort {
		running = append(running, RunStatus{Task: o.Task, Run: o.Run, Percent: 1, Load: 4000})
	}
	w.report(Report{Runner: "a", Incarnation: 1, Running: running})
	return w.core.TakeOrders()
}

// Guards against a serving task that stays over its target: within the time for which
// interference is allowed, every best-effort task beside it must be slowed to the least
// pace, even if the model blames none of them and single readings are below the target.
func TestLastingInterferenceSlowsEveryBestEffortTask(t *testing.T) {
	w, servingOrder := newInterferenceWorld(t)
	w.accept(secondID, false, bestEffortStep(2, "render"))
	bestEffort := startOrders(w.schedule())
	if len(bestEffort) != 2 {
		t.Fatalf("%d best-effort tasks started, want 2", len(bestEffort))
	}
	for _, o := range bestEffort {
		w.answer(o, Accepted, false)
	}
	for range 200 {
		w.core.interference.learnFromTail(w.core.runners["a"].findRun(servingOrder.Task, 1), w.core.interference.bestEffortUseOn(w.core.runners["a"]))
	}
	pace := map[jobs.TaskID]int{}
	for i := range 4 {
		tail := 30
		if i%2 == 1 {
			tail = 19
		}
		for _, o := range ordersOfKind(w.reportTail(servingOrder, bestEffort, tail), Pace) {
			pace[o.Task] = o.Percent
		}
	}
	for _, o := range bestEffort {
		if p, ok := pace[o.Task]; !ok || p > minPace {
			t.Errorf("pace of %v is %d after 2 s over the target", o.Task, p)
		}
	}
}

// Guards against a best-effort task that is started beside a serving task which has been
// over its target for a while: it would run at full pace until its first pace is set.
func TestNoBestEffortTaskStartsBesideAServingTaskOverItsTarget(t *testing.T) {
	w, servingOrder := newInterferenceWorld(t)
	for range 4 {
		w.reportTail(servingOrder, nil, 30)
	}
	w.accept(secondID, false, bestEffortStep(1, "render"))
	if n := len(startOrders(w.schedule())); n != 0 {
		t.Errorf("%d best-effort tasks started beside a serving task over its target", n)
	}
	w.reportTail(servingOrder, nil, 5)
	if n := len(startOrders(w.schedule())); n != 1 {
		t.Errorf("%d best-effort tasks started after the serving task recovered, want 1", n)
	}
}

// Guards against an image that is placed beside a serving task with which it was measured
// to interfere while another runner has no such task.
func TestInterferingImageIsPlacedElsewhere(t *testing.T) {
	w, servingOrder := newInterferenceWorld(t)
	bestEffort := w.startJob(secondID, bestEffortStep(2, "render"))
	for range 40 {
		w.reportTail(servingOrder, bestEffort, 200)
	}
	w.core.UpdateRunner(testRunner("b", 8000), w.now)
	w.report(Report{Runner: "b", Incarnation: 1})
	w.accept("00000000000000c3", false, bestEffortStep(1, "render"))
	w.accept("00000000000000d4", false, bestEffortStep(1, "calm"))
	for _, o := range startOrders(w.schedule()) {
		if o.Task.Job == "00000000000000c3" && o.Runner != "b" {
			t.Errorf("interfering image placed beside the serving task")
		}
	}
}

// Guards against tasks that stay slowed for good because a predecessor lowered their pace
// and its successor doesn't order a new one.
func TestAdoptedBestEffortTaskGetsItsPace(t *testing.T) {
	w := newCoreHarness(t, testRunner("a", 32000))
	w.accept(firstID, true, bestEffortStep(1, "render"))
	status := RunStatus{Task: taskID(firstID, 0, 0), Run: 1, Load: 40}
	w.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{status}})
	paces := ordersOfKind(w.core.TakeOrders(), Pace)
	if len(paces) != 1 || paces[0].Percent != fullPace {
		t.Errorf("orders %+v, want full pace", paces)
	}
}

// Guards against the pace of tasks that are gone. It kept other tasks of their image from
// the runner, so that jobs waited for good although runners had become free.
func TestPaceOfAnImageEndsWithItsTasks(t *testing.T) {
	w, servingOrder := newInterferenceWorld(t)
	bestEffort := w.startJob(secondID, bestEffortStep(1, "render"))[0]
	for range 6 {
		w.reportTail(servingOrder, []Order{bestEffort}, 200)
	}
	w.core.Cancel(firstID, w.now)
	w.report(Report{Runner: "a", Incarnation: 1, Ended: []RunEnd{
		{Number: 1, Task: bestEffort.Task, Run: bestEffort.Run, Kind: EndedDone}, {Number: 2, Task: servingOrder.Task, Run: servingOrder.Run, Kind: EndedStopped}}})
	w.accept("00000000000000c3", false, bestEffortStep(1, "render"))
	if n := len(startOrders(w.schedule())); n != 1 {
		t.Errorf("%d starts on an empty runner, want 1", n)
	}
}

// Guards against a best-effort task that stays on a runner on which it hardly proceeds
// although another runner has free capacity. Such a task delayed its job for the rest of
// the day.
func TestStuckBestEffortTaskIsMoved(t *testing.T) {
	w, servingOrder := newInterferenceWorld(t)
	render := bestEffortStep(1, "render")
	render.Checkpoints = true
	bestEffort := w.startJob(secondID, render)[0]
	for range 9 { // the pace first has to fall, then to stay low
		w.reportTail(servingOrder, []Order{bestEffort}, 200)
		w.core.CheckRuns(w.now)
	}
	if n := len(ordersOfKind(w.schedule(), Stop)); n != 0 {
		t.Fatalf("%d stops although there is no other runner", n)
	}
	w.core.UpdateRunner(testRunner("b", 8000), w.now)
	w.report(Report{Runner: "b", Incarnation: 1})
	w.core.CheckRuns(w.now)
	if n := len(ordersOfKind(w.schedule(), Stop)); n != 1 {
		t.Errorf("%d stops, want 1", n)
	}
	w.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{{Task: servingOrder.Task, Run: 1, Percent: 100, Load: 5}},
		Ended: []RunEnd{{Number: 1, Task: bestEffort.Task, Run: bestEffort.Run, Kind: EndedStopped, Checkpoint: "s"}}})
	orders := startOrders(w.schedule())
	if len(orders) != 1 || orders[0].Runner != "b" || orders[0].Checkpoint != "s" {
		t.Errorf("orders %+v, want a start on b from the checkpoint", orders)
	}
}

// Guards against a job of which nothing runs for long although most capacity is free, as at
// the end of a day, because its tasks would interfere with all serving tasks.
func TestNoJobStarvesWhileMostCapacityIsFree(t *testing.T) {
	w, servingOrder := newInterferenceWorld(t)
	bestEffort := w.startJob(secondID, bestEffortStep(1, "render"))[0]
	for range 8 {
		w.reportTail(servingOrder, []Order{bestEffort}, 300)
	}
	w.accept("00000000000000c3", false, bestEffortStep(3, "render"))
	if n := len(startOrders(w.schedule())); n != 0 {
		t.Fatalf("%d starts beside a serving task over its target", n)
	}
	w.now += 2 * time.Second
	if n := len(startOrders(w.schedule())); n != 1 {
		t.Errorf("%d starts after 2 s, want 1", n)
	}
	if n := len(startOrders(w.schedule())); n != 0 {
		t.Errorf("%d more starts while a task of the job runs", n)
	}
}

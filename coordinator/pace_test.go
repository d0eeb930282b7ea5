package coordinator

import (
	"testing"
	"time"

	"bergamotstile/interference"
	"bergamotstile/jobs"
)

// Guards against slowing all tasks of an image alike when serving tasks leave only a part
// of what the tasks could use. Tasks of jobs that can be on time must run at full pace.
// Slowing all alike made most jobs late on days of full load: three of five processor
// seconds went to late jobs.
func TestSlowedImageGivesFullPaceToJobsThatCanBeOnTime(t *testing.T) {
	h, servingOrder := newInterferenceHarness(t)
	h.now = time.Minute
	late := jobs.New(secondID, testQueue, jobs.Spec{Steps: []jobs.Step{bestEffortStep(2, "render")}}, 0, 2)
	h.core.AddJob(late, false, 0)
	orders := startOrders(h.schedule())
	fresh := jobs.New("00000000000000c3", testQueue, jobs.Spec{Steps: []jobs.Step{bestEffortStep(2, "render")}}, h.now, 3)
	h.core.AddJob(fresh, false, 0)
	orders = append(orders, startOrders(h.schedule())...)
	if len(orders) != 4 {
		t.Fatalf("%d best-effort tasks started, want 4", len(orders))
	}
	for _, order := range orders {
		h.answer(order, Accepted, false)
	}
	h.reportTail(servingOrder, orders, 9)
	h.core.runners["a"].imagePaceOf(h.core.interference.model.Kind("render")).pace = 50
	h.core.allocatePaces(h.core.runners["a"])
	paces := map[jobs.ID][]int{}
	for run := range h.core.runners["a"].runs {
		paces[run.task.Job] = append(paces[run.task.Job], run.pace)
	}
	for _, p := range paces["00000000000000c3"] {
		if p != fullPace {
			t.Errorf("a task of the job that can be on time has pace %d", p)
		}
	}
	for _, p := range paces[secondID] {
		if p != minPace {
			t.Errorf("a task of the late job has pace %d", p)
		}
	}
}

// Guards against counting the processors of late jobs' best-effort tasks as taken when a
// task of a job that can be on time is placed: the late tasks are slowed in its favour.
func TestLateBestEffortTasksAreSlowedForJobsThatCanBeOnTime(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 8_000))
	h.now = time.Minute
	late := jobs.New(secondID, testQueue, jobs.Spec{Steps: []jobs.Step{bestEffortStep(2, "render")}}, 0, 2)
	h.core.AddJob(late, false, 0)
	lateOrders := startOrders(h.schedule())
	for _, order := range lateOrders {
		h.answer(order, Accepted, false)
	}
	fresh := jobs.New("00000000000000c3", testQueue, jobs.Spec{Steps: []jobs.Step{bestEffortStep(2, "index")}}, h.now, 3)
	h.core.AddJob(fresh, false, 0)
	freshOrders := startOrders(h.schedule())
	if len(lateOrders) != 2 || len(freshOrders) != 2 {
		t.Fatalf("%d and %d starts, want 2 each", len(lateOrders), len(freshOrders))
	}
	for _, order := range freshOrders {
		h.answer(order, Accepted, false)
	}
	for _, order := range lateOrders {
		if run := h.core.runners["a"].findRun(order.Task, order.Run); run.pace != minPace {
			t.Errorf("a task of the late job has pace %d", run.pace)
		}
	}
}

// Guards against slowing best-effort tasks as if a serving task's own load were at its usual
// level while it is low. In test runs of the scheduler, the own load was low in half of all
// readings, and only one in 500 readings was over the task's target.
func TestLowOwnLoadAllowsBestEffortTasksMore(t *testing.T) {
	h, servingOrder := newInterferenceHarness(t)
	r := h.core.runners["a"]
	render := h.core.interference.model.Kind("render")
	for range 60 {
		h.core.interference.model.Observe(interference.Measurement{Victim: h.core.interference.model.Kind("shop"), Slowdown: 1.2,
			Neighbours: []interference.Pressure{{Kind: render, Share: 0.125}}})
	}
	run := r.findRun(servingOrder.Task, servingOrder.Run)
	run.state, run.percent, run.load = stateRunning, fullPace, 9
	paceAtOwnLoad := func(ownLoad float64) float64 {
		run.ownLoad = ownLoadTracker{level: ownLoad, isKnown: true}
		r.bestEffortCPUMilliByImage[render] = 16_000
		paces := map[interference.Kind]float64{render: 1}
		h.core.limitPacesForTask(r, run, paces)
		return paces[render]
	}
	usual, low := paceAtOwnLoad(0), paceAtOwnLoad(-0.3)
	if usual > 0.8 || low < usual+0.2 {
		t.Errorf("pace %.2f at the usual load and %.2f at a low one", usual, low)
	}
	delete(r.bestEffortCPUMilliByImage, render)
	useAtOwnLoad := func(ownLoad float64) int64 {
		run.ownLoad, r.servingPressures = ownLoadTracker{level: ownLoad, isKnown: true}, nil
		use, _ := h.core.safeUseMilli(r, render, 16_000)
		return use
	}
	if usual, low := useAtOwnLoad(0), useAtOwnLoad(-0.3); low <= usual {
		t.Errorf("placement allows the use of %d at the usual load and %d at a low one", usual, low)
	}
}

// Guards against attributing too much degradation to a serving task's own load. What exceeds
// the bound of the own load must be attributed to the neighbours. In test runs of the
// scheduler, a third of all readings over the target were of tasks whose whole degradation
// was attributed to their own load.
func TestLargeDegradationIsAttributedToNeighbours(t *testing.T) {
	h, servingOrder := newInterferenceHarness(t)
	bestEffort := h.startJob(secondID, bestEffortStep(2, "render"))
	m := &h.core.interference
	shop, render := m.model.Kind("shop"), m.model.Kind("render")
	for range 60 { // so far the neighbours did not interfere
		m.model.Observe(interference.Measurement{Victim: shop, Slowdown: 1, Neighbours: []interference.Pressure{{Kind: render, Share: 0.25}}})
	}
	for range 60 {
		h.reportTail(servingOrder, bestEffort, 30) // a degradation of 0.7
	}
	const ownLoad = 0.4
	if pressure := m.pairPressure(shop, render) / 4; pressure < (0.7-ownLoad)/2 {
		t.Errorf("a pressure of %.2f is attributed to the neighbours, the rest of 0.7 to the task's own load", pressure)
	}
}

// Guards against a crash on a runner on which serving tasks and plain tasks (neither serving
// nor best-effort) leave no processors and an image has the minimum pace. In a test run of
// the scheduler, a division by zero among the free processors made the process panic.
func TestPacesOnARunnerWithoutFreeProcessors(t *testing.T) {
	h, _ := newInterferenceHarness(t)
	bestEffort := h.startJob(secondID, bestEffortStep(1, "render"))[0]
	r := h.core.runners["a"]
	r.imagePaceOf(h.core.interference.model.Kind("render")).pace = minPace
	r.plainCPUMilli = r.Capacity.CPUMilli
	h.core.allocatePaces(r)
	if run := r.findRun(bestEffort.Task, bestEffort.Run); run.pace != minPace {
		t.Errorf("pace %d with no processors left", run.pace)
	}
}

package coordinator

import (
	"testing"
	"time"

	"bergamotstile/interference"
	"bergamotstile/jobs"
)

// Guards against slowing all tasks of an image alike when serving tasks leave only a part
// of what the tasks could use. Tasks of jobs that go first must run at full pace. Slowing
// all alike made most jobs late on full days: three of five processor seconds went to late
// jobs.
func TestSlowedImageGivesFullPaceToJobsThatCanBeOnTime(t *testing.T) {
	w, servingOrder := newInterferenceWorld(t)
	w.now = time.Minute
	late := jobs.New(secondID, testQueue, jobs.Spec{Steps: []jobs.Step{bestEffortStep(2, "render")}}, 0, 2)
	w.core.Accept(late, false, 0)
	orders := startOrders(w.schedule())
	fresh := jobs.New("00000000000000c3", testQueue, jobs.Spec{Steps: []jobs.Step{bestEffortStep(2, "render")}}, w.now, 3)
	w.core.Accept(fresh, false, 0)
	orders = append(orders, startOrders(w.schedule())...)
	if len(orders) != 4 {
		t.Fatalf("%d best-effort tasks started, want 4", len(orders))
	}
	for _, o := range orders {
		w.answer(o, Accepted, false)
	}
	w.reportTail(servingOrder, orders, 9)
	w.core.runners["a"].imagePaceOf(w.core.interference.model.Kind("render")).pace = 50
	w.core.allocatePaces(w.core.runners["a"])
	paces := map[jobs.ID][]int{}
	for x := range w.core.runners["a"].runs {
		paces[x.task.Job] = append(paces[x.task.Job], x.pace)
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

// Guards against counting tasks that go later when a task is placed, since they are slowed
// for it.
func TestLateBestEffortTasksAreSlowedForJobsThatCanBeOnTime(t *testing.T) {
	w := newCoreHarness(t, testRunner("a", 8_000))
	w.now = time.Minute
	late := jobs.New(secondID, testQueue, jobs.Spec{Steps: []jobs.Step{bestEffortStep(2, "render")}}, 0, 2)
	w.core.Accept(late, false, 0)
	lateOrders := startOrders(w.schedule())
	for _, o := range lateOrders {
		w.answer(o, Accepted, false)
	}
	fresh := jobs.New("00000000000000c3", testQueue, jobs.Spec{Steps: []jobs.Step{bestEffortStep(2, "index")}}, w.now, 3)
	w.core.Accept(fresh, false, 0)
	freshOrders := startOrders(w.schedule())
	if len(lateOrders) != 2 || len(freshOrders) != 2 {
		t.Fatalf("%d and %d starts, want 2 each", len(lateOrders), len(freshOrders))
	}
	for _, o := range freshOrders {
		w.answer(o, Accepted, false)
	}
	for _, o := range lateOrders {
		if x := w.core.runners["a"].findRun(o.Task, o.Run); x.pace != minPace {
			t.Errorf("a task of the late job has pace %d", x.pace)
		}
	}
}

// Guards against slowing best-effort tasks as if a serving task's own load were at its usual
// level while it is low. In trial runs the own load was low in half of all readings, and
// only one in 500 readings was over its target.
func TestLowOwnLoadAllowsBestEffortTasksMore(t *testing.T) {
	w, servingOrder := newInterferenceWorld(t)
	r := w.core.runners["a"]
	render := w.core.interference.model.Kind("render")
	for range 60 {
		w.core.interference.model.Observe(interference.Measurement{Victim: w.core.interference.model.Kind("shop"), Slowdown: 1.2,
			Neighbours: []interference.Pressure{{Kind: render, Share: 0.125}}})
	}
	x := r.findRun(servingOrder.Task, servingOrder.Run)
	x.phase, x.percent, x.load, x.ownPressureMeasured = running, fullPace, 9, true
	paceAtOwnLoad := func(ownLoad float64) float64 {
		x.ownPressure = ownLoad
		r.bestEffortCPUMilliByImage[render] = 16_000
		paces := map[interference.Kind]float64{render: 1}
		w.core.limitPacesForTask(r, x, paces)
		return paces[render]
	}
	usual, low := paceAtOwnLoad(0), paceAtOwnLoad(-0.3)
	if usual > 0.8 || low < usual+0.2 {
		t.Errorf("pace %.2f at the usual load and %.2f at a low one", usual, low)
	}
	delete(r.bestEffortCPUMilliByImage, render)
	useAtOwnLoad := func(ownLoad float64) int64 {
		x.ownPressure, r.servingPressures = ownLoad, nil
		use, _ := w.core.safeUseMilli(r, render, 16_000)
		return use
	}
	if usual, low := useAtOwnLoad(0), useAtOwnLoad(-0.3); low <= usual {
		t.Errorf("placement allows the use of %d at the usual load and %d at a low one", usual, low)
	}
}

// Guards against attributing too much degradation to a serving task's own load. What exceeds
// the bound of the own load must be attributed to the neighbours. In trial runs a third of
// all readings over the target were of tasks whose whole degradation was attributed to their
// own load.
func TestLargeDegradationIsAttributedToNeighbours(t *testing.T) {
	w, servingOrder := newInterferenceWorld(t)
	bestEffort := w.startJob(secondID, bestEffortStep(2, "render"))
	m := &w.core.interference
	shop, render := m.model.Kind("shop"), m.model.Kind("render")
	for range 60 { // so far the neighbours did not interfere
		m.model.Observe(interference.Measurement{Victim: shop, Slowdown: 1, Neighbours: []interference.Pressure{{Kind: render, Share: 0.25}}})
	}
	for range 60 {
		w.reportTail(servingOrder, bestEffort, 30) // a degradation of 0.7
	}
	const ownLoad = 0.4
	if pressure := m.pairPressure(shop, render) / 4; pressure < (0.7-ownLoad)/2 {
		t.Errorf("a pressure of %.2f is attributed to the neighbours, the rest of 0.7 to the task's own load", pressure)
	}
}

// Guards against a crash on a runner on which serving and plain tasks leave no processors
// and an image has the least pace. In a trial run the division of the free processors ended
// the process.
func TestPacesOnARunnerWithoutFreeProcessors(t *testing.T) {
	w, _ := newInterferenceWorld(t)
	bestEffort := w.startJob(secondID, bestEffortStep(1, "render"))[0]
	r := w.core.runners["a"]
	r.imagePaceOf(w.core.interference.model.Kind("render")).pace = minPace
	r.plainCPUMilli = r.Capacity.CPUMilli
	w.core.allocatePaces(r)
	if x := r.findRun(bestEffort.Task, bestEffort.Run); x.pace != minPace {
		t.Errorf("pace %d with no processors left", x.pace)
	}
}

package coordinator

import (
	"testing"
	"time"

	"bergamotstile/interference"
	"bergamotstile/jobs"
)

// When serving tasks leave only a part of what an image's tasks could use, the
// tasks of jobs that go first must work at full pace. Slowing all alike made most
// jobs late on full days: three of five processor seconds went to late ones.
func TestSlowedImageServesTheFirstJobsFirst(t *testing.T) {
	w, victim := harmWorld(t)
	w.now = time.Minute
	late := jobs.New(secondID, testQueue, jobs.Spec{Steps: []jobs.Step{filling(2, "render")}}, 0, 2)
	w.core.Accept(late, false, 0)
	orders := startOrders(w.schedule())
	fresh := jobs.New("00000000000000c3", testQueue, jobs.Spec{Steps: []jobs.Step{filling(2, "render")}}, w.now, 3)
	w.core.Accept(fresh, false, 0)
	orders = append(orders, startOrders(w.schedule())...)
	if len(orders) != 4 {
		t.Fatalf("%d filling tasks started, want 4", len(orders))
	}
	for _, o := range orders {
		w.answer(o, Accepted, false)
	}
	w.tails(victim, orders, 9)
	w.core.runners["a"].fill(w.core.interference.model.Kind("render")).pace = 50
	w.core.orderPaces(w.core.runners["a"])
	pace := map[jobs.ID][]int{}
	for x := range w.core.runners["a"].runs {
		pace[x.task.Job] = append(pace[x.task.Job], x.pace)
	}
	for _, p := range pace["00000000000000c3"] {
		if p != fullPace {
			t.Errorf("a task of the job that can be on time has pace %d", p)
		}
	}
	for _, p := range pace[secondID] {
		if p != minPace {
			t.Errorf("a task of the late job has pace %d", p)
		}
	}
}

// A job that goes first must be placed as if those after it were not there: they
// are slowed for it.
func TestLateTasksMakeRoomForFirstOnes(t *testing.T) {
	w := newCoreHarness(t, testRunner("a", 8_000))
	w.now = time.Minute
	late := jobs.New(secondID, testQueue, jobs.Spec{Steps: []jobs.Step{filling(2, "render")}}, 0, 2)
	w.core.Accept(late, false, 0)
	slow := startOrders(w.schedule())
	for _, o := range slow {
		w.answer(o, Accepted, false)
	}
	fresh := jobs.New("00000000000000c3", testQueue, jobs.Spec{Steps: []jobs.Step{filling(2, "index")}}, w.now, 3)
	w.core.Accept(fresh, false, 0)
	first := startOrders(w.schedule())
	if len(slow) != 2 || len(first) != 2 {
		t.Fatalf("%d and %d starts, want 2 each", len(slow), len(first))
	}
	for _, o := range first {
		w.answer(o, Accepted, false)
	}
	for _, o := range slow {
		if x := w.core.runners["a"].findRun(o.Task, o.Run); x.pace != minPace {
			t.Errorf("a task of the late job has pace %d", x.pace)
		}
	}
}

// While a serving task's own load is low, filling tasks may use what it leaves:
// on played days half of all readings showed that, with one in 500 over its
// target, and the tasks beside were slowed as if the load were at its usual.
func TestLowOwnLoadLeavesMoreToFillingTasks(t *testing.T) {
	w, victim := harmWorld(t)
	r := w.core.runners["a"]
	render := w.core.interference.model.Kind("render")
	for range 60 {
		w.core.interference.model.Observe(interference.Measurement{Victim: w.core.interference.model.Kind("shop"), Slowdown: 1.2,
			Neighbours: []interference.Pressure{{Kind: render, Share: 0.125}}})
	}
	x := r.findRun(victim.Task, victim.Run)
	x.phase, x.percent, x.load, x.ownPressureMeasured = running, fullPace, 9, true
	allowed := func(own float64) float64 {
		x.ownPressure = own
		r.bestEffortCPUMilliByImage[render] = 16_000
		paces := map[interference.Kind]float64{render: 1}
		w.core.spare(r, x, paces)
		return paces[render]
	}
	usual, low := allowed(0), allowed(-0.3)
	if usual > 0.8 || low < usual+0.2 {
		t.Errorf("pace %.2f at the usual load and %.2f at a low one", usual, low)
	}
	delete(r.bestEffortCPUMilliByImage, render)
	own := func(own float64) int64 {
		x.ownPressure, r.servingPressures = own, nil
		use, _ := w.core.safeUse(r, render, 16_000)
		return use
	}
	if usual, low := own(0), own(-0.3); low <= usual {
		t.Errorf("placement finds room for %d at the usual load and %d at a low one", usual, low)
	}
}

// A serving task's own load can explain only so much. What is beyond must be laid
// to its neighbours: a third of all readings over the target were of tasks whose
// disturbance was taken for their own load.
func TestLargeDisturbanceIsLaidToNeighbours(t *testing.T) {
	w, victim := harmWorld(t)
	fills := w.startJob(secondID, filling(2, "render"))
	h := &w.core.interference
	shop, render := h.model.Kind("shop"), h.model.Kind("render")
	for range 60 { // so far they were harmless
		h.model.Observe(interference.Measurement{Victim: shop, Slowdown: 1, Neighbours: []interference.Pressure{{Kind: render, Share: 0.25}}})
	}
	for range 60 {
		w.tails(victim, fills, 30) // 0.7 of the way to an endless tail
	}
	const own = 0.4
	if pressure := h.between(shop, render) / 4; pressure < (0.7-own)/2 {
		t.Errorf("neighbours are taken to press by %.2f, the rest of 0.7 for the task's own load", pressure)
	}
}

// A runner whose serving and plain tasks leave nothing, with an image that is all
// but stopped: dividing what is left ended the process on a played day.
func TestPacesOnAFullRunner(t *testing.T) {
	w, _ := harmWorld(t)
	fill := w.startJob(secondID, filling(1, "render"))[0]
	r := w.core.runners["a"]
	r.fill(w.core.interference.model.Kind("render")).pace = minPace
	r.plainCPUMilli = r.Capacity.CPUMilli
	w.core.orderPaces(r)
	if x := r.findRun(fill.Task, fill.Run); x.pace != minPace {
		t.Errorf("pace %d with no processors left", x.pace)
	}
}

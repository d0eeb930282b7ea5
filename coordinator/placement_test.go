package coordinator

import (
	"testing"
	"time"

	"bergamotstile/interference"
	"bergamotstile/jobs"
)

// A runner must not be given more than it has, counting orders without answer.
func TestCapacityIsHeldFromTheOrder(t *testing.T) {
	w := newCoreHarness(t, testRunner("a", 4000))
	w.accept(firstID, false, plainStep(9, 1000))
	if n := len(startOrders(w.schedule())); n != 4 {
		t.Errorf("%d starts on 4 processors", n)
	}
	if n := len(startOrders(w.schedule())); n != 0 {
		t.Errorf("%d more starts while nothing has ended", n)
	}
}

// A task whose next failure ends its job goes to a runner that has done
// something lately: with some runners failing all they start, a second unproven
// one failed the job.
func TestLastAttemptGoesToAProvenRunner(t *testing.T) {
	w := newCoreHarness(t, testRunner("a", 8000), testRunner("b", 4000), testRunner("c", 2000))
	w.accept(firstID, false, plainStep(1, 1000))
	o := startOrders(w.schedule())[0]
	w.answer(o, Accepted, false)
	proven := map[string]string{"a": "c", "b": "c", "c": "b"}[o.Runner]
	other := jobs.New(secondID, testQueue, jobs.Spec{Steps: []jobs.Step{plainStep(1, 10)}}, 0, 1)
	w.core.Accept(other, false, 0)
	x := &taskRun{job: w.core.jobs[secondID], runner: w.core.runners[proven]}
	w.core.noteHealth(x, EndedDone, w.now)
	w.core.Cancel(secondID, w.now)
	w.report(Report{Runner: o.Runner, Incarnation: 1, Ended: []RunEnd{{Number: 1, Task: o.Task, Run: 1, Kind: EndedFailed}}})
	again := startOrders(w.schedule())
	if len(again) != 1 || again[0].Runner != proven {
		t.Errorf("orders %+v, want a start on %s", again, proven)
	}
}

// A queue whose policy allows only some runners must ask first, start only where
// it has a ticket that holds, and ask again when that has run out.
func TestAdvisedQueueStartsOnlyWithTickets(t *testing.T) {
	w := newCoreHarness(t, testRunner("a", 4000), testRunner("b", 4000))
	advisedQueue := testQueue
	advisedQueue.Advised = true
	w.core.Configure([]jobs.Queue{advisedQueue})
	w.accept(firstID, false, plainStep(2, 3000))
	if n := len(startOrders(w.schedule())); n != 0 {
		t.Fatalf("%d starts without advice", n)
	}
	requests := w.core.TakeRequests()
	if len(requests) != 1 || len(requests[0].Runners) != 2 {
		t.Fatalf("requests %+v, want one about both runners", requests)
	}
	if w.schedule(); len(w.core.TakeRequests()) != 0 {
		t.Error("asked again before the answer")
	}
	w.core.Advised(requests[0], Advice{Tickets: map[string]string{"b": "t1"}, Valid: time.Second}, nil, w.now)
	orders := startOrders(w.schedule())
	if len(orders) != 1 || orders[0].Runner != "b" || orders[0].Ticket != "t1" {
		t.Fatalf("orders %+v, want one on b with its ticket", orders)
	}
	w.answer(orders[0], RefusedTicket, false)
	if n := len(startOrders(w.schedule())); n != 0 {
		t.Error("started with a ticket that was refused")
	}
	if n := len(w.core.TakeRequests()); n != 1 {
		t.Errorf("%d requests after a refused ticket, want 1", n)
	}
}

// A runner that has no room, or takes no orders, must not be asked again with
// every round: each refused start is a call for nothing.
func TestRefusingRunnerIsLeftAloneForAWhile(t *testing.T) {
	for _, outcome := range []Outcome{RefusedNoCapacity, RefusedOther} {
		w := newCoreHarness(t, testRunner("a", 4000))
		w.accept(firstID, false, plainStep(1, 1000))
		w.answer(startOrders(w.schedule())[0], outcome, false)
		if n := len(startOrders(w.schedule())); n != 0 {
			t.Errorf("%v: started again at once", outcome)
		}
		w.now += 2 * time.Second
		if n := len(startOrders(w.schedule())); n != 1 {
			t.Errorf("%v: %d starts after a pause, want 1", outcome, n)
		}
	}
}

// Each serving image closes a runner to the filling images that harm it. On a
// played day 800 idle processors were closed to 500 waiting tasks, since single
// serving tasks and plain work were put on runners that had been open.
func TestServingTasksKeepRunnersOpen(t *testing.T) {
	place := func(w *coreHarness, id jobs.ID, s jobs.Step) string {
		w.accept(id, false, s)
		o := startOrders(w.schedule())[0]
		w.answer(o, Accepted, false)
		return o.Runner
	}
	w := newCoreHarness(t, testRunner("a", 32_000))
	place(w, "00000000000000a1", serving("shop"))
	w.core.UpdateRunner(testRunner("b", 32_000), w.now)
	w.report(Report{Runner: "b", Incarnation: 1})
	apart := serving("search")
	apart.MaxPerRunner = 1
	if got := place(w, "00000000000000a2", apart); got != "b" {
		t.Fatalf("a second image went to %s, want the empty runner", got)
	}
	w.core.runners["a"].Draining = true
	place(w, "00000000000000a3", serving("map"))
	w.core.runners["a"].Draining = false
	if got := place(w, "00000000000000a4", serving("mail")); got != "b" {
		t.Errorf("a fourth image closed runner %s, want b, which two images had closed", got)
	}
	if got := place(w, "00000000000000a5", plainStep(1, 4000)); got != "b" {
		t.Errorf("plain work took room on %s that filling tasks can use", got)
	}
	if got := place(w, "00000000000000a6", serving("shop")); got != "a" {
		t.Errorf("an image went to %s, want the runner that it has for itself", got)
	}
}

// When images have to share a runner, those go together that tolerate the same
// neighbours.
func TestServingImagesThatTolerateTheSameShareARunner(t *testing.T) {
	h := newHarm()
	kind := h.model.Kind
	for filling, slowdown := range map[string][3]float64{"render": {1, 1, 2.5}, "index": {1, 1, 2.5}, "train": {2.5, 2.5, 1}} {
		h.fills[kind(filling)] = struct{}{}
		for i, image := range []string{"shop", "search", "mail"} {
			for range 40 {
				h.model.Observe(interference.Measurement{Victim: kind(image), Slowdown: slowdown[i],
					Neighbours: []interference.Pressure{{Kind: kind(filling), Share: 0.4}}})
			}
		}
	}
	alike := h.openTo([]interference.Kind{kind("shop"), kind("search")})
	unlike := h.openTo([]interference.Kind{kind("shop"), kind("mail")})
	if alike < 0.9 || unlike > 0.3 {
		t.Errorf("a runner is open by %.2f to two images alike and by %.2f to two that differ", alike, unlike)
	}
}

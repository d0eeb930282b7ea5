package coordinator

import (
	"testing"
	"time"

	"bergamotstile/interference"
	"bergamotstile/jobs"
)

// Guards against a runner that is given more tasks than its capacity allows: starts that
// have not been answered count too.
func TestCapacityIsHeldOnceAStartIsOrdered(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000))
	h.addJob(firstID, false, plainStep(9, 1000))
	if n := len(startOrders(h.schedule())); n != 4 {
		t.Errorf("%d starts on 4 processors", n)
	}
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Errorf("%d more starts while nothing has ended", n)
	}
}

// Guards against a job that fails because its last attempt is made on a faulty runner. With
// some runners failing all that they start, a second runner without a recent success failed
// the job, so the last attempt must go to a proven runner.
func TestLastAttemptGoesToAProvenRunner(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 8000), testRunner("b", 4000), testRunner("c", 2000))
	h.addJob(firstID, false, plainStep(1, 1000))
	order := startOrders(h.schedule())[0]
	h.answer(order, Accepted, false)
	proven := map[string]string{"a": "c", "b": "c", "c": "b"}[order.Runner]
	other := jobs.New(secondID, testQueue, jobs.Spec{Steps: []jobs.Step{plainStep(1, 10)}}, 0, 1)
	h.core.AddJob(other, false, 0)
	run := &taskRun{job: h.core.jobs[secondID], runner: h.core.runners[proven]}
	h.core.updateHealth(run, EndedDone, h.now)
	h.core.Cancel(secondID, h.now)
	h.report(Report{Runner: order.Runner, Incarnation: 1, Ended: []RunResult{{Number: 1, Task: order.Task, Run: 1, Kind: EndedFailed}}})
	restarts := startOrders(h.schedule())
	if len(restarts) != 1 || restarts[0].Runner != proven {
		t.Errorf("orders %+v, want a start on %s", restarts, proven)
	}
}

// Guards against starts without a valid ticket of tasks of a queue that requires one for each
// start. The core must request advice for such a queue first, start its tasks only on runners
// for which it has a valid ticket, and request advice again after a ticket was refused.
func TestQueueThatRequiresTicketsStartsTasksOnlyWithThem(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000), testRunner("b", 4000))
	ticketQueue := testQueue
	ticketQueue.RequiresTicket = true
	h.core.Configure([]jobs.Queue{ticketQueue})
	h.addJob(firstID, false, plainStep(2, 3000))
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Fatalf("%d starts without advice", n)
	}
	requests := h.core.TakeAdviceRequests()
	if len(requests) != 1 || len(requests[0].Runners) != 2 {
		t.Fatalf("requests %+v, want one about both runners", requests)
	}
	if h.schedule(); len(h.core.TakeAdviceRequests()) != 0 {
		t.Error("advice requested again before the answer")
	}
	h.core.ApplyAdvice(requests[0], Advice{Tickets: map[string]string{"b": "t1"}, Valid: time.Second}, nil, h.now)
	orders := startOrders(h.schedule())
	if len(orders) != 1 || orders[0].Runner != "b" || orders[0].Ticket != "t1" {
		t.Fatalf("orders %+v, want one on b with its ticket", orders)
	}
	h.answer(orders[0], RefusedTicket, false)
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Error("started with a ticket that was refused")
	}
	if n := len(h.core.TakeAdviceRequests()); n != 1 {
		t.Errorf("%d requests after a refused ticket, want 1", n)
	}
}

// Guards against ordering the start of a task again in every round on a runner that refused it
// for lack of free capacity or with RefusedOther, which stands for all reasons without an
// outcome of their own: each refused start is a wasted order.
func TestRunnerThatRefusedAStartIsAvoidedForAWhile(t *testing.T) {
	for _, outcome := range []Outcome{RefusedNoCapacity, RefusedOther} {
		h := newCoreHarness(t, testRunner("a", 4000))
		h.addJob(firstID, false, plainStep(1, 1000))
		h.answer(startOrders(h.schedule())[0], outcome, false)
		if n := len(startOrders(h.schedule())); n != 0 {
			t.Errorf("%v: start ordered again at once", outcome)
		}
		h.now += 2 * time.Second
		if n := len(startOrders(h.schedule())); n != 1 {
			t.Errorf("%v: %d starts after a pause, want 1", outcome, n)
		}
	}
}

// Guards against spreading serving tasks and plain tasks (neither serving nor best-effort)
// over runners that best-effort tasks can use, since each serving image makes a runner
// unusable for the images that interfere with it. In a test run of the scheduler, 500 waiting
// tasks could not use 800 idle processors, since single serving tasks and plain tasks had
// been placed on runners that were usable before.
func TestServingTasksKeepRunnersUsableForBestEffortTasks(t *testing.T) {
	place := func(h *coreHarness, id jobs.ID, step jobs.Step) string {
		h.addJob(id, false, step)
		order := startOrders(h.schedule())[0]
		h.answer(order, Accepted, false)
		return order.Runner
	}
	h := newCoreHarness(t, testRunner("a", 32_000))
	place(h, "00000000000000a1", servingStep("shop"))
	h.core.UpdateRunner(testRunner("b", 32_000), h.now)
	h.report(Report{Runner: "b", Incarnation: 1})
	spread := servingStep("search")
	spread.MaxPerRunner = 1
	if got := place(h, "00000000000000a2", spread); got != "b" {
		t.Fatalf("a second image went to %s, want the empty runner", got)
	}
	h.core.runners["a"].Draining = true
	place(h, "00000000000000a3", servingStep("map"))
	h.core.runners["a"].Draining = false
	if got := place(h, "00000000000000a4", servingStep("mail")); got != "b" {
		t.Errorf("a fourth image went to runner %s, want b, on which two images run", got)
	}
	if got := place(h, "00000000000000a5", plainStep(1, 4000)); got != "b" {
		t.Errorf("plain work took capacity on %s that best-effort tasks can use", got)
	}
	if got := place(h, "00000000000000a6", servingStep("shop")); got != "a" {
		t.Errorf("an image went to %s, want the runner on which only this image runs", got)
	}
}

// Guards against placing serving images that tolerate different neighbours together. If
// images have to share a runner, those should that tolerate the same neighbours.
func TestServingImagesThatTolerateTheSameNeighboursShareARunner(t *testing.T) {
	m := newInterferenceModel()
	kind := m.model.Kind
	for bestEffort, slowdown := range map[string][3]float64{"render": {1, 1, 2.5}, "index": {1, 1, 2.5}, "train": {2.5, 2.5, 1}} {
		m.bestEffortKinds[kind(bestEffort)] = struct{}{}
		for i, image := range []string{"shop", "search", "mail"} {
			for range 40 {
				m.model.Observe(interference.Measurement{Victim: kind(image), Slowdown: slowdown[i],
					Neighbours: []interference.Pressure{{Kind: kind(bestEffort), Share: 0.4}}})
			}
		}
	}
	alike := m.usableShare([]interference.Kind{kind("shop"), kind("search")})
	unlike := m.usableShare([]interference.Kind{kind("shop"), kind("mail")})
	if alike < 0.9 || unlike > 0.3 {
		t.Errorf("the usable share is %.2f beside two similar images and %.2f beside two that differ", alike, unlike)
	}
}

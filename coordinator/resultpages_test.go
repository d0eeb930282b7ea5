package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bergamotstile/jobs"
)

// Guards against tasks that run again although they are done: a report lists 500 results at
// most, and a run whose result comes after these is neither in the list of runs nor in that of
// results (review case 1: up to 1,352 repeated runs after 4.5 s without the store).
func TestRunMissingFromAnIncompleteReportIsNotLost(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 10_000), testRunner("b", 0))
	tasks := startTasksOnOneRunner(t, h, 5)
	h.report(Report{Runner: "a", Incarnation: 1, Ended: doneResults(1, tasks[:2]...), Incomplete: true})
	h.report(Report{Runner: "a", Incarnation: 1, Ended: doneResults(1, tasks[:2]...), Incomplete: true})
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Fatalf("%d tasks started again whose results were not listed yet", n)
	}
	h.report(Report{Runner: "a", Incarnation: 1, Ended: doneResults(3, tasks[2:4]...), Incomplete: true})
	h.report(Report{Runner: "a", Incarnation: 1, Ended: doneResults(5, tasks[4])})
	if state := h.stateOf(firstID); state != jobs.Completed {
		t.Errorf("state %v after the last page, want completed", state)
	}
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Errorf("%d starts after all tasks were done", n)
	}
}

// Guards against two mistakes about runs that change between the pages of one list: a run that
// ends between two pages and is listed with a later one only, and a start that is confirmed
// after the poll for the last page was sent. Neither run is lost.
func TestRunsThatChangeBetweenPagesAreNotLost(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 10_000))
	tasks := startTasksOnOneRunner(t, h, 3)
	running := []RunStatus{{Task: tasks[2], Run: 1}}
	h.report(Report{Runner: "a", Incarnation: 1, Ended: doneResults(1, tasks[0]), Running: running, Incomplete: true})
	// The run of the third task ends. Its result has a higher number than those of the next page.
	h.report(Report{Runner: "a", Incarnation: 1, Ended: doneResults(2, tasks[1]), Incomplete: true})
	pollSent := h.now
	h.addJob(secondID, false, plainStep(1, 1000))
	orders := startOrders(h.schedule())
	if len(orders) != 1 || orders[0].Task.Job != secondID {
		t.Fatalf("orders %+v, want only the new task", orders)
	}
	h.answer(orders[0], Accepted, false)
	h.report(Report{Runner: "a", Incarnation: 1, Sent: pollSent, Ended: doneResults(3, tasks[2])})
	if got := startOrders(h.schedule()); len(got) != 0 {
		t.Errorf("orders %+v, want none", got)
	}
	if state := h.stateOf(firstID); state != jobs.Completed {
		t.Errorf("state %v, want completed", state)
	}
}

// Guards against tasks that wait for good: a run that the last page does not list either, and
// that was confirmed before the poll for that page was sent, no longer exists.
func TestRunMissingFromTheLastPageIsLost(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 10_000))
	tasks := startTasksOnOneRunner(t, h, 3)
	h.report(Report{Runner: "a", Incarnation: 1, Ended: doneResults(1, tasks[0]), Incomplete: true})
	h.report(Report{Runner: "a", Incarnation: 1, Ended: doneResults(2, tasks[1])})
	if orders := startOrders(h.schedule()); len(orders) != 1 || orders[0].Task != tasks[2] || orders[0].Run != 2 {
		t.Errorf("orders %+v, want a new run of the task without a result", orders)
	}
}

// Guards against tasks that a successor starts again although they are done: their results come
// after the first 500 in the list of a runner that answers. It makes no difference that the
// predecessor's leases have expired meanwhile, as the runner still lists its results.
func TestSuccessorWaitsForACompleteList(t *testing.T) {
	h := newCoreHarness(t)
	h.core.SetInheritedRunners([]InheritedRunner{{ID: "a", ExpiredAt: h.now + time.Minute}}, h.now+time.Minute)
	j := h.addJob(firstID, true, plainStep(3, 1000))
	h.core.UpdateRunner(testRunner("a", 10_000), h.now)
	h.core.UpdateRunner(testRunner("b", 10_000), h.now)
	h.report(Report{Runner: "b", Incarnation: 1})
	h.report(Report{Runner: "a", Incarnation: 1, Ended: doneResults(1, taskID(firstID, 0, 0)), Incomplete: true})
	if !h.core.haveMostAnswered() {
		t.Error("a runner with an incomplete list does not count as answering")
	}
	h.now += 2 * time.Minute
	h.core.ResolveExpiredRunners(h.now, hasReported(h.core))
	h.core.CheckRuns(h.now)
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Fatalf("%d starts before the list was complete", n)
	}
	h.report(Report{Runner: "a", Incarnation: 1, Ended: doneResults(2, taskID(firstID, 0, 1))})
	orders := startOrders(h.schedule())
	if len(orders) != 1 || orders[0].Task.Index != 2 || j.State.IsTerminal() {
		t.Errorf("orders %+v, want only the task without a result", orders)
	}
}

// Guards against tasks that wait for good for the rest of a list: the runner falls silent before
// its list is complete, and is no longer registered. Once its leases have expired its tasks start
// elsewhere, and not before.
func TestRunnerLostBeforeItsListIsCompleteIsGivenUp(t *testing.T) {
	h := newCoreHarness(t)
	h.core.SetInheritedRunners([]InheritedRunner{{ID: "a", ExpiredAt: h.now + time.Second}}, h.now+time.Second)
	h.addJob(firstID, true, plainStep(2, 1000))
	h.core.UpdateRunner(testRunner("a", 10_000), h.now)
	h.core.UpdateRunner(testRunner("b", 10_000), h.now)
	h.report(Report{Runner: "b", Incarnation: 1})
	h.report(Report{Runner: "a", Incarnation: 1, Ended: doneResults(1, taskID(firstID, 0, 0)), Incomplete: true})
	h.core.MarkRunnerSilent("a")
	h.core.MarkRunnerUnregistered("a", h.now)
	h.now += 2*reregisterTime + time.Second
	h.core.CheckRuns(h.now)
	h.core.ResolveExpiredRunners(h.now, hasReported(h.core))
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Fatalf("%d starts before the leases on the silent runner expired", n)
	}
	h.core.ExpireRunnerLeases("a", h.now)
	if orders := startOrders(h.schedule()); len(orders) != 1 || orders[0].Task.Index != 1 {
		t.Errorf("orders %+v, want the task without a result", orders)
	}
}

// Guards against a runner that stays in the roster for good, so that each successor waits for it:
// its list was incomplete when its leases expired or its machine went down, and its registry
// entry disappears after that.
func TestLostRunnerWithAnIncompleteListIsRemoved(t *testing.T) {
	h := newCoreHarness(t, testRunner("expired", 1000), testRunner("maintained", 1000))
	for _, id := range []string{"expired", "maintained"} {
		h.report(Report{Runner: id, Incarnation: 1, Incomplete: true})
		h.core.MarkRunnerSilent(id)
	}
	h.core.ExpireRunnerLeases("expired", h.now)
	h.core.MarkRunnerEndedByMaintenance("maintained", h.now)
	for _, id := range []string{"expired", "maintained"} {
		h.core.MarkRunnerUnregistered(id, h.now)
	}
	h.now += reregisterTime + time.Second
	h.core.CheckRuns(h.now)
	if roster := h.core.Roster(); len(roster) != 0 {
		t.Errorf("roster %v, want no runner", roster)
	}
}

// Guards against maintenance that ends a runner whose further results are not known: they would
// be lost, and tasks that are done would run again.
func TestLoadOfARunnerWithAnIncompleteListIsNotKnown(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 10_000))
	h.core.MarkFinished(firstID)
	h.report(Report{Runner: "a", Incarnation: 1, Ended: doneResults(1, taskID(firstID, 0, 0)), Incomplete: true})
	if h.core.RunnerLoad("a").Known {
		t.Error("the load counts as known although results are missing")
	}
	h.report(Report{Runner: "a", Incarnation: 1})
	if !h.core.RunnerLoad("a").Known {
		t.Error("the load does not count as known after the last page")
	}
}

// pagingRunner is a runner that answers each poll with a page of one result, the second of which
// is the last. It records for how long each poll asked it to wait.
type pagingRunner struct {
	acceptingRunners
	polls atomic.Int32
	waits chan time.Duration
}

func (r *pagingRunner) Poll(_ context.Context, request PollRequest) (PollResponse, error) {
	number := int(r.polls.Add(1))
	r.waits <- request.Wait
	report := Report{Runner: request.Runner, Incarnation: 1, Ended: doneResults(number, taskID(firstID, 0, number)), Incomplete: number < 2}
	return PollResponse{Clock: time.Hour, Report: report}, nil
}

// Guards against a runner that gets no tasks for as long as a long poll takes: the poll for the
// next page must not wait for a result, as there may be none.
func TestPollForTheNextPageDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLoopHarness(t)
		runners := &pagingRunner{waits: make(chan time.Duration, 16)}
		h.coordinator.env.Runners = runners
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		h.link.recordAnswer(1, time.Hour, h.clock.now(), h.clock.now(), h.link.token())
		go h.link.pollLoop(ctx)
		for i, wantWait := range []bool{true, false, true} {
			if wait := <-runners.waits; wait > 0 != wantWait {
				t.Errorf("poll %d waits for %v", i, wait)
			}
			h.coordinator.applyEvent(<-h.coordinator.events)
			h.link.setAcknowledged(Acknowledgement{Incarnation: 1, Number: i + 1})
		}
		cancel()
		synctest.Wait()
	})
}

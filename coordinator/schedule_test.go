package coordinator

import (
	"testing"
	"time"

	"bergamotstile/jobs"
)

// Guards against starting a step before all the steps that it depends on are done.
func TestStepsStartInOrder(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000))
	j := h.addJob(firstID, false, plainStep(2, 1000), plainStep(1, 1000, 0))
	first := startOrders(h.schedule())
	if len(first) != 2 {
		t.Fatalf("%d starts, want the two tasks of the first step", len(first))
	}
	for i, order := range first {
		h.answer(order, Accepted, false)
		h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{{Number: i + 1, Task: order.Task, Run: 1, Kind: EndedDone}}, Running: remainingRuns(first, i)})
		if n := len(startOrders(h.schedule())); n != i {
			t.Fatalf("%d tasks done, %d starts", i+1, n)
		}
	}
	h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{{Number: 3, Task: taskID(firstID, 1, 0), Run: 1, Kind: EndedDone}}})
	if j.State != jobs.Completed {
		t.Errorf("state %v, want completed", j.State)
	}
}

// remainingRuns lists the runs that were ordered after order n.
func remainingRuns(orders []Order, n int) []RunStatus {
	var statuses []RunStatus
	for _, order := range orders[n+1:] {
		statuses = append(statuses, RunStatus{Task: order.Task, Run: order.Run})
	}
	return statuses
}

// Guards against a gang that starts in part. It needs capacity for all of its tasks, starts
// them with the same run number, and is done when one of them is done.
func TestGangStartsTogetherAndEndsTogether(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 2000), testRunner("b", 1000))
	gang := plainStep(4, 1000)
	gang.Gang = true
	j := h.addJob(firstID, false, gang)
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Fatalf("%d members started without capacity for all", n)
	}
	h.core.UpdateRunner(testRunner("c", 1000), h.now)
	h.report(Report{Runner: "c", Incarnation: 1})
	orders := startOrders(h.schedule())
	if len(orders) != 4 {
		t.Fatalf("%d members started, want 4", len(orders))
	}
	h.report(Report{Runner: orders[0].Runner, Incarnation: 1, Ended: []RunResult{{Number: 1, Task: orders[0].Task, Run: 1, Kind: EndedDone}}})
	if j.State != jobs.Completed {
		t.Errorf("state %v after the end of a member", j.State)
	}
}

// Guards against new long-running work that takes the capacity which plain tasks (neither
// serving nor best-effort) use from time to time. On days of full load, plain tasks waited
// behind it for seconds.
func TestNewLongRunningWorkLeavesCapacityForPlainWork(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 10_000))
	h.addJob(firstID, false, plainStep(4, 2000))
	for i, order := range startOrders(h.schedule()) {
		h.answer(order, Accepted, false)
		h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{{Number: i + 1, Task: order.Task, Run: 1, Kind: EndedDone}}, Running: nil})
	}
	longRunning := plainStep(1, 8000)
	longRunning.LongRunning = true
	h.addJob(secondID, false, longRunning)
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Error("long-running work took the capacity that plain work used a moment ago")
	}
	h.now += time.Minute
	if n := len(startOrders(h.schedule())); n != 1 {
		t.Errorf("%d starts after a minute without plain work, want 1", n)
	}
}

// Guards against serving late work before work that can still meet its objective.
func TestOnTimeWorkGoesFirst(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 1000))
	h.now = time.Minute
	late := jobs.New(firstID, testQueue, jobs.Spec{Steps: []jobs.Step{plainStep(1, 1000)}}, 0, 1)
	h.core.AddJob(late, false, 0)
	fresh := jobs.New(secondID, testQueue, jobs.Spec{Steps: []jobs.Step{plainStep(1, 1000)}}, h.now, 2)
	h.core.AddJob(fresh, false, 0)
	h.report(Report{Runner: "a", Incarnation: 1})
	orders := startOrders(h.schedule())
	if len(orders) != 1 || orders[0].Task.Job != secondID {
		t.Errorf("orders %v, want the job that can be on time", orders)
	}
}

// Guards against a job that never runs because its queue was removed after the job was
// accepted, also under a successor that has never seen the queue.
func TestJobOfARemovedQueueRuns(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 1000))
	h.core.Configure([]jobs.Queue{{Name: "another", Service: testService}})
	h.addJob(firstID, false, plainStep(1, 1000))
	if n := len(startOrders(h.schedule())); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
}

// Guards against an occurrence that starts before it is due, and against a job that is not
// completed after its last occurrence.
func TestOccurrencesStartWhenDue(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000))
	spec := jobs.Spec{Steps: []jobs.Step{plainStep(1, 1000)}, Repeats: 2, FirstDue: time.Hour, Interval: time.Minute}
	j := jobs.New(firstID, testQueue, spec, 0, 1)
	h.core.AddJob(j, false, time.Hour-time.Second)
	for i, due := range []time.Duration{time.Hour, time.Hour + time.Minute} {
		h.core.Schedule(h.now, due-time.Second)
		if n := len(startOrders(h.core.TakeOrders())); n != 0 {
			t.Fatalf("occurrence %d started before its time", i)
		}
		h.core.Schedule(h.now, due)
		orders := startOrders(h.core.TakeOrders())
		if len(orders) != 1 || orders[0].Task.Occurrence != i {
			t.Fatalf("orders %+v, want occurrence %d", orders, i)
		}
		h.answer(orders[0], Accepted, false)
		h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{{Number: i + 1, Task: orders[0].Task, Run: 1, Kind: EndedDone}}})
	}
	if j.State != jobs.Completed {
		t.Errorf("state %v, want completed", j.State)
	}
}

// Guards against comparing waiting work with runners that have not changed, and against not
// comparing it with all of them again soon. With 490 runners, comparing all of them in every
// round left the coordinator no time to stop the tasks of cancelled jobs.
func TestWaitingWorkIsComparedOnlyWithChangedRunners(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 1000), testRunner("b", 1000))
	h.addJob(firstID, false, plainStep(3, 1000))
	first := startOrders(h.schedule())
	if len(first) != 2 {
		t.Fatalf("%d starts, want 2", len(first))
	}
	waiting := h.core.jobs[firstID].openSteps[[2]int{0, 0}]
	if since := h.core.failedSearches.scanSince(waiting, h.now); since == 0 || h.core.pickRunner(waiting, h.now, nil, since) != nil {
		t.Error("runners that have not changed are compared again")
	}
	h.answer(first[0], Accepted, false)
	h.report(Report{Runner: first[0].Runner, Incarnation: 1, Ended: []RunResult{{Number: 1, Task: first[0].Task, Run: 1, Kind: EndedDone}}})
	if n := len(startOrders(h.schedule())); n != 1 {
		t.Errorf("%d starts once a runner has free capacity, want 1", n)
	}
	h.addJob(secondID, false, plainStep(1, 1000))
	h.schedule()
	waiting = h.core.jobs[secondID].openSteps[[2]int{0, 0}]
	if since := h.core.failedSearches.scanSince(waiting, h.now+fullScanInterval); since != 0 {
		t.Error("not all runners are compared again after fullScanInterval")
	}
}

// Guards against new long-running work that takes the last capacity while tasks of other
// long-running jobs are about to lose their runner, or wait after they have lost it (hunt,
// runner-lost-with-coordinator seed 990052579520: 34 tasks of new jobs were started while 292
// tasks were on runners that had gone silent, and 100 of these waited for up to 10 s).
func TestNewLongRunningWorkLeavesCapacityForDisplacedTasks(t *testing.T) {
	h := newCoreHarness(t, testRunner("lost", 6000))
	long := plainStep(1, 6000)
	long.LongRunning = true
	h.startJob(firstID, long)
	h.core.UpdateRunner(testRunner("other", 8000), h.now)
	h.report(Report{Runner: "other", Incarnation: 1})
	h.core.MarkRunnerSilent("lost")
	added := plainStep(1, 4000)
	added.LongRunning = true
	h.addJob(secondID, false, added)
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Fatal("new work takes the capacity that the tasks of a silent runner may need")
	}
	h.core.ExpireRunnerLeases("lost", h.now)
	orders := startOrders(h.schedule())
	if len(orders) != 1 || orders[0].Task.Job != firstID {
		t.Fatalf("orders %+v, want the displaced task", orders)
	}
	h.answer(orders[0], Accepted, false)
	h.core.UpdateRunner(testRunner("third", 8000), h.now)
	h.report(Report{Runner: "third", Incarnation: 1})
	if n := len(startOrders(h.schedule())); n != 1 {
		t.Errorf("%d starts of new work once no task is displaced, want 1", n)
	}
}

// Guards against a job that no task is started of because a runner which has gone silent listed an
// unexpected run of it. No run is left there once every lease has expired.
func TestUnexpectedRunBlocksItsJobUntilTheLeasesExpire(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000), testRunner("b", 4000))
	order := h.startJob(firstID, plainStep(1, 1000))[0]
	other := map[string]string{"a": "b", "b": "a"}[order.Runner]
	h.report(Report{Runner: other, Incarnation: 1, Running: []RunStatus{{Task: order.Task, Run: order.Run + 1}}})
	h.core.MarkRunnerSilent(other)
	h.report(Report{Runner: order.Runner, Incarnation: 1, Ended: []RunResult{{Number: 1, Task: order.Task, Run: order.Run, Kind: EndedStopped}}})
	if _, started := h.waitForStart(firstID, time.Second); started {
		t.Fatal("a task is started while an unknown run of its job may exist")
	}
	h.core.ExpireRunnerLeases(other, h.now)
	if waited, started := h.waitForStart(firstID, time.Second); !started {
		t.Errorf("no task is started for %v after every lease on the silent runner has expired", waited)
	}
}

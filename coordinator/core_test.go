package coordinator

import (
	"fmt"
	"testing"
	"time"

	"bergamotstile/jobs"
)

// Guards against tasks that are started on a runner with an unknown run, which holds an
// unknown part of the capacity until it has ended. After a takeover the coordinator found
// runs of cancelled jobs and used their capacity for other tasks.
func TestNoTaskStartsOnARunnerWithAnUnknownRun(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000))
	h.core.MarkFinished(secondID)
	unknownRun := RunStatus{Task: taskID(secondID, 0, 0), Run: 1}
	h.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{unknownRun}})
	h.addJob(firstID, false, plainStep(1, 1000))
	orders := h.schedule()
	if n := len(startOrders(orders)); n != 0 {
		t.Errorf("%d starts on a runner with a run that still has to stop", n)
	}
	if n := len(ordersOfKind(orders, Stop)); n != 1 {
		t.Errorf("%d stops, want one for the unknown run", n)
	}
	h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{{Number: 1, Task: unknownRun.Task, Run: 1, Kind: EndedStopped}}})
	if n := len(startOrders(h.schedule())); n != 1 {
		t.Errorf("%d starts after the unknown run has ended, want 1", n)
	}
}

// Guards against a second run of a task: tasks of an inherited job may be running on a
// runner that has not answered. They must wait until it answers or the leases there
// have expired.
func TestInheritedTasksWaitForUnresolvedRunners(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000))
	h.core.SetInheritedRunners([]InheritedRunner{{ID: "unseen", ExpiredAt: h.now + 10*time.Second}}, h.now+10*time.Second)
	h.addJob(firstID, true, plainStep(1, 1000))
	h.addJob(secondID, false, plainStep(1, 1000))
	orders := startOrders(h.schedule())
	if len(orders) != 1 || orders[0].Task.Job != secondID {
		t.Fatalf("orders %v, want only the job accepted after the takeover", orders)
	}
	h.core.ResolveExpiredRunners(h.now, hasReported(h.core))
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Errorf("%d starts before the leases expired", n)
	}
	h.now += 11 * time.Second
	h.core.ResolveExpiredRunners(h.now, hasReported(h.core))
	if n := len(startOrders(h.schedule())); n != 1 {
		t.Errorf("%d starts after the leases expired", n)
	}
}

// Guards against a failed run that counts twice: a runner includes its result in the next
// report again if the acknowledgement was lost.
func TestFailureListedAgainCountsOnce(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000), testRunner("b", 4000))
	j := h.addJob(firstID, false, plainStep(1, 1000))
	order := startOrders(h.schedule())[0]
	h.answer(order, Accepted, false)
	result := RunResult{Number: 1, Task: order.Task, Run: 1, Kind: EndedFailed}
	h.report(Report{Runner: order.Runner, Incarnation: 1, Ended: []RunResult{result}})
	h.report(Report{Runner: order.Runner, Incarnation: 1, Ended: []RunResult{result}})
	h.report(Report{Runner: order.Runner, Incarnation: 2, Ended: []RunResult{result}})
	if j.State.IsTerminal() {
		t.Errorf("state %v after one failure of two", j.State)
	}
	order = startOrders(h.schedule())[0]
	h.answer(order, Accepted, false)
	h.report(Report{Runner: order.Runner, Incarnation: 2, Ended: []RunResult{{Number: 2, Task: order.Task, Run: 2, Kind: EndedFailed}}})
	if j.State != jobs.Failed {
		t.Errorf("state %v after two failures", j.State)
	}
}

// Guards against two runs of a task: a runner may carry out a start later although it
// did not answer. The task must not be started again before the runner has confirmed
// a stop and a later report does not list the run.
func TestTaskWithUnansweredStartIsStoppedBeforeItStartsElsewhere(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000), testRunner("b", 4000))
	h.addJob(firstID, false, plainStep(1, 1000))
	order := startOrders(h.schedule())[0]
	h.answer(order, RefusedOther, true)
	stops := ordersOfKind(h.schedule(), Stop)
	if len(stops) != 1 {
		t.Fatalf("%d stops, want one", len(stops))
	}
	h.report(Report{Runner: order.Runner, Incarnation: 1})
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Fatal("started again before the stop was confirmed")
	}
	h.answer(stops[0], Accepted, false)
	h.report(Report{Runner: order.Runner, Incarnation: 1})
	restarts := startOrders(h.schedule())
	if len(restarts) != 1 || restarts[0].Run != 2 {
		t.Errorf("orders %v, want run 2", restarts)
	}
}

// Guards against a task that runs twice: a runner that refuses a repeated start because the
// run number was used has already run the task and reports the result.
func TestRunEndedAfterLostAnswerIsNotStartedAgain(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000))
	j := h.addJob(firstID, false, plainStep(1, 1000))
	order := startOrders(h.schedule())[0]
	h.answer(order, RefusedUsedRun, true)
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Fatal("started again although the run has ended on the runner")
	}
	h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{{Number: 1, Task: order.Task, Run: 1, Kind: EndedDone}}})
	if j.State != jobs.Completed {
		t.Errorf("state %v, want completed", j.State)
	}
}

// Guards against tasks that are not started again after the restart of their runner,
// which ended their runs.
func TestRunsOfARestartedRunnerStartAgain(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000))
	h.addJob(firstID, false, plainStep(1, 1000))
	order := startOrders(h.schedule())[0]
	h.answer(order, Accepted, false)
	h.report(Report{Runner: "a", Incarnation: 2})
	if restarts := startOrders(h.schedule()); len(restarts) != 1 || restarts[0].Run != 2 {
		t.Errorf("orders %v, want run 2", restarts)
	}
}

// Guards against runs of a cancelled job that go on, against tasks of it that are started
// later, and against capacity that is used for other tasks before its runs have ended.
func TestCancelledJobIsStoppedAndKeepsItsCapacity(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 2000))
	j := h.addJob(firstID, false, plainStep(4, 1000))
	for _, order := range startOrders(h.schedule()) {
		h.answer(order, Accepted, false)
	}
	h.core.Cancel(firstID, h.now)
	orders := h.schedule()
	if len(startOrders(orders)) != 0 || len(ordersOfKind(orders, Stop)) != 2 || j.State != jobs.Cancelled {
		t.Errorf("orders %v, state %v", orders, j.State)
	}
	h.addJob(secondID, false, plainStep(1, 1000))
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Error("capacity of runs that are being stopped was used for another task")
	}
}

// Guards against stored progress that loses finished tasks, failed runs or checkpoints:
// after a takeover the work would be done again.
func TestStoredProgressIsRestoredAfterATakeover(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000))
	checkpointingStep := plainStep(4, 1000)
	checkpointingStep.Checkpoints = true
	h.addJob(firstID, false, checkpointingStep)
	for i, order := range startOrders(h.schedule()) {
		h.answer(order, Accepted, false)
		resultKind := []ResultKind{EndedDone, EndedFailed, EndedStopped, EndedDone}[i]
		h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{{Number: i + 1, Task: order.Task, Run: 1, Kind: resultKind, Checkpoint: fmt.Sprint("c", i)}}})
	}
	writes, acknowledged, err := h.core.TakeWrites(h.now)
	if err != nil || len(writes) != 1 || acknowledged["a"].Number != 4 {
		t.Fatalf("writes %v, acknowledged %v, error %v", writes, acknowledged, err)
	}
	successor := newCoreHarness(t, testRunner("a", 4000))
	j := jobs.New(firstID, testQueue, writes[0].Job.Spec, 0, 1)
	if err := j.Restore(writes[0].Value); err != nil {
		t.Fatal(err)
	}
	successor.core.AddJob(j, true, 0)
	orders := startOrders(successor.schedule())
	if len(orders) != 2 || orders[0].Task.Index != 1 || orders[1].Checkpoint != "c2" {
		t.Errorf("orders %+v, want the two tasks that are not done", orders)
	}
	if j.Failures(taskID(firstID, 0, 1)) != 1 {
		t.Error("a failed run was lost")
	}
}

// Guards against a task of a cancelled job that runs on: a stop that an unhealthy runner
// refuses has no effect and must be ordered again.
func TestRefusedStopIsRepeated(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 1000))
	h.addJob(firstID, false, plainStep(1, 1000))
	h.answer(startOrders(h.schedule())[0], Accepted, false)
	h.core.Cancel(firstID, h.now)
	stopOrder := ordersOfKind(h.schedule(), Stop)[0]
	h.answer(stopOrder, RefusedOther, false)
	if n := len(ordersOfKind(h.schedule(), Stop)); n != 1 {
		t.Errorf("%d stops after a refused one, want 1", n)
	}
}

// Guards against two runs of a task: the coordinator may learn of a run before its job,
// because reports and the feed of jobs are not synchronised. The task must not be
// started again while the unknown run is being stopped.
func TestJobAcceptedAfterItsRunWaitsForTheStop(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000), testRunner("b", 4000))
	h.report(Report{Runner: "a", Incarnation: 1, Running: []RunStatus{{Task: taskID(firstID, 0, 0), Run: 1}}})
	h.addJob(firstID, false, plainStep(1, 1000))
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Fatal("started a task of which another run exists")
	}
	h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{{Number: 1, Task: taskID(firstID, 0, 0), Run: 1, Kind: EndedStopped}}})
	if orders := startOrders(h.schedule()); len(orders) != 1 || orders[0].Run != 2 {
		t.Errorf("orders %+v, want run 2", orders)
	}
}

// Guards against a result that is lost: a run may end before its job is known. If the result
// were acknowledged, the task would run again.
func TestResultListedBeforeItsJobIsNotAcknowledged(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 4000))
	result := RunResult{Number: 1, Task: taskID(firstID, 0, 0), Run: 1, Kind: EndedDone}
	h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{result}})
	if _, acknowledged, _ := h.core.TakeWrites(h.now); acknowledged["a"].Number != 0 {
		t.Error("the result of a run of an unknown job was acknowledged")
	}
	j := h.addJob(firstID, false, plainStep(1, 1000))
	if n := len(startOrders(h.schedule())); n != 0 {
		t.Error("started a task whose result the runner has reported")
	}
	h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{result}})
	if j.State != jobs.Completed {
		t.Errorf("state %v, want completed", j.State)
	}
	h.core.TakeWrites(h.now)
	lateResult := RunResult{Number: 2, Task: taskID(firstID, 0, 0), Run: 2, Kind: EndedStopped}
	h.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{lateResult}})
	if _, acknowledged, _ := h.core.TakeWrites(h.now); acknowledged["a"].Number != 2 {
		t.Error("the result of a run of a finished job was not acknowledged")
	}
}

package coordinator

import (
	"fmt"
	"testing"
	"time"

	"bergamotstile/jobs"
)

// backlogReplay runs a backlog of late jobs, each of one task, on a runner with one processor.
// The tasks of one job fail.
type backlogReplay struct {
	*coreHarness
	failing jobs.ID
	results int
	started []time.Duration // of the failing job's runs, since the first of them
}

// runOne lets the runner run the task that is started next, for a second.
func (replay *backlogReplay) runOne() bool {
	orders := startOrders(replay.schedule())
	if len(orders) != 1 {
		return false
	}
	order := orders[0]
	kind := EndedDone
	if order.Task.Job == replay.failing {
		kind = EndedFailed
		replay.started = append(replay.started, replay.now)
	}
	replay.answer(order, Accepted, false)
	replay.now += time.Second
	replay.results++
	replay.report(Report{Runner: "a", Incarnation: 1, Ended: []RunResult{{Number: replay.results, Task: order.Task, Run: order.Run, Kind: kind}}})
	return true
}

// Guards against a job whose tasks fail and that waits behind the whole backlog for each of
// its attempts (soak seed 2600: 23 s for the second one).
func TestRetryOfAFailedTaskDoesNotWaitBehindABacklog(t *testing.T) {
	const backlog = 30
	replay := &backlogReplay{coreHarness: newCoreHarness(t, testRunner("a", 1000)), failing: jobs.ID(fmt.Sprintf("%016x", backlog))}
	for i := range backlog + 1 {
		replay.addJob(jobs.ID(fmt.Sprintf("%016x", i)), false, plainStep(1, 1000))
	}
	replay.core.jobs[replay.failing].AcceptedAt = time.Second // later than the others, so it is less late
	replay.core.updateEstimates(replay.core.jobs[replay.failing])
	// The failing job's first attempt is made before the others are there to wait for.
	for id, j := range replay.core.jobs {
		if id != replay.failing {
			j.openSteps[[2]int{0, 0}].pending = nil
		}
	}
	if !replay.runOne() {
		t.Fatal("the first attempt is not made")
	}
	for id, j := range replay.core.jobs {
		if id != replay.failing {
			replay.core.requeue(j, taskID(id, 0, 0))
		}
	}
	replay.now += time.Hour // the completion of all jobs is worth nothing any more
	for len(replay.started) < testQueue.MaxAttempts && replay.runOne() {
	}
	if len(replay.started) != testQueue.MaxAttempts {
		t.Fatalf("%d attempts", len(replay.started))
	}
	if waited := replay.started[1] - replay.started[0] - time.Hour; waited > 3*time.Second {
		t.Errorf("the second attempt waited %v behind a backlog of %d jobs", waited, backlog)
	}
}

// Guards against retries that delay jobs which can still be on time, and against many failed
// tasks of one step that pass the others together.
func TestRetriesPassOnlyLateWork(t *testing.T) {
	h := newCoreHarness(t, testRunner("a", 1000))
	onTime := h.addJob(firstID, false, plainStep(1, 1000))
	failed := h.addJob(secondID, false, plainStep(maxRetryTasks+1, 1000))
	onTimeStep, failedStep := h.core.jobs[onTime.ID].openSteps[[2]int{0, 0}], h.core.jobs[failed.ID].openSteps[[2]int{0, 0}]
	for index := range maxRetryTasks {
		failed.MarkFailed(taskID(secondID, 0, index), 1)
	}
	const late = -time.Hour
	if got := failedStep.precedenceWithSlack(late).rank; got != rankFarTooLate {
		t.Errorf("a step with a task that has not failed has rank %d", got)
	}
	failed.MarkFailed(taskID(secondID, 0, maxRetryTasks), 1)
	if got := failedStep.precedenceWithSlack(late).rank; got != rankFarTooLate {
		t.Errorf("a step with more than %d failed tasks has rank %d", maxRetryTasks, got)
	}
	failedStep.removePending(0)
	retry := failedStep.precedenceWithSlack(late)
	if retry.rank != rankRetry {
		t.Errorf("a step of failed tasks has rank %d", retry.rank)
	}
	if onTimeStep.precedenceWithSlack(time.Second).compare(retry) >= 0 {
		t.Error("a retry passes a job that can still be on time")
	}
	if retry.compare(onTimeStep.precedenceWithSlack(late)) >= 0 {
		t.Error("a retry does not pass late work")
	}
}
